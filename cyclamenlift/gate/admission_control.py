"""Admits calls to the target, puts them on hold or refuses them.

A call that is refused has not run: no part of it has reached the target.
"""

from collections.abc import Callable
import typing

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.call_boundary import run_step
from cyclamenlift.gate.decision_log import log_hold
from cyclamenlift.gate.state import Admission
from cyclamenlift.gate.state import DequeueResult
from cyclamenlift.gate.state import Verdict
from cyclamenlift.wire.gen.protocol.ttypes import CallStart

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall
    from cyclamenlift.gate.tasks import Gate

# Retry-after for a call that waited in vain, in seconds: of the order of the
# half second after which a slowdown is over.
QUEUE_TIMEOUT_RETRY_AFTER = 0.25
# Timers may fire slightly early.
MIN_LIMIT_WAIT_SECONDS = 0.001


class AdmissionController:
    """Applies admission decisions to the calls of a gate."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        # Fires when a limit on starts allows another call.
        self.limit_timer = None

    # -- admission -------------------------------------------------------

    def admit_new(self, call: 'GateCall') -> None:
        """Decide on a new call by the target's current pace."""
        self.when_pace_known(call, self.decide)

    def when_pace_known(self, call: 'GateCall', resume: Callable) -> None:
        """Run ``resume`` for a call once the target's pace is known."""
        gate = self.gate
        if self.needs_pace_query(call, gate.now()):
            if gate.pace_queries.defer(
                call.key, lambda: run_step(call, resume, call, gate.now())
            ):
                return
        resume(call, gate.now())

    def decide(self, call: 'GateCall', now: float) -> None:
        """Start a call, queue it or refuse it."""
        if self.gate.evacuated:
            self.refuse(call, Admission(Verdict.REFUSED, ResultCode.EVACUATED))
            return
        if self.gate.presence.absent:
            gone = Admission(Verdict.REFUSED, ResultCode.TARGET_UNREACHABLE)
            self.refuse(call, gone)
            return
        if self.is_too_slow(call.start, now):
            slow = Admission(Verdict.REFUSED, ResultCode.TARGET_SLOW)
            self.refuse(call, slow)
            return
        admission = self.admit(call, now)
        if admission.verdict is Verdict.REFUSED:
            self.refuse(call, admission)
            return
        if admission.verdict is Verdict.START:
            call.begin(now)
        elif admission.latest_start:
            call.wait_timer = self.gate.scheduler.at(
                admission.latest_start, lambda: self.on_queue_timeout(call)
            )
        if admission.displaced:
            self.gate.apply_dequeued(
                DequeueResult(dropped=list(admission.displaced))
            )
        if admission.hold_seconds:
            log_hold(self.gate, call, admission.hold_seconds)
        if not call.ended:
            call.request_body()
        self.start_when_allowed()

    def admit(self, call: 'GateCall', now: float) -> Admission:
        """Decide on a call, by its route's objective if it has a route."""
        if not call.start.route_name:
            return self.gate.state.admit(call.key, call.deadline, now)
        return self.gate.state.admit_routed(call.admission_request(), now)

    def on_body_complete(self, call: 'GateCall') -> None:
        """Begin a call whose body is complete, if the pace allows it."""
        self.when_pace_known(call, self.begin_or_hold)

    def begin_or_hold(self, call: 'GateCall', now: float) -> None:
        """Begin a call that has a slot, or hold it until a slowdown ends."""
        admission = self.gate.state.recheck_before_start(
            call.admission_request(), now
        )
        if admission.hold_seconds:
            log_hold(self.gate, call, admission.hold_seconds)
            call.is_buffering = False
            call.wait_timer = self.gate.scheduler.at(
                admission.latest_start, lambda: self.on_queue_timeout(call)
            )
        else:
            call.begin(now)

    # -- limits on starts ------------------------------------------------

    def start_when_allowed(self) -> None:
        """Start the queued calls as soon as the target may get them.

        A target that may have become cold is asked first.
        """
        state = self.gate.state
        if not state.queue or self.limit_timer is not None:
            return
        now = self.gate.now()
        wait = state.start_limits.wait(now)
        if not wait:
            return
        if state.start_limits.cold.needs_report(now):
            self.gate.pace_queries.send_query()
        self.limit_timer = self.gate.scheduler.after(
            max(MIN_LIMIT_WAIT_SECONDS, wait), self.on_limit_timer
        )

    def restart_limit_timer(self) -> None:
        """Start the queued calls by a limit that has just changed."""
        if self.limit_timer is not None:
            self.limit_timer.cancel()
        self.on_limit_timer()

    def on_limit_timer(self) -> None:
        """Start the queued calls that the target may get by now."""
        self.limit_timer = None
        gate = self.gate
        gate.apply_dequeued(gate.state.start_queued(gate.now()))

    # -- refusals --------------------------------------------------------

    def refuse(self, call: 'GateCall', admission: Admission) -> None:
        """Refuse a call that was not admitted."""
        self.gate.forget(call)
        call.send_refused(admission.code, '', admission.retry_after)

    def on_queue_timeout(self, call: 'GateCall') -> None:
        """Refuse a queued call that can no longer finish in time."""
        if call.ended or not self.gate.state.withdraw(call.key):
            return
        self.gate.forget(call)
        call.send_refused(
            ResultCode.QUEUE_DEADLINE, 'waited', QUEUE_TIMEOUT_RETRY_AFTER
        )
        self.gate.check_idle()

    def refuse_late_calls(self, now: float) -> None:
        """Refuse queued calls that a slowdown has made late."""
        self.gate.apply_dequeued(
            DequeueResult(dropped=self.gate.state.drop_late_calls(now))
        )

    def refuse_waiting_calls(self, code: ResultCode) -> None:
        """Refuse all calls that have not been sent to the target yet."""
        self.gate.apply_dequeued(
            DequeueResult(dropped=self.gate.state.empty_queue(code))
        )
        for call in list(self.gate.calls.values()):
            if call.is_buffering:
                self.revoke_slot(call, code)
        # Decide again on calls that wait for the target's pace.
        self.gate.pace_queries.resume_all()
        self.gate.check_idle()

    def revoke_slot(self, call: 'GateCall', code: ResultCode) -> None:
        """Refuse a call whose body is still arriving at a departing target.

        The target would get it long after it announced its departure, or
        never.
        """
        self.gate.pace_queries.withdraw(call.key)
        self.gate.release(call, None, False)
        call.send_refused(code)

    # -- queries ----------------------------------------------------------

    def is_too_slow(self, start: CallStart, now: float) -> bool:
        """Return whether the target is slower than the entry accepts."""
        max_pace = start.most_pace_percent or 0
        return 0 < max_pace < self.gate.state.pace_percent(now)

    def needs_pace_query(self, call: 'GateCall', now: float) -> bool:
        """Return whether to query the target's pace before a call begins."""
        start = call.start
        if self.gate.state.start_limits.declared.wait(now):
            # It can't begin now; a target in need is spared the request.
            return False
        if self.gate.state.start_limits.cold.needs_report(now):
            return True
        if not (self.gate.dialect.load and start.route_name):
            return False
        objective = (start.objective_left_us or 0) / MICROSECONDS
        return self.gate.state.performance.is_pace_uncertain(
            start.route_name, objective, now
        )
