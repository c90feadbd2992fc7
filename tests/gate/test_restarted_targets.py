"""A target that starts again under its name is told from the start before.

Guards against a target that is refused for good for what it said, or is
remembered to have said, before it started again, and against one that left
and is taken for another start.
"""

import dataclasses

import pytest

from cyclamenlift.gate.registration import Announcement
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from cyclamenlift.wire.gen.protocol.ttypes import TargetStatement
from tests.gate.departures import AGAIN_BORN_MS
from tests.gate.departures import announce_until
from tests.gate.departures import ANSWER_SECONDS
from tests.gate.departures import drained_bench
from tests.gate.departures import FIRST_BORN_MS
from tests.gate.departures import is_used_again
from tests.gate.departures import LEAVING
from tests.gate.departures import leaving_bench
from tests.gate.departures import ready
from tests.gate.departures import RESTARTED_AT
from tests.gate.departures import SAID_AT
from tests.gate.simulation import GateInTime
from tests.gate.simulation import INSTANCE


# Guards against a target that starts again under its name and is refused for
# good, for what entries remember of the time before.
def test_a_target_that_starts_again_under_its_name_is_used_at_once():
    bench = drained_bench()
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS))
    assert is_used_again(bench)
    assert bench.statements.find(INSTANCE) is None


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
    bench.statements.find(INSTANCE).born_ms = None
    bench.restart_gate()
    bench.gate.announce(ready(1, born_ms=FIRST_BORN_MS))
    bench.load(60.0, 20.0)
    announce_until(bench, 20.0, born_ms=FIRST_BORN_MS)
    assert not bench.target.arrivals(RESTARTED_AT, 20.0)


def draining(born_ms: int) -> Announcement:
    return Announcement(
        'i-1', 'prices', 6, draining=True, sequence=9, born_ms=born_ms
    )


# Guards against calls that reach a target after its drain or its departure
# was confirmed, as its clock had been set back before it started.
@pytest.mark.parametrize('departs', [False, True])
@pytest.mark.parametrize('known', [True, False])
def test_a_drain_after_the_clock_was_set_back_takes_effect(departs, known):
    bench = GateInTime()
    bench.load(60.0, 20.0)
    bench.time.run_until(1.0)
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS), True)
    bench.time.run_until(SAID_AT)
    if known:
        bench.gate.announce(ready(1, born_ms=FIRST_BORN_MS), True)
    bench.time.run_until(RESTARTED_AT)
    if departs:
        assert bench.gate.take_departure('i-1', FIRST_BORN_MS, awaited=True)
    else:
        bench.gate.announce(draining(FIRST_BORN_MS), True)
    bench.time.run_until(20.0)
    assert not bench.target.arrivals(RESTARTED_AT + ANSWER_SECONDS, 20.0)


# Guards against a start that is taken for ready, as it says that it drains
# right after the one before it has left.
def test_a_start_that_drains_at_once_after_a_departure_gets_no_calls():
    bench = drained_bench()
    bench.gate.announce(draining(AGAIN_BORN_MS), True)
    bench.load(60.0, 5.0)
    bench.time.run_until(8.0)
    assert bench.gate.state.target_state == TargetState.DRAINING
    assert not bench.target.arrivals(RESTARTED_AT, 8.0)


# Guards against a cold target that ends under the calls of a warm one, as its
# clock was set back and its start is not recognized yet.
@pytest.mark.parametrize('awaited', [True, False])
def test_a_cold_start_with_an_earlier_clock_is_spared(awaited):
    bench = GateInTime()
    bench.gate.announce(ready(1, born_ms=AGAIN_BORN_MS), True)
    cold = bench.gate.state.start_limits.cold
    assert not cold.told_cold
    announcement = dataclasses.replace(
        ready(1, born_ms=FIRST_BORN_MS), warm_up_seconds=3.0
    )
    bench.gate.announce(announcement, awaited)
    assert bool(cold.told_cold) is awaited
    bench.gate.announce(ready(2, born_ms=AGAIN_BORN_MS), True)
    assert not cold.told_cold
