"""A target that says in its responses that it leaves gets no more calls.

Guards against a target whose announcements say ready, or are never heard,
while each of its responses says that it leaves.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.verdicts import AnswerVerdict
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.gate.departures import ANSWER_SECONDS
from tests.gate.departures import LEAVING
from tests.gate.departures import leaving_bench
from tests.gate.departures import ready
from tests.gate.departures import SAID_AT
from tests.gate.simulation import GateInTime


def test_no_call_starts_once_a_response_said_that_the_target_leaves():
    # Guards against a gate that heeds only announcements of a departure.
    bench = GateInTime()
    bench.load(60.0, 6.0)
    bench.time.run_until(SAID_AT)
    bench.target.say(LEAVING, '1', on_page=False)
    bench.time.run_until(6.0)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 6.0)


def test_announcements_that_say_ready_do_not_bring_the_target_back():
    # Guards against a target whose announcements know nothing of its leaving.
    bench = leaving_bench()
    for sequence in range(1, 5):
        bench.gate.announce(ready(sequence))
        bench.time.run_until(bench.time.now() + 0.5)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 8.0)
    assert bench.gate.state.target_state == TargetState.DRAINING


def test_a_new_gate_learns_from_entries_that_its_target_leaves():
    # Guards against a daemon that is killed beside a leaving target: an entry
    # that passed the answer on stays bound, whatever announcements say.
    bench = leaving_bench()
    bench.restart_gate()
    bench.gate.announce(ready(1))
    bench.time.run_until(8.0)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 8.0)
    codes = {m.code for m in bench.refused()[-20:]}
    assert codes == {ResultCode.DRAINING}


def test_the_next_target_at_the_address_is_used_at_once():
    # Guards against entries that take a new target for the one that left.
    bench = leaving_bench()
    bench.target.say(LEAVING, None, on_page=False)
    bench.target.name = 'i-2'
    bench.gate.announce(ready(1, 'i-2'))
    bench.time.run_until(8.0)
    assert bench.target.arrivals(3.0, 8.0) > 200
    assert bench.statements.find('instance-1') is None


def test_calls_that_wait_and_bodies_that_arrive_are_refused():
    # Guards against calls that reach the target long after it said so.
    bench = GateInTime(slots=2, work=1.0)
    bench.time.run_until(1.0)
    bench.call()
    upload = bench.call(length=60_000)
    waiting = [bench.call(objective=4.0, deadline=5.0) for _ in range(3)]
    bench.time.run_until(1.1)
    assert len(bench.gate.state.queue) == 3
    bench.gate.reports.note_answer([(LEAVING, '1')], 1.1)
    chunk = BodyChunk(upload, b'x' * 60_000, True)
    bench.gate.on_body_chunk(bench.gate_end, chunk)
    bench.time.run_until(6.0)
    assert {m.call_id for m in bench.refused()} == {upload, *waiting}
    assert len(bench.target.calls) == 1


@pytest.mark.parametrize('value', ['0', 'yes', ''])
def test_other_values_take_no_target_out(value):
    # Guards against a target taken out by a value without a meaning.
    bench = GateInTime()
    bench.time.run_until(1.0)
    bench.gate.reports.note_answer([(LEAVING, value)], 1.0)
    assert bench.gate.state.target_state == TargetState.READY


def test_a_damaged_answer_takes_no_target_out():
    # Guards against bytes of a faulty target that look like the field.
    bench = GateInTime()
    bench.time.run_until(1.0)
    bench.gate.reports.note_answer(
        [(LEAVING, '1')], 1.0, AnswerVerdict.UNPROVEN
    )
    assert bench.gate.state.target_state == TargetState.READY


def test_a_departure_told_by_an_announcement_outlives_the_gate():
    # Guards against a new gate that hears an older announcement first.
    bench = GateInTime()
    bench.load(60.0, 8.0)
    bench.time.run_until(SAID_AT)
    bench.gate.target_leaves('i-1')
    bench.time.run_until(SAID_AT + ANSWER_SECONDS)
    bench.restart_gate()
    bench.gate.announce(ready(1))
    bench.time.run_until(8.0)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 8.0)
