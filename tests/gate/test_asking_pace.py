"""A gate asks its target for the pace before it begins a call.

The load: a target tells its pace with each answer, two or three times a
second, and a call of 660 ms that begins just after a slow spell has begun
takes 4.6 s. One in ten calls began so with figures up to 120 ms old.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from tests.gate.builders import GateBench


def test_a_call_waits_for_the_word_of_its_target():
    bench = GateBench()
    bench.call()
    assert bench.asked == 1
    assert bench.target.requests == []
    assert not bench.gate.is_idle()
    bench.tell(100)
    assert len(bench.target.requests) == 1


def test_a_target_in_a_spell_is_not_given_the_call():
    bench = GateBench()
    bench.call()
    bench.tell(700)
    assert bench.target.requests == []
    assert len(bench.gate.state.queue) == 1
    bench.tell(100)
    assert len(bench.target.requests) == 1


def test_a_call_that_may_go_elsewhere_goes_back_on_the_word():
    bench = GateBench()
    bench.call(most=200)
    bench.tell(700)
    assert [r.code for r in bench.told] == [int(ResultCode.TARGET_SLOW)]
    assert bench.gate.is_idle()


def test_a_fresh_figure_needs_no_question():
    bench = GateBench()
    bench.tell(100)
    bench.call()
    assert bench.asked == 0
    assert len(bench.target.requests) == 1


def test_where_nothing_can_be_asked_the_call_begins():
    bench = GateBench(can_ask=False)
    bench.call()
    assert len(bench.target.requests) == 1


def test_without_an_answer_the_call_is_decided_on_all_the_same():
    bench = GateBench()
    bench.call()
    bench.gate.pace_queries.resume_all()
    assert len(bench.target.requests) == 1


def test_a_call_that_waits_for_the_word_can_be_cancelled_as_not_run():
    bench = GateBench()
    bench.call()
    bench.gate.on_cancel(bench.gate_end, Cancel(1))
    assert [c.not_run for c in bench.told] == [True]
    bench.tell(100)
    assert bench.target.requests == []
    assert bench.gate.is_idle()


@pytest.mark.parametrize('pace', [100, 700])
def test_a_drain_decides_on_calls_that_wait(pace):
    bench = GateBench()
    bench.call()
    bench.gate.drain()
    assert [r.code for r in bench.told] == [int(ResultCode.DRAINING)]
    bench.tell(pace)
    assert bench.target.requests == []
