"""A target that says in its responses that it leaves gets no more calls.

Guards against a target whose announcements say ready, or are never heard,
while each of its responses says that it leaves.
"""

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.verdicts import AnswerVerdict
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from cyclamenlift.wire.gen.protocol.ttypes import TargetStatement
from tests.gate.simulation import GateInTime

LEAVING = 'x-leaving'
SAID_AT = 2.0
# Calls that were already under way when the first response said so.
ANSWER_SECONDS = 0.1


def test_no_call_starts_once_a_response_said_that_the_target_leaves():
    # Guards against a gate that heeds only announcements of a departure.
    bench = GateInTime()
    bench.load(60.0, 6.0)
    bench.time.run_until(SAID_AT)
    bench.target.say(LEAVING, '1', on_page=False)
    bench.time.run_until(6.0)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 6.0)


def leaving_bench() -> GateInTime:
    """Return a gate whose target has said in an answer that it leaves."""
    bench = GateInTime()
    bench.load(60.0, 8.0)
    bench.time.run_until(SAID_AT)
    bench.target.say(LEAVING, '1', on_page=False)
    bench.time.run_until(SAID_AT + ANSWER_SECONDS)
    return bench


def ready(
    sequence: int, incarnation: str = 'i-1', born_ms: int = 0
) -> Announcement:
    return Announcement(
        incarnation, 'prices', 6, sequence=sequence, born_ms=born_ms
    )


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


FIRST_BORN_MS = 1_000
AGAIN_BORN_MS = 3_000
RESTARTED_AT = 3.0


def drained_bench(born_ms: int = FIRST_BORN_MS) -> GateInTime:
    """Return a gate whose target drains while calls to it are running."""
    bench = GateInTime()
    bench.load(60.0, 8.0)
    bench.time.run_until(1.0)
    bench.gate.announce(ready(1, born_ms=born_ms))
    bench.time.run_until(SAID_AT)
    bench.gate.target_leaves('i-1', born_ms)
    bench.time.run_until(RESTARTED_AT)
    assert bench.statements.find('instance-1').leaving
    return bench


def is_used_again(bench: GateInTime) -> bool:
    bench.time.run_until(8.0)
    return bench.target.arrivals(RESTARTED_AT, 8.0) > 200


# Guards against a target that starts again under its name and is refused for
# good, for what entries remember of the time before.
def test_a_target_that_starts_again_under_its_name_is_used_at_once():
    bench = drained_bench()
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS))
    assert is_used_again(bench)
    assert bench.statements.find('instance-1') is None


# Guards against the same beside a daemon that started in between and knows
# the target by its health page, or by its announcement.
@pytest.mark.parametrize('born_ms', [0, AGAIN_BORN_MS])
def test_a_new_gate_uses_a_target_that_started_again(born_ms):
    bench = drained_bench()
    bench.restart_gate()
    if born_ms:
        bench.gate.announce(ready(1, born_ms=born_ms))
    bench.time.run_until(RESTARTED_AT + 0.5)
    bench.gate.announce(ready(2, born_ms=AGAIN_BORN_MS))
    assert is_used_again(bench)


# Guards against a departure that is forgotten with the daemon, as the new one
# hears a late announcement of the same start.
@pytest.mark.parametrize('known_by_page', [True, False])
def test_a_departure_of_the_same_start_outlives_the_gate(known_by_page):
    bench = drained_bench()
    bench.restart_gate()
    if known_by_page:
        bench.time.run_until(RESTARTED_AT + 0.5)
    bench.gate.announce(ready(1, born_ms=FIRST_BORN_MS))
    bench.time.run_until(8.0)
    assert not bench.target.arrivals(RESTARTED_AT, 8.0)


# Guards against a new start that is drained by an entry that names none, as
# one of an earlier release, and against a departure from before this process
# that is not believed for the same reason.
@pytest.mark.parametrize(
    ('born_ms', 'used'), [(FIRST_BORN_MS, False), (AGAIN_BORN_MS + 500, True)]
)
def test_a_statement_without_a_start_is_from_before_this_process(
    born_ms, used
):
    bench = drained_bench()
    bench.restart_gate()
    bench.gate.announce(ready(1, born_ms=born_ms))
    bench.gate.reports.note_hearsay(TargetStatement('i-1', True))
    state = bench.gate.state.target_state
    assert (state == TargetState.READY) is used


# Guards against the same if no announcement had come before it left.
def test_a_target_that_left_before_its_start_was_known_may_start_again():
    bench = leaving_bench()
    bench.target.say(LEAVING, None, on_page=False)
    bench.gate.announce(ready(1, born_ms=FIRST_BORN_MS))
    assert bench.gate.state.target_state == TargetState.DRAINING
    bench.time.run_until(RESTARTED_AT)
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS))
    assert is_used_again(bench)


# Guards against a limit of the time before that holds the new start back.
def test_a_limit_of_an_earlier_start_is_not_kept():
    bench = drained_bench()
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS))
    bench.gate.reports.note_hearsay(
        TargetStatement('i-1', False, 0.5, FIRST_BORN_MS)
    )
    assert bench.gate.state.start_limits.declared.calls_per_second is None


# Guards against answers and pages of the time before that are read after the
# new start was announced, by a daemon that stood still.
@pytest.mark.parametrize('on_page', [False, True])
def test_a_late_response_of_an_earlier_start_takes_no_target_out(on_page):
    bench = drained_bench()
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS))
    headers = [(LEAVING, '1'), ('x-name', 'i-1'), ('x-limit', '0.5')]
    if on_page:
        bench.gate.reports.note_page(headers, SAID_AT)
    else:
        bench.gate.reports.note_answer(headers, SAID_AT)
    assert bench.gate.state.target_state == TargetState.READY
    assert bench.gate.state.start_limits.declared.calls_per_second is None


# Guards against a target that starts again after its clock was set back, and
# that entries drain for what the start before said, with a later time.
@pytest.mark.parametrize('new_gate', [False, True])
def test_a_target_whose_clock_was_set_back_is_used_again(new_gate):
    bench = drained_bench()
    bench.load(60.0, 20.0)
    if new_gate:
        bench.restart_gate()
    for sequence in range(1, 9):
        bench.gate.announce(ready(sequence, born_ms=FIRST_BORN_MS - 500))
        bench.time.run_until(RESTARTED_AT + 1.5 * sequence)
    bench.time.run_until(20.0)
    assert bench.target.arrivals(12.0, 20.0) > 200


def announce_until(bench: GateInTime, end: float, born_ms: int) -> None:
    """Let the target announce every 1.5 s that it is ready."""
    sequence = 10
    while bench.time.now() < end:
        bench.gate.announce(ready(sequence, born_ms=born_ms))
        bench.time.run_until(bench.time.now() + 1.5)
        sequence += 1


# Guards against a leaving target that is taken for one that started again, as
# its start was not known when it left and it goes on to announce itself.
def test_a_target_that_left_is_not_brought_back_by_its_announcements():
    bench = leaving_bench()
    bench.load(60.0, 20.0)
    announce_until(bench, 20.0, born_ms=FIRST_BORN_MS)
    assert not bench.target.arrivals(SAID_AT + ANSWER_SECONDS, 20.0)


# Guards against the same beside a new gate, if entries name no start.
def test_a_target_that_left_is_not_brought_back_beside_a_new_gate():
    bench = drained_bench()
    bench.statements.find('instance-1').born_ms = None
    bench.restart_gate()
    bench.gate.announce(ready(1, born_ms=FIRST_BORN_MS))
    bench.load(60.0, 20.0)
    announce_until(bench, 20.0, born_ms=FIRST_BORN_MS)
    assert not bench.target.arrivals(RESTARTED_AT, 20.0)
