"""Bodies in transfer leave bandwidth on a gate's link for other traffic.

Guards against bodies that saturate the link: many uploads of 60 KB share a
link of 4.3 Mbit/s. Each admitted body had 32 KB in flight, so with seven of
them a call to the gate waited 0.4 s behind bodies, and callers whose objective
is 0.64 s tried several such gates before they learned that none had capacity.
"""

import pytest

from cyclamenlift.gate.body_transfers import BODY_WINDOW
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import Hello
from tests.gate.builders import GateBench

LENGTH = 60_000
# 4.3 Mbit/s in bytes per second.
SLOW_LINK = 537_500.0
# The longest that a call may wait behind bodies, in seconds: it crosses the
# link twice, and several gates are tried within an objective of 0.5 s.
MOST_WAIT = 0.125


@pytest.fixture
def bench():
    bench = GateBench()
    bench.report_pace(100)
    bench.gate.link_rate = SLOW_LINK
    bench.gate_end.hello = Hello('entry', 'bole', 3, 'c')
    return bench


def admit_calls(bench: GateBench, calls: int) -> None:
    for number in range(1, calls + 1):
        bench.send_call(number, length=LENGTH)


def bytes_in_flight(bench: GateBench, received: int = 0) -> int:
    """Return the bytes that entries are allowed to have on the link."""
    return sum(c.bytes_allowed for c in bench.credits) - received


def asked(bench: GateBench) -> list[int]:
    return [credit.call_id for credit in bench.credits]


def deliver(bench: GateBench, number: int) -> None:
    """Deliver the whole body of a call."""
    chunk = BodyChunk(number, b'x' * LENGTH, True)
    bench.gate.on_body_chunk(bench.gate_end, chunk)


def test_bytes_of_bodies_in_flight_are_limited(bench):
    """Guards against bodies that saturate a slow link."""
    admit_calls(bench, 7)
    assert bytes_in_flight(bench) <= MOST_WAIT * SLOW_LINK


def test_next_body_is_requested_when_one_is_complete(bench):
    """Guards against calls whose bodies are never requested."""
    admit_calls(bench, 4)
    for number in (1, 2, 3, 4):
        assert number in asked(bench)
        deliver(bench, number)
    assert len(bench.target.requests) == 4


def test_cancelled_call_frees_its_transfer(bench):
    """Guards against a transfer that outlives its call."""
    admit_calls(bench, 3)
    first, second = asked(bench)
    bench.gate.on_cancel(bench.gate_end, Cancel(first))
    assert asked(bench) == [first, second, 3]


def test_stalled_body_frees_its_transfer(bench):
    """Guards against a stalled entry that blocks all others."""
    admit_calls(bench, 3)
    bench.gate.now = lambda: 1.0
    bench.gate.body_transfers.start_transfers()
    assert asked(bench) == [1, 2, 3]


def test_fast_link_carries_many_bodies_at_once(bench):
    """Guards against needless serialization of uploads on a fast link."""
    bench.gate.link_rate = 125_000_000.0
    admit_calls(bench, 7)
    assert bytes_in_flight(bench) == 7 * BODY_WINDOW


def test_local_bodies_are_not_limited(bench):
    """Guards against local callers that wait for remote bodies."""
    bench.gate_end.hello = None
    admit_calls(bench, 7)
    assert bytes_in_flight(bench) == 7 * BODY_WINDOW
