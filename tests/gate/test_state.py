"""Admission, queue and drain of one target."""

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st
import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Verdict
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

LATER = 100.0


def gate(slots=1, queue_limit=1, mean=0.0) -> GateState:
    state = GateState(slots, queue_limit)
    state.set_target_state(TargetState.READY)
    if mean:
        state.service_time.note(mean)
    return state


@pytest.mark.parametrize(
    ('before', 'deadline', 'verdict', 'code'),
    [
        (0, LATER, Verdict.START, ResultCode.ANSWERED),
        (1, LATER, Verdict.QUEUED, ResultCode.ANSWERED),
        (2, LATER, Verdict.REFUSED, ResultCode.OVERLOADED),
        (1, 1.5, Verdict.REFUSED, ResultCode.QUEUE_DEADLINE),
        (0, 1.0, Verdict.REFUSED, ResultCode.DEADLINE_NOT_RUN),
    ],
)
def test_admits_by_slots_queue_and_deadline(before, deadline, verdict, code):
    state = gate(mean=1.0)
    for number in range(before):
        state.admit(number, LATER, 1.0)
    admission = state.admit('new', deadline, 1.0)
    assert (admission.verdict, admission.code) == (verdict, code)


def test_refusal_says_when_to_come_back():
    state = gate(slots=2, queue_limit=0, mean=1.0)
    for key in 'ab':
        state.admit(key, LATER, 0.0)
    assert state.admit('c', LATER, 0.0).retry_after == pytest.approx(0.5)


def test_drain_refuses_queued_and_new_calls_and_keeps_running_ones():
    state = gate()
    state.admit('running', LATER, 0.0)
    state.admit('queued', LATER, 0.0)
    waiting = state.drain()
    assert [(e.key, e.code) for e in waiting] == [
        ('queued', ResultCode.DRAINING)
    ]
    assert state.admit('new', LATER, 0.0).code == ResultCode.DRAINING
    assert state.running == {'running'}
    state.set_target_state(TargetState.READY)
    assert state.target_state == TargetState.DRAINING


def test_call_that_expired_in_the_queue_is_not_run():
    state = gate()
    state.admit('running', LATER, 0.0)
    state.admit('late', 1.0, 0.0)
    result = state.finish('running', 2.0, False, 2.0)
    assert not result.started
    assert result.dropped[0].code == ResultCode.DEADLINE_NOT_RUN


def test_withdraw_proves_only_queued_calls():
    state = gate()
    state.admit('running', LATER, 0.0)
    state.admit('queued', LATER, 0.0)
    assert state.withdraw('queued')
    assert not state.withdraw('running')


def test_errors_show_in_the_figures_and_fade():
    state = gate()
    state.admit('a', LATER, 0.0)
    state.finish('a', 0.001, True, 0.0)
    assert state.figures(0.0).error_permille == 1000
    assert state.figures(60.0).error_permille == 0


@settings(derandomize=True, max_examples=100)
@given(
    st.lists(
        st.tuples(st.sampled_from('afwd'), st.integers(0, 9)), max_size=60
    )
)
def test_slots_are_never_exceeded_and_no_call_is_lost(steps):
    state = gate(slots=3, queue_limit=4)
    ended = set()
    taken = set()
    for number, (step, pick) in enumerate(steps):
        if step == 'a':
            admission = state.admit(number, LATER, float(number))
            if admission.verdict is not Verdict.REFUSED:
                taken.add(number)
        elif step == 'f' and state.running:
            key = sorted(state.running)[pick % len(state.running)]
            ended.add(key)
            result = state.finish(key, 0.01, False, float(number))
            ended.update(e.key for e in result.dropped)
        elif step == 'w' and state.queue:
            key = sorted(state.queue)[pick % len(state.queue)]
            assert state.withdraw(key)
            ended.add(key)
        elif step == 'd' and pick == 0:
            ended.update(e.key for e in state.drain())
        assert len(state.running) <= 3
        assert len(state.queue) <= 4
        assert taken == ended | state.running | set(state.queue)
