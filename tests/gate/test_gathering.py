"""A body that is long on its way meets the pace of when it has come.

The load: floor plans of 60 KB over links of 2 Mbit/s come a quarter of a
second after their head, while spells of half a second come a quarter of the
time, and a target begins the work when it has read the body. Of 75 plans on
a calm day 14 were begun in a spell, and 4 of these ran at the usual pace; 61
were begun before one, and 6 of these took 2.6 to 6.3 times as long. What is
sent twice is done twice, so nothing can be mended later.
"""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.gate_call import MAX_BUFFERED_BODY
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from tests.gate.builders import GateBench

LENGTH = 60_000
CHUNK = 20_000


def begun(length: int = LENGTH) -> GateBench:
    """Return a gate that has let a call in whose body is on its way."""
    bench = GateBench()
    bench.tell(100)
    bench.call(length=length)
    return bench


def send(bench: GateBench, chunks: int, last: bool = False) -> None:
    for number in range(chunks):
        ends = last and number == chunks - 1
        chunk = BodyChunk(1, b'x' * CHUNK, ends)
        bench.gate.on_body_chunk(bench.gate_end, chunk)


def test_the_target_gets_the_call_when_its_body_has_come():
    bench = begun()
    send(bench, 2)
    assert bench.target.requests == []
    assert len(bench.gate.state.running) == 1
    send(bench, 1, last=True)
    assert len(bench.target.requests) == 1
    assert bench.target.bodies == [b'x' * LENGTH]


def test_the_entry_may_send_on_while_a_body_is_gathered():
    bench = begun()
    before = len(bench.credits)
    send(bench, 2)
    assert [c.bytes_allowed for c in bench.credits[before:]] == [CHUNK, CHUNK]


def test_the_pace_is_asked_for_again_when_the_body_has_come():
    bench = begun()
    bench.gate.state.performance.pace.reported_at -= 0.25
    send(bench, 3, last=True)
    assert bench.asked == 1
    assert bench.target.requests == []
    bench.tell(100)
    assert len(bench.target.requests) == 1


def test_a_spell_that_began_meanwhile_is_waited_out():
    bench = begun()
    bench.tell(700)
    send(bench, 3, last=True)
    assert bench.target.requests == []
    assert len(bench.gate.state.queue) == 1
    assert bench.gate.state.running == set()
    bench.tell(100)
    assert len(bench.target.requests) == 1


def test_a_drain_sends_a_call_back_whose_body_is_on_its_way():
    bench = begun()
    send(bench, 1)
    bench.gate.drain()
    assert [r.code for r in bench.told] == [int(ResultCode.DRAINING)]
    send(bench, 2, last=True)
    assert bench.target.requests == []
    assert bench.gate.is_idle()


def test_a_call_whose_body_is_on_its_way_is_cancelled_as_not_run():
    bench = begun()
    send(bench, 1)
    bench.gate.on_cancel(bench.gate_end, Cancel(1))
    assert [c.not_run for c in bench.told] == [True]
    assert bench.gate.is_idle()


def test_a_body_too_large_to_gather_is_passed_on_as_it_comes():
    bench = begun(MAX_BUFFERED_BODY + 1)
    assert len(bench.target.requests) == 1
