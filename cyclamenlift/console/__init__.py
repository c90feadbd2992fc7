"""Web console in which operators edit and publish the event document."""

from cyclamenlift.console.control_interface import ContextControlInterface
from cyclamenlift.console.control_interface import ControlInterface
from cyclamenlift.console.pages import ConsolePages

__all__ = ['ConsolePages', 'ContextControlInterface', 'ControlInterface']
