"""A gate in an evacuated data centre starts no call.

Guards against calls that reach a target after the evacuation of its data
centre was acknowledged: new ones, and those that waited at the gate for a
slot, for the target's pace or for their body.
"""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from tests.gate.builders import GateBench


def codes(bench: GateBench) -> list[int]:
    return [outcome.code for outcome in bench.outcomes]


def test_new_calls_are_refused():
    bench = GateBench()
    bench.report_pace(100)
    bench.gate.set_evacuated(True)
    bench.send_call(1)
    assert codes(bench) == [ResultCode.EVACUATED]
    assert not bench.target.requests


def test_running_calls_go_on_and_waiting_ones_are_refused():
    bench = GateBench()
    bench.report_pace(100)
    for number in range(12):
        bench.send_call(number)
    running = len(bench.target.requests)
    waiting = len(bench.gate.state.queue)
    assert running and waiting
    bench.outcomes.clear()
    bench.gate.set_evacuated(True)
    assert codes(bench) == [ResultCode.EVACUATED] * waiting
    assert len(bench.gate.state.running) == running
    bench.gate.on_link_lost(bench.gate_end)
    assert len(bench.target.requests) == running


def test_a_call_whose_body_is_arriving_is_refused():
    bench = GateBench()
    bench.report_pace(100)
    bench.send_call(1, length=60_000)
    assert len(bench.gate.state.running) == 1
    bench.gate.set_evacuated(True)
    bench.gate.on_body_chunk(bench.gate_end, BodyChunk(1, b'x' * 60_000, True))
    assert codes(bench) == [ResultCode.EVACUATED]
    assert not bench.target.requests and not bench.gate.state.running


def test_a_call_that_waits_for_the_pace_is_refused():
    bench = GateBench()
    bench.report_pace(100)
    bench.gate.state.performance.pace.reported_at -= 0.3
    bench.send_call(1)
    assert bench.queries == 1 and not bench.outcomes
    bench.gate.set_evacuated(True)
    assert codes(bench) == [ResultCode.EVACUATED]
    assert not bench.target.requests


def test_calls_start_again_once_the_data_centre_is_taken_back():
    bench = GateBench()
    bench.report_pace(100)
    bench.gate.set_evacuated(True)
    bench.gate.set_evacuated(False)
    bench.send_call(1)
    assert len(bench.target.requests) == 1
