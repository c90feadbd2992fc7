"""Web console in which operators edit and publish the event document."""

from cyclamenlift.console.pages import ConsolePages
from cyclamenlift.console.port import ContextPort
from cyclamenlift.console.port import ControlPort

__all__ = ['ConsolePages', 'ContextPort', 'ControlPort']
