"""The command line: one module a command, gathered in a registry."""

from cyclamenlift.cli.program import main

__all__ = ['main']
