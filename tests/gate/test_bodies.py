"""Bodies on their way leave room on a gate's link for everything else.

The load: uploads of 60 KB, many at once, over a link of 4.3 Mbit/s. Each
body that was let in had 32 KB under way, so with seven of them a question
to the gate waited 0.4 s behind bodies, and callers whose objective is 0.64 s
asked several such gates before they heard that none had room.
"""

import pytest

from cyclamenlift.wire.gen.protocol.ttypes import Hello
from tests.gate.builders import GateBench

LENGTH = 60_000
# 4.3 Mbit/s in bytes a second.
SLOW_LINK = 537_500.0
# The longest that a question may wait behind bodies, in seconds: it crosses
# the link twice, and several gates are asked within an objective of 0.5 s.
MOST_WAIT = 0.125


@pytest.fixture
def bench():
    bench = GateBench()
    bench.tell(100)
    bench.gate.link_rate = SLOW_LINK
    bench.gate_end.hello = Hello('entry', 'bole', 3, 'c')
    return bench


def let_in(bench: GateBench, calls: int) -> None:
    for number in range(1, calls + 1):
        bench.call(number, length=LENGTH)


def under_way(bench: GateBench, received: int = 0) -> int:
    """Return the bytes that entries may have on the link."""
    return sum(c.bytes_allowed for c in bench.credits) - received


def test_a_question_waits_behind_few_bytes_of_bodies(bench):
    """Guards against bodies that fill a slow link for all that is asked."""
    let_in(bench, 7)
    assert under_way(bench) <= MOST_WAIT * SLOW_LINK
