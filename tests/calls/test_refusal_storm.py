"""An entry stops asking gates once its call would be late everywhere.

Guards against callers that are held until they leave, and against asks that
are of no use: after a restart of all instances gates are full and answer each
ask after some tens of milliseconds, so a call that asks eight of them is late
by the fifth. Its asks delay those of the calls that come after it.
"""

import types

import pytest

from cyclamenlift.calls.state import CallState
from cyclamenlift.calls.state import Ending
from cyclamenlift.calls.state import EndKind
from cyclamenlift.calls.state import MAX_GATES_ASKED
from cyclamenlift.calls.state import Step
from cyclamenlift.calls.tries import Tries
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.quarantine.state import Assessment
from cyclamenlift.quarantine.state import QuarantineStatus
from cyclamenlift.routing.messages import CallProfile
from cyclamenlift.routing.messages import Choice
from cyclamenlift.routing.statements import TargetStatements

WORK = 0.07
OBJECTIVE = 0.30
DEADLINE = 1.0
# Time in which a gate in the storm answers, in seconds.
ANSWER = 0.06


class RefusingGates:
    """An entry with one call, at which every gate refuses with ``code``."""

    def __init__(self, nested: bool = False, code=ResultCode.QUEUE_DEADLINE):
        self.time = 0.0
        self.code = code
        self.asked: list[float] = []
        self.failed_at: float | None = None
        budget = types.SimpleNamespace(earn=lambda: None)
        self.state = CallState(
            True, 2, DEADLINE, budget, gate_refusals_free=True
        )
        self.tries = Tries(
            types.SimpleNamespace(
                state=self.state,
                calls=self.entry(),
                request=request(nested),
                fingerprint=b'',
                whole_body=b'',
                answered=False,
                respond_failed=self.fail,
            )
        )
        self.tries.start_message = lambda _now: types.SimpleNamespace()

    def entry(self) -> types.SimpleNamespace:
        """Return what the tries use of their entry."""
        clear = Assessment(QuarantineStatus.CLEAR)
        link = types.SimpleNamespace(post=lambda _frame: b'frame', pending=0)
        return types.SimpleNamespace(
            now=lambda: self.time,
            quarantine=types.SimpleNamespace(assess=lambda *_: clear),
            routing=types.SimpleNamespace(
                choose=choose,
                profile=lambda *_: CallProfile('look-up', WORK),
                call_started=lambda *_: None,
                is_evacuated=lambda _service: False,
                statements=TargetStatements(),
            ),
            link_to=lambda _choice: link,
            next_number=lambda: len(self.asked),
            tries={},
            max_pace_checks=0,
        )

    def fail(self) -> None:
        self.failed_at = self.time

    def run(self) -> None:
        """Ask one gate after the other until the call fails."""
        self.tries.start()
        while self.failed_at is None:
            self.asked.append(self.time)
            self.tries.open.clear()
            self.time += ANSWER
            ending = Ending(EndKind.NOT_RUN, self.code, 50)
            if self.state.try_ended(ending, self.time) is Step.RETRY:
                self.tries.start()
            else:
                self.fail()


def request(nested: bool) -> types.SimpleNamespace:
    """Return a look-up that came at time 0."""
    return types.SimpleNamespace(
        rule=types.SimpleNamespace(name='prices', hedge=False),
        route=types.SimpleNamespace(objective_seconds=OBJECTIVE),
        route_name='look-up',
        nested=nested,
        idempotent=True,
        objective_deadline=OBJECTIVE,
        deadline=DEADLINE,
    )


def choose(_service, _now, excluded, _profile) -> Choice:
    """Choose a gate that was not asked yet."""
    return Choice(f't{len(excluded)}', None, hot=False)


def test_no_gate_is_asked_once_the_call_would_be_late():
    storm = RefusingGates()
    storm.run()
    assert all(at + WORK <= OBJECTIVE for at in storm.asked)
    assert 1 < len(storm.asked) < MAX_GATES_ASKED
    # Refused at once, with a proof that it has not run and a time to return.
    assert storm.failed_at <= OBJECTIVE
    assert storm.state.final_code() == ResultCode.QUEUE_DEADLINE
    assert storm.state.retry_after_ms == 50


def test_a_nested_call_asks_on_while_its_parent_waits():
    storm = RefusingGates(nested=True)
    storm.run()
    assert len(storm.asked) == MAX_GATES_ASKED


@pytest.mark.parametrize(
    'code', [ResultCode.DRAINING, ResultCode.TARGET_SLOW, ResultCode.EVACUATED]
)
def test_refusals_that_tell_of_no_overload_do_not_end_a_call(code):
    # Guards against calls given up while other targets have free slots.
    storm = RefusingGates(code=code)
    storm.run()
    assert len(storm.asked) == MAX_GATES_ASKED
