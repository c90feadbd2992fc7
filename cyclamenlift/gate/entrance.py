"""The way of a call into the target: begun, held, or sent back.

A call that was sent back has not run: nothing of it has reached the target.
"""

from collections.abc import Callable
import typing

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.explaining import explain_hold
from cyclamenlift.gate.state import Admission
from cyclamenlift.gate.state import Turn
from cyclamenlift.gate.state import Verdict
from cyclamenlift.wire.gen.protocol.ttypes import CallStart

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.running import GateCall
    from cyclamenlift.gate.tasks import Gate

# When a caller may come back whose call waited in vain, in seconds: about
# the half second after which a slow spell is over.
WAITED_RETRY = 0.25


class Entrance:
    """Decides what becomes of the calls that a gate has taken."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate

    # -- letting calls in -------------------------------------------------

    def take(self, call: 'GateCall') -> None:
        """Decide on a call that has come, by the pace of now."""
        self.with_pace(call, self.decide)

    def with_pace(self, call: 'GateCall', go_on: Callable) -> None:
        """Go on with a call at once, or when its target has told its pace."""
        gate = self.gate
        if self.is_pace_doubtful(call, gate.now()):
            if gate.questions.put(call.key, lambda: go_on(call, gate.now())):
                return
        go_on(call, gate.now())

    def decide(self, call: 'GateCall', now: float) -> None:
        """Let a call in, to the target or its queue, or send it back."""
        if self.gate.presence.absent:
            gone = Admission(Verdict.REFUSED, ResultCode.TARGET_UNREACHABLE)
            self.send_back(call, gone)
            return
        if self.is_too_slow(call.start, now):
            slow = Admission(Verdict.REFUSED, ResultCode.TARGET_SLOW)
            self.send_back(call, slow)
            return
        admission = self.admit(call, now)
        if admission.verdict is Verdict.REFUSED:
            self.send_back(call, admission)
            return
        if admission.verdict is Verdict.START:
            call.begin(now)
        elif admission.latest_start:
            call.wait_timer = self.gate.scheduler.at(
                admission.latest_start, lambda: self.on_wait_over(call)
            )
        if admission.held:
            explain_hold(self.gate, call, admission.held)
        if not call.ended:
            call.ask_for_body()

    def admit(self, call: 'GateCall', now: float) -> Admission:
        """Decide on a call, by its route's objective if it has one."""
        if not call.start.route_name:
            return self.gate.state.admit(call.key, call.deadline, now)
        return self.gate.state.admit_routed(call.asking(), now)

    def on_body_gathered(self, call: 'GateCall') -> None:
        """Begin a call whose body has come, by the pace of now."""
        self.with_pace(call, self.begin_or_hold)

    def begin_or_hold(self, call: 'GateCall', now: float) -> None:
        """Begin a call that has a slot, unless a spell is to be held out."""
        admission = self.gate.state.reconsider(call.asking(), now)
        if admission.held:
            explain_hold(self.gate, call, admission.held)
            call.gathering = False
            call.wait_timer = self.gate.scheduler.at(
                admission.latest_start, lambda: self.on_wait_over(call)
            )
        else:
            call.begin(now)

    # -- sending calls back -----------------------------------------------

    def send_back(self, call: 'GateCall', admission: Admission) -> None:
        """Tell the entry that a call was not let in."""
        self.gate.forget(call)
        call.tell_refused(admission.code, '', admission.retry_after)

    def on_wait_over(self, call: 'GateCall') -> None:
        """Send a call back that waited until it can not be in time."""
        if call.ended or not self.gate.state.withdraw(call.key):
            return
        self.gate.forget(call)
        call.tell_refused(ResultCode.QUEUE_DEADLINE, 'waited', WAITED_RETRY)
        self.gate.check_idle()

    def send_hopeless_back(self, now: float) -> None:
        """Send queued calls back that a slow spell has made late."""
        self.gate.follow(Turn(expired=self.gate.state.hopeless(now)))

    def send_waiting_back(self, code: ResultCode) -> None:
        """Send back all calls that the target has not got yet."""
        self.gate.follow(Turn(expired=self.gate.state.empty_queue(code)))
        for call in list(self.gate.calls.values()):
            if call.gathering:
                self.take_slot_back(call, code)
        # Who waits for the target's word is decided on again.
        self.gate.questions.answered()
        self.gate.check_idle()

    def take_slot_back(self, call: 'GateCall', code: ResultCode) -> None:
        """Send a call back whose body is on its way to a target that goes.

        The target would get it long after it said so, or never.
        """
        self.gate.questions.withdraw(call.key)
        self.gate.release(call, None, False)
        call.tell_refused(code)

    # -- queries ----------------------------------------------------------

    def is_too_slow(self, start: CallStart, now: float) -> bool:
        """Tell whether an entry would rather have its call back."""
        most = start.most_pace_percent or 0
        return 0 < most < self.gate.state.pace_percent(now)

    def is_pace_doubtful(self, call: 'GateCall', now: float) -> bool:
        """Tell whether to ask the target for its pace before a call."""
        start = call.start
        if not (self.gate.dialect.load and start.route_name):
            return False
        objective = (start.objective_left_us or 0) / MICROSECONDS
        return self.gate.state.learning.is_doubtful(
            start.route_name, objective, now
        )
