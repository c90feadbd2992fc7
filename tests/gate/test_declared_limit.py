"""A target gets no more calls than the limit that it declares.

Guards against a target in need that says in its responses how many calls a
second it takes from all instances together, and gets as many as before.
"""

import pytest

from tests.gate.simulation import allowed_in_span
from tests.gate.simulation import GateInTime
from tests.gate.simulation import GRACE_SECONDS

LIMIT = 'x-limit'
DECLARED_AT = 4.0
END = 20.0


def limited(
    limit: str, on_page: bool, calls_per_second: float, seed: int = 1
) -> GateInTime:
    """Run a gate whose target declares a limit after some seconds."""
    bench = GateInTime(seed=seed)
    bench.load(calls_per_second, END)
    bench.time.run_until(DECLARED_AT)
    bench.target.say(LIMIT, limit, on_page)
    bench.time.run_until(END)
    return bench


@pytest.mark.parametrize('on_page', [True, False])
@pytest.mark.parametrize('limit', ['25.3', '10.0', '2.1', '0.3', '0'])
def test_a_target_gets_no_more_than_it_declares(limit, on_page):
    # Guards against a declared limit that nobody reads.
    bench = limited(limit, on_page, calls_per_second=60.0)
    most = bench.target.most_in_span(DECLARED_AT + GRACE_SECONDS)
    assert most <= allowed_in_span(float(limit))
