"""Calls with slow bodies are sent by the pace at the body's arrival.

Guards against sending a call to the target before its body is complete.
Uploads of 60 KB over links of 2 Mbit/s arrive a quarter of a second after
their head, while slowdowns of half a second take up a quarter of the time, and
a target starts working when it has read the body. Of 75 uploads on a quiet day
14 were begun in a slowdown, and 4 of these ran at the usual pace; 61 were
begun before one, and 6 of these took 2.6 to 6.3 times as long. A request that
is sent twice is executed twice, so this can't be repaired later.
"""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.gate_call import MAX_BUFFERED_BODY
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from tests.gate.builders import GateBench

LENGTH = 60_000
CHUNK = 20_000


def begun(length: int = LENGTH) -> GateBench:
    """Return a gate that has admitted a call whose body is still arriving."""
    bench = GateBench()
    bench.report_pace(100)
    bench.send_call(length=length)
    return bench


def send(bench: GateBench, chunks: int, last: bool = False) -> None:
    for number in range(chunks):
        ends = last and number == chunks - 1
        chunk = BodyChunk(1, b'x' * CHUNK, ends)
        bench.gate.on_body_chunk(bench.gate_end, chunk)


def test_call_is_sent_when_its_body_is_complete():
    bench = begun()
    send(bench, 2)
    assert bench.target.requests == []
    assert len(bench.gate.state.running) == 1
    send(bench, 1, last=True)
    assert len(bench.target.requests) == 1
    assert bench.target.bodies == [b'x' * LENGTH]


def test_credit_is_granted_while_a_body_is_buffered():
    bench = begun()
    before = len(bench.credits)
    send(bench, 2)
    assert [c.bytes_allowed for c in bench.credits[before:]] == [CHUNK, CHUNK]


def test_pace_is_queried_again_when_the_body_is_complete():
    bench = begun()
    bench.gate.state.performance.pace.reported_at -= 0.25
    send(bench, 3, last=True)
    assert bench.queries == 1
    assert bench.target.requests == []
    bench.report_pace(100)
    assert len(bench.target.requests) == 1


def test_slowdown_during_buffering_holds_the_call():
    bench = begun()
    bench.report_pace(700)
    send(bench, 3, last=True)
    assert bench.target.requests == []
    assert len(bench.gate.state.queue) == 1
    assert bench.gate.state.running == set()
    bench.report_pace(100)
    assert len(bench.target.requests) == 1


def test_drain_refuses_a_call_whose_body_is_incomplete():
    bench = begun()
    send(bench, 1)
    bench.gate.drain()
    assert [r.code for r in bench.outcomes] == [int(ResultCode.DRAINING)]
    send(bench, 2, last=True)
    assert bench.target.requests == []
    assert bench.gate.is_idle()


def test_call_whose_body_is_incomplete_is_cancelled_as_not_run():
    bench = begun()
    send(bench, 1)
    bench.gate.on_cancel(bench.gate_end, Cancel(1))
    assert [c.not_run for c in bench.outcomes] == [True]
    assert bench.gate.is_idle()


def test_large_body_is_streamed_to_the_target():
    bench = begun(MAX_BUFFERED_BODY + 1)
    assert len(bench.target.requests) == 1
