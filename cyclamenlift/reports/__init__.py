"""Error-budget reports for operators."""

from cyclamenlift.reports.queries import ServiceBurn
from cyclamenlift.reports.state import BurnWindows

__all__ = ['BurnWindows', 'ServiceBurn']
