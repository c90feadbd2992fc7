"""The operators' console: forms that end in one validated document."""

from cyclamenlift.console.pages import ConsolePages
from cyclamenlift.console.port import ContextPort
from cyclamenlift.console.port import ControlPort

__all__ = ['ConsolePages', 'ContextPort', 'ControlPort']
