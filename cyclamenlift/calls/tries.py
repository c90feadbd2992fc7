"""The tries of one call: target choice, hedging and cancellation."""

import typing

from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.state import MAX_GATES_ASKED
from cyclamenlift.calls.state import OVERLOAD_CODES
from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.clock import seconds_since_boot
from cyclamenlift.core.clock import time_left
from cyclamenlift.quarantine.state import QuarantineStatus
from cyclamenlift.routing.hedging import latest_hedge_time
from cyclamenlift.routing.messages import CallProfile
from cyclamenlift.routing.messages import Choice
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancel

if typing.TYPE_CHECKING:
    from cyclamenlift.calls.call import Call

# The gate gets slightly less time than the entry has, so that its proof of
# "not run" arrives before the entry has to answer without it.
GATE_MARGIN = 0.010
GATE_MARGIN_SHARE = 0.05
# A hedge is sent after this share of a call's time at the latest, even without
# enough answers for a quantile, because the first target may be frozen.
RESCUE_SHARE = 0.25
MIN_HEDGE_WAIT = 0.005
# Minimum pace, in percent of the usual, for a gate to send a call back because
# its target is slower than expected and others can be tried.
SLOW_PACE = 200
MAX_PACE_CHECKS = MAX_GATES_ASKED - 1


class Tries:
    """Owns the open tries of one call and its hedge timer.

    ``open`` maps numbers to the tries that have not ended; ``tried`` holds the
    instances that were sent the call.
    """

    def __init__(self, call: 'Call'):
        self.call = call
        self.calls = call.calls
        self.service = call.request.rule.name
        self.open: dict[int, Try] = {}
        self.tried: set[str] = set()
        self.hedged = False
        self.hedge_timer = None
        self.rescue_at = 0.0

    # -- commands ---------------------------------------------------------

    def start(self, hedge: bool = False, rescue: bool = False) -> None:
        """Send the call to the best gate that has not had it yet.

        A rescue may also go to a gate that refused the call before.
        """
        call = self.call
        now = self.calls.now()
        excluded = frozenset(self.tried)
        if rescue:
            excluded = frozenset(t.instance for t in self.open.values())
        quarantine = self.calls.quarantine
        assessment = quarantine.assess(self.service, call.fingerprint)
        if assessment.status is not QuarantineStatus.CLEAR and hedge:
            return
        if assessment.status is QuarantineStatus.QUARANTINED:
            self.refuse_quarantined(assessment.until - now)
            return
        if self.is_too_late(now):
            call.respond_failed()
            return
        choice = self.choose(now, excluded, assessment.status)
        if choice is None or (hedge and choice.hot and not rescue):
            if not self.open:
                self.note_evacuation()
                call.respond_failed()
            return
        link = self.calls.link_to(choice)
        number = self.calls.next_number()
        message = self.start_message(now)
        message.most_pace_percent = self.max_pace(choice)
        message.statement = self.calls.routing.statements.find(choice.instance)
        attempt = Try(number, choice.instance, link, now, hedge)
        self.tried.add(choice.instance)
        self.open[number] = attempt
        self.calls.tries[number] = call
        call.state.try_started()
        self.calls.routing.call_started(self.service, choice.instance, now)
        if not attempt.send(message, call.whole_body):
            call.end_unsent(attempt)
        elif not call.answered:
            self.schedule_hedge(now)

    def forget(self, attempt: Try) -> None:
        self.open.pop(attempt.number, None)
        self.calls.tries.pop(attempt.number, None)

    def report_outcome(self, attempt: Try, outcome: Outcome) -> None:
        """Report the end of a try to the estimate of its target."""
        now = self.calls.now()
        seconds = now - attempt.started_at
        self.calls.routing.call_ended(
            self.service, attempt.instance, outcome, seconds, now
        )

    def drop(self, attempt: Try, outcome: Outcome) -> None:
        self.forget(attempt)
        self.report_outcome(attempt, outcome)

    def cancel(self, outcome: Outcome, except_for: Try | None = None) -> None:
        """Cancel the open tries that are no longer needed.

        ``outcome`` is what routing records for their targets.
        """
        for attempt in list(self.open.values()):
            if attempt is except_for:
                continue
            # Remove the try first: a gate in this process confirms at once,
            # and its confirmation must not start a new try of a finished call.
            self.forget(attempt)
            self.call.state.open_tries -= 1
            if not attempt.withdraw():
                attempt.link.send(Cancel(attempt.number))
            self.report_outcome(attempt, outcome)

    def close(self) -> None:
        """Stop hedging and drop the reference to the finished call."""
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
        self.call = None

    def is_too_late(self, now: float) -> bool:
        """Return whether to ask no further gate after refusals for overload.

        The call would be late wherever it began now, and asking costs those
        who come after.
        """
        request = self.call.request
        state = self.call.state
        if request.route is None or request.nested or self.open:
            return False
        if state.last_code not in OVERLOAD_CODES or not state.gates_asked:
            return False
        return now + self.profile().work > request.objective_deadline

    def note_evacuation(self) -> None:
        """Tell the caller if no target is left because of an evacuation."""
        state = self.call.state
        if not state.gates_asked and self.calls.routing.is_evacuated(
            self.service
        ):
            state.note_evacuated()

    def skip_data_centre_of(self, instance: str) -> None:
        """Try no other target in the data centre of an instance."""
        self.tried |= self.calls.routing.targets_beside(self.service, instance)

    def refuse_quarantined(self, wait: float) -> None:
        """End a quarantined call, which must not be sent to a target."""
        call = self.call
        call.state.mark_quarantined(int(wait * MILLISECONDS))
        if not self.open:
            call.respond_failed()

    # -- queries ----------------------------------------------------------

    def choose(
        self, now: float, excluded: frozenset[str], status: QuarantineStatus
    ) -> Choice | None:
        """Return where to send the call next, or None.

        A suspect request always maps to the same target at all entries, so
        that it ends only one target at a time if it is harmful.
        """
        routing = self.calls.routing
        if status is QuarantineStatus.SUSPECT:
            fingerprint = self.call.fingerprint
            return routing.choose_by_hash(
                self.service, now, excluded, self.profile(), fingerprint
            )
        return routing.choose(self.service, now, excluded, self.profile())

    def none_sent(self) -> bool:
        """Return whether none of the open tries was sent at all."""
        return all(attempt.was_never_sent() for attempt in self.open.values())

    def profile(self) -> CallProfile:
        """Return the properties of the call for the choice of a target."""
        request = self.call.request
        route = request.route
        return self.calls.routing.profile(
            request.route_name,
            len(self.call.whole_body),
            route.objective_seconds if route else 0.0,
        )

    # -- steps ------------------------------------------------------------

    def start_message(self, now: float) -> CallStart:
        request = self.call.request
        exchange = self.call.exchange
        left = time_left(request.deadline, now)
        left -= min(GATE_MARGIN, left * GATE_MARGIN_SHARE)
        return CallStart(
            service_name=self.service,
            method=exchange.method,
            path=exchange.path,
            headers=self.calls.forwarded_headers(exchange),
            time_left_us=int(left * MICROSECONDS),
            body_length=len(self.call.whole_body),
            idempotent=request.idempotent,
            depth=request.depth,
            trace_id=request.call_id,
            config_version=self.calls.rules.version,
            rank=request.rank,
            objective_left_us=self.objective_left(now),
            nested=request.nested,
            returned=request.returned,
            route_name=request.route_name,
            repeated=may_have_been_sent(self.call),
            fingerprint=self.call.fingerprint,
            account=request.account_name or None,
            sent_at_us=int(seconds_since_boot() * MICROSECONDS),
        )

    def max_pace(self, choice: Choice) -> int:
        """Return the pace above which the gate should send the call back.

        Gates have current figures, while those of the entry may be old. After
        several refusals the call accepts any pace.
        """
        state = self.call.state
        if (
            not state.gate_refusals_free
            or state.gates_asked >= self.calls.max_pace_checks
        ):
            return 0
        return max(SLOW_PACE, choice.pace_percent)

    def objective_left(self, now: float) -> int:
        """Return the microseconds left until the latency objective."""
        left = time_left(self.call.request.objective_deadline, now)
        return int(left * MICROSECONDS)

    def schedule_hedge(self, now: float) -> None:
        request = self.call.request
        if not (request.idempotent and request.rule.hedge):
            return
        if self.hedge_timer is not None:
            return
        left = time_left(request.deadline, now)
        self.rescue_at = now + left * RESCUE_SHARE
        wait = self.calls.routing.hedge_delay(self.service, now)
        due = self.rescue_at if wait is None else now + wait
        if request.route is not None:
            work = self.profile().work
            last = latest_hedge_time(request.objective_deadline, work)
            due = min(due, last) if last > now else due
        due = min(due, self.rescue_at)
        self.hedge_timer = self.calls.scheduler.at(due, self.on_hedge)

    def on_hedge(self) -> None:
        """Send a hedge if the budget allows it and schedule the next check.

        An early hedge only reduces tail latency and leaves part of the budget
        to hedges that rescue a call from a frozen target.
        """
        if self.call is None or self.call.answered:
            return
        now = self.calls.now()
        rescue = now >= self.rescue_at
        keep = 0.0 if rescue else self.call.state.budget.rescue_reserve
        if rescue:
            left = time_left(self.call.request.deadline, now)
            self.rescue_at = now + max(MIN_HEDGE_WAIT, left / 3)
        scheduler = self.calls.scheduler
        self.hedge_timer = scheduler.at(self.rescue_at, self.on_hedge)
        if self.call.state.may_hedge(keep, rescue):
            self.hedged = True
            self.start(hedge=True, rescue=rescue)


def may_have_been_sent(call: 'Call') -> bool:
    """Return whether a target may have received the call already."""
    return call.state.tries > 0
