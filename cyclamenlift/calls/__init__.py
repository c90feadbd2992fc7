"""Calls at the entry: tries, hedges, retries and the final answer."""

from cyclamenlift.calls.budgets import BodyBudget
from cyclamenlift.calls.budgets import RetryBudget
from cyclamenlift.calls.state import CallState
from cyclamenlift.calls.state import Ending
from cyclamenlift.calls.state import EndKind
from cyclamenlift.calls.state import Step
from cyclamenlift.calls.tasks import Calls

__all__ = [
    'BodyBudget',
    'CallState',
    'Calls',
    'EndKind',
    'Ending',
    'RetryBudget',
    'Step',
]
