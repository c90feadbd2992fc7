"""Bodies on their way leave room on a gate's link for everything else.

The load: uploads of 60 KB, many at once, over a link of 4.3 Mbit/s. Each
body that was let in had 32 KB under way, so with seven of them a question
to the gate waited 0.4 s behind bodies, and callers whose objective is 0.64 s
asked several such gates before they heard that none had room.
"""

import pytest

from cyclamenlift.gate.body_transfers import BODY_WINDOW
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
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


def asked(bench: GateBench) -> list[int]:
    return [credit.call_id for credit in bench.credits]


def deliver(bench: GateBench, number: int) -> None:
    """Bring the whole body of a call."""
    chunk = BodyChunk(number, b'x' * LENGTH, True)
    bench.gate.on_body_chunk(bench.gate_end, chunk)


def test_a_question_waits_behind_few_bytes_of_bodies(bench):
    """Guards against bodies that fill a slow link for all that is asked."""
    let_in(bench, 7)
    assert under_way(bench) <= MOST_WAIT * SLOW_LINK


def test_the_next_body_is_asked_for_when_one_has_come(bench):
    """Guards against bodies that are let in and never asked for."""
    let_in(bench, 4)
    for number in (1, 2, 3, 4):
        assert number in asked(bench)
        deliver(bench, number)
    assert len(bench.target.requests) == 4


def test_a_body_that_is_given_up_makes_room_for_the_next(bench):
    """Guards against a place that a call keeps after its end."""
    let_in(bench, 3)
    first, second = asked(bench)
    bench.gate.on_cancel(bench.gate_end, Cancel(first))
    assert asked(bench) == [first, second, 3]


def test_a_body_that_stops_coming_makes_room_for_the_next(bench):
    """Guards against one entry that stands still in front of all others."""
    let_in(bench, 3)
    bench.gate.now = lambda: 1.0
    bench.gate.body_transfers.start_transfers()
    assert asked(bench) == [1, 2, 3]


def test_a_wide_link_is_not_kept_empty(bench):
    """Guards against uploads that wait for each other without need."""
    bench.gate.link_rate = 125_000_000.0
    let_in(bench, 7)
    assert under_way(bench) == 7 * BODY_WINDOW


def test_bodies_of_the_own_instance_cross_no_link(bench):
    """Guards against local callers that wait for others' bodies."""
    bench.gate_end.hello = None
    let_in(bench, 7)
    assert under_way(bench) == 7 * BODY_WINDOW
