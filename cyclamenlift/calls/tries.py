"""The tries of one call: where they go, when they are hedged or cancelled."""

import typing

from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.state import MOST_ASKED
from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.clock import seconds_since_boot
from cyclamenlift.core.clock import time_left
from cyclamenlift.quarantine.state import Standing
from cyclamenlift.routing.hedging import last_in_time
from cyclamenlift.routing.messages import Choice
from cyclamenlift.routing.messages import Need
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancel

if typing.TYPE_CHECKING:
    from cyclamenlift.calls.life import Call

# The gate gets a little less time than the entry has, so that its proof
# of "not run" arrives before the entry must answer without one.
GATE_MARGIN = 0.010
GATE_MARGIN_SHARE = 0.05
# A hedge goes out by this share of a call's time, also where too few
# answers were seen to know when one pays: the first target may be frozen.
LATEST_HEDGE_SHARE = 0.25
LEAST_WAIT = 0.005
# A gate whose target is slower than this, in percent of the usual, and
# slower than was known, sends a call back while it has other choices.
SLOW_PACE = 200
SLOW_ASKED = MOST_ASKED - 1


class Tries:
    """Owns the open tries of one call and the timer of its hedge.

    ``open`` holds the tries that have not ended, by number; ``tried`` the
    instances that had the call.
    """

    def __init__(self, call: 'Call'):
        self.call = call
        self.calls = call.calls
        self.service = call.request.rule.name
        self.open: dict[int, Try] = {}
        self.tried: set[str] = set()
        self.hedged = False
        self.hedge_timer = None
        self.late_hedge_at = 0.0

    # -- commands ---------------------------------------------------------

    def start(self, hedge: bool = False, rescue: bool = False) -> None:
        """Send the call to the best gate that has not had it yet.

        A rescue also goes to a gate that refused the call before.
        """
        call = self.call
        now = self.calls.now()
        excluded = frozenset(self.tried)
        if rescue:
            excluded = frozenset(t.instance for t in self.open.values())
        quarantine = self.calls.quarantine
        judgement = quarantine.judge(self.service, call.fingerprint)
        if judgement.standing is not Standing.CLEAR and hedge:
            return
        if judgement.standing is Standing.QUARANTINED:
            self.set_aside(judgement.until - now)
            return
        choice = self.choose(now, excluded, judgement.standing)
        if choice is None or (hedge and choice.hot and not rescue):
            if not self.open:
                call.finish_failed()
            return
        link = self.calls.link_to(choice)
        number = self.calls.next_number()
        message = self.start_message(now)
        message.most_pace_percent = self.most_pace(choice)
        attempt = Try(number, choice.instance, link, now, hedge)
        self.tried.add(choice.instance)
        self.open[number] = attempt
        self.calls.tries[number] = call
        call.state.try_started()
        self.calls.routing.call_started(self.service, choice.instance, now)
        if not attempt.send(message, call.whole_body):
            call.end_unsent(attempt)
        elif not call.answered:
            self.plan_hedge(now)

    def forget(self, attempt: Try) -> None:
        self.open.pop(attempt.number, None)
        self.calls.tries.pop(attempt.number, None)

    def tell_routing(self, attempt: Try, outcome: Outcome) -> None:
        """Report the end of a try to the estimates of its target."""
        now = self.calls.now()
        seconds = now - attempt.started_at
        self.calls.routing.call_ended(
            self.service, attempt.instance, outcome, seconds, now
        )

    def drop(self, attempt: Try, outcome: Outcome) -> None:
        self.forget(attempt)
        self.tell_routing(attempt, outcome)

    def cancel(self, outcome: Outcome, except_for: Try | None = None) -> None:
        """Cancel at their gates the tries that no longer matter.

        ``outcome`` tells routing what their silence says of their targets.
        """
        for attempt in list(self.open.values()):
            if attempt is except_for:
                continue
            # Forgotten first: a gate in this process confirms at once, and
            # its word must not start a try of a call that is over.
            self.forget(attempt)
            self.call.state.open_tries -= 1
            if not attempt.withdraw():
                attempt.link.send(Cancel(attempt.number))
            self.tell_routing(attempt, outcome)

    def close(self) -> None:
        """Stop hedging and let go of the call, which has its answer."""
        if self.hedge_timer is not None:
            self.hedge_timer.cancel()
        self.call = None

    def set_aside(self, wait: float) -> None:
        """End a call that must not be sent to a target."""
        call = self.call
        call.state.set_aside(int(wait * MILLISECONDS))
        if not self.open:
            call.finish_failed()

    # -- queries ----------------------------------------------------------

    def choose(
        self, now: float, excluded: frozenset[str], standing: Standing
    ) -> Choice | None:
        """Return where the call goes next, None when nowhere.

        A suspect has one target of its own, the same for all entries, so
        that it ends one at a time if it is harmful.
        """
        routing = self.calls.routing
        if standing is Standing.SUSPECT:
            fingerprint = self.call.fingerprint
            return routing.home(
                self.service, now, excluded, self.need(), fingerprint
            )
        return routing.choose(self.service, now, excluded, self.need())

    def none_left(self) -> bool:
        """Tell whether no open try has left this process."""
        return all(attempt.never_left() for attempt in self.open.values())

    def need(self) -> Need:
        """Return what is known of the call, for the choice of a target."""
        request = self.call.request
        route = request.route
        return self.calls.routing.need(
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
            repeated=call_was_sent(self.call),
            fingerprint=self.call.fingerprint,
            sent_at_us=int(seconds_since_boot() * MICROSECONDS),
        )

    def most_pace(self, choice: Choice) -> int:
        """Return the pace beyond which the gate shall send the call back.

        The figures here may be old; the gate's are not. After a few gates
        were asked the call takes what it gets.
        """
        state = self.call.state
        if (
            not state.gate_refusals_free
            or state.asked >= self.calls.slow_asked
        ):
            return 0
        return max(SLOW_PACE, choice.pace_percent)

    def objective_left(self, now: float) -> int:
        """Return the microseconds in which an answer is in time."""
        left = time_left(self.call.request.objective_deadline, now)
        return int(left * MICROSECONDS)

    def plan_hedge(self, now: float) -> None:
        request = self.call.request
        if not (request.idempotent and request.rule.hedge):
            return
        if self.hedge_timer is not None:
            return
        left = time_left(request.deadline, now)
        self.late_hedge_at = now + left * LATEST_HEDGE_SHARE
        wait = self.calls.routing.hedge_after(self.service, now)
        due = self.late_hedge_at if wait is None else now + wait
        if request.route is not None:
            work = self.need().work
            last = last_in_time(request.objective_deadline, work)
            due = min(due, last) if last > now else due
        due = min(due, self.late_hedge_at)
        self.hedge_timer = self.calls.scheduler.at(due, self.on_hedge)

    def on_hedge(self) -> None:
        """Send a hedge if the budget has one, and look again when late.

        An early hedge only shortens a tail and leaves a part of the budget
        to those that rescue a call from a frozen target.
        """
        if self.call is None or self.call.answered:
            return
        now = self.calls.now()
        rescue = now >= self.late_hedge_at
        keep = 0.0 if rescue else self.call.state.budget.kept
        if rescue:
            left = time_left(self.call.request.deadline, now)
            self.late_hedge_at = now + max(LEAST_WAIT, left / 3)
        scheduler = self.calls.scheduler
        self.hedge_timer = scheduler.at(self.late_hedge_at, self.on_hedge)
        if self.call.state.may_hedge(keep, rescue):
            self.hedged = True
            self.start(hedge=True, rescue=rescue)


def call_was_sent(call: 'Call') -> bool:
    """Tell whether a target may have had the call before this try."""
    return call.state.tries > 0
