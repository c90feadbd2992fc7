"""Command-line interface: one module per command, kept in a registry."""

from cyclamenlift.cli.program import main

__all__ = ['main']
