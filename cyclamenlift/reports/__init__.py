"""Error-budget reports for operators."""

from cyclamenlift.reports.queries import ServiceBurn
from cyclamenlift.reports.state import BurnCounters

__all__ = ['BurnCounters', 'ServiceBurn']
