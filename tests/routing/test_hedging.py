"""Hedging at an entry that sees few calls.

The scenario is a fleet of two hundred entries, each with two calls a second
for three services. The quantile of answer times needs 64 answers of a service,
which takes a minute, and an entry can accumulate little more than one retry of
the shared budget. Calls of 660 ms have an objective of 2.2 s.
"""

import pytest

from cyclamenlift.calls.budgets import MIN_CAP
from cyclamenlift.calls.budgets import RetryBudget
from cyclamenlift.calls.budgets import SharedRetryBudget
from cyclamenlift.routing.hedging import HedgeDelay
from cyclamenlift.routing.hedging import latest_hedge_time

WORK = 0.660
OBJECTIVE = 2.2
ENTRIES = 195
SLACK = 430.0


def shared(entries: int) -> SharedRetryBudget:
    budget = SharedRetryBudget(0.2, SLACK, 10.0, lambda: 0.0)
    budget.balance = 1e9
    budget.set_members(entries)
    return budget


def test_the_objective_times_hedges_when_answers_are_too_few():
    delay = HedgeDelay()
    for _ in range(20):
        delay.note(WORK)
    assert delay.seconds is None
    due = latest_hedge_time(OBJECTIVE, WORK)
    # Well after the usual answer time, and early enough for a second try.
    assert 1.75 * WORK < due < OBJECTIVE - WORK


@pytest.mark.parametrize('entries', [1, 20, ENTRIES, 680])
def test_the_budget_allows_an_early_hedge_in_a_fleet_of_any_size(entries):
    budget = shared(entries)
    assert budget.balance >= MIN_CAP
    assert budget.take(budget.rescue_reserve)


def test_early_hedges_leave_budget_for_late_ones():
    budget = RetryBudget(0.2)
    early = 0
    while budget.take(budget.rescue_reserve):
        early += 1
    assert early
    assert budget.take()
