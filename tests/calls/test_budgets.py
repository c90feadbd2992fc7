"""The retry budget that all entries share."""

from cyclamenlift.calls.budgets import SharedRetryBudget

SHARE = 0.2
SLACK = 62.0
WINDOW = 10.0
ENTRIES = 13


class Clock:
    """A clock set by the test."""

    def __init__(self):
        self.now = 0.0

    def __call__(self) -> float:
        return self.now


def budgets(clock: Clock, entries: int = ENTRIES) -> list[SharedRetryBudget]:
    found = [
        SharedRetryBudget(SHARE, SLACK, WINDOW, clock) for _ in range(entries)
    ]
    for budget in found:
        budget.set_members(entries)
    return found


def spend_all(all_budgets) -> int:
    return sum(1 for b in all_budgets for _ in range(1000) if b.take())


def test_an_idle_fleet_spends_no_more_than_the_slack_in_a_window():
    """Regression: each entry started with a balance of 20 tries."""
    clock = Clock()
    fleet = budgets(clock)
    spent = spend_all(fleet)
    for _ in range(100):
        clock.now += WINDOW / 100
        spent += spend_all(fleet)
    assert spent <= SLACK


def test_a_busy_fleet_spends_its_share_beside_the_slack():
    clock = Clock()
    fleet = budgets(clock)
    firsts = spent = 0
    for _ in range(1000):
        clock.now += WINDOW / 1000
        for budget in fleet:
            budget.earn()
            firsts += 1
            spent += budget.take()
    assert 0.9 * SHARE * firsts <= spent <= SHARE * firsts + SLACK


def test_debited_repeats_must_be_earned_back():
    clock = Clock()
    (budget,) = budgets(clock, 1)
    budget.debit(budget.cap() + 5.0)
    assert not budget.take()
    for _ in range(30):
        budget.earn()
    assert budget.take()


def test_a_small_share_of_the_budget_allows_a_whole_retry():
    clock = Clock()
    fleet = budgets(clock, 200)
    assert fleet[0].take()
