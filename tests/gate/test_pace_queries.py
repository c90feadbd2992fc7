"""A gate queries the target's pace before it begins a call.

Guards against calls that begin on an outdated pace. A target reports its pace
with each answer, two or three times a second, and a call of 660 ms that begins
just after the start of a slowdown takes 4.6 s. With figures up to 120 ms old,
one in ten calls began that way.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from tests.gate.builders import GateBench


def test_call_waits_for_the_pace_of_its_target():
    bench = GateBench()
    bench.send_call()
    assert bench.queries == 1
    assert bench.target.requests == []
    assert not bench.gate.is_idle()
    bench.report_pace(100)
    assert len(bench.target.requests) == 1


def test_call_is_held_during_a_slowdown():
    bench = GateBench()
    bench.send_call()
    bench.report_pace(700)
    assert bench.target.requests == []
    assert len(bench.gate.state.queue) == 1
    bench.report_pace(100)
    assert len(bench.target.requests) == 1


def test_call_with_a_pace_limit_is_refused_by_a_slow_target():
    bench = GateBench()
    bench.send_call(most=200)
    bench.report_pace(700)
    assert [r.code for r in bench.outcomes] == [int(ResultCode.TARGET_SLOW)]
    assert bench.gate.is_idle()


def test_recent_pace_is_not_queried_again():
    bench = GateBench()
    bench.report_pace(100)
    bench.send_call()
    assert bench.queries == 0
    assert len(bench.target.requests) == 1


def test_call_begins_if_the_pace_can_not_be_queried():
    bench = GateBench(can_query=False)
    bench.send_call()
    assert len(bench.target.requests) == 1


def test_call_is_decided_on_when_the_query_times_out():
    bench = GateBench()
    bench.send_call()
    bench.gate.pace_queries.resume_all()
    assert len(bench.target.requests) == 1


def test_call_that_waits_for_the_pace_is_cancelled_as_not_run():
    bench = GateBench()
    bench.send_call()
    bench.gate.on_cancel(bench.gate_end, Cancel(1))
    assert [c.not_run for c in bench.outcomes] == [True]
    bench.report_pace(100)
    assert bench.target.requests == []
    assert bench.gate.is_idle()


@pytest.mark.parametrize('pace', [100, 700])
def test_drain_refuses_calls_that_wait_for_the_pace(pace):
    bench = GateBench()
    bench.send_call()
    bench.gate.drain()
    assert [r.code for r in bench.outcomes] == [int(ResultCode.DRAINING)]
    bench.report_pace(pace)
    assert bench.target.requests == []
