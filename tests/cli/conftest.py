"""Fixtures of the command-line tests."""

from tests.cli.builders import admin
from tests.cli.builders import command

__all__ = ['admin', 'command']
