"""The probe budget, enforced where probes arrive."""

import pytest

from cyclamenlift.gate.probes import ProbeBudget


@pytest.mark.parametrize('per_second', [0.0, 0.5, 3.0, 40.0])
def test_burst_of_probes_never_exceeds_the_share(per_second):
    budget = ProbeBudget()
    budget.set_rate(per_second, 0.0)
    seconds = 20
    for tick in range(seconds * 1000):
        budget.take(tick / 1000)
    assert budget.answered <= per_second * seconds + max(1, per_second)
    assert budget.answered + budget.dropped == seconds * 1000


def test_lower_rate_takes_saved_tokens_back():
    budget = ProbeBudget()
    budget.set_rate(100.0, 0.0)
    budget.set_rate(2.0, 10.0)
    assert sum(budget.take(10.0) for _ in range(50)) == 2
