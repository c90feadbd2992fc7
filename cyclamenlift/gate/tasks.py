"""The gate: takes calls from entries and lets them into its own target."""

from collections.abc import Callable
from collections.abc import Hashable

import structlog

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.clock import seconds_since_boot
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.gate.announcements import Announcements
from cyclamenlift.gate.bodies import BodyTurns
from cyclamenlift.gate.delays import Delays
from cyclamenlift.gate.ends import EndWatch
from cyclamenlift.gate.entrance import Entrance
from cyclamenlift.gate.news import GateNews
from cyclamenlift.gate.presence import Presence
from cyclamenlift.gate.probes import ProbeBudget
from cyclamenlift.gate.questions import PaceQuestions
from cyclamenlift.gate.registration import Announced
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import Registration
from cyclamenlift.gate.registration import UNKNOWN_START
from cyclamenlift.gate.running import GateCall
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Turn
from cyclamenlift.gate.suspects import SuspectCheck
from cyclamenlift.http.dialects import DEFAULT_DIALECT
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.dialects import parse_load
from cyclamenlift.http.headers import find_header
from cyclamenlift.models.rules import EventRules
from cyclamenlift.models.rules import ServiceRule
from cyclamenlift.quarantine.tasks import Quarantine
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import Probe
from cyclamenlift.wire.gen.protocol.ttypes import ProbeAnswer
from cyclamenlift.wire.gen.protocol.ttypes import Refused
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

LOG = structlog.get_logger('gate')
# Answers of the last few seconds, faded by age, that outweigh a health page
# that says otherwise, and the share of failures from which they do not.
WELL_ANSWERED = 3.0
BAD_SHARE = 0.5
# Stands between the name of a call and that of a call made for it.
PART_OF_NAME = '.'


class Gate:
    """Owns the calls inside one target and the budget for measuring it."""

    def __init__(
        self,
        scheduler,
        client,
        service: str,
        slots: int,
        dialect: Dialect = DEFAULT_DIALECT,
    ):
        self.scheduler = scheduler
        self.clock = scheduler.clock
        self.now: Callable[[], float] = scheduler.clock.now
        self.client = client
        self.service = service
        self.dialect = dialect
        self.checks_ids = dialect.call_id_repeated
        self.state = GateState(slots)
        self.announcements = Announcements(self, self.clock.unix_ms)
        self.news = GateNews()
        self.delays = Delays()
        # The host of the target, '' where it is not known.
        self.target_host = ''
        # Bytes a second of this instance's link, 0 if it is not known.
        self.link_rate = 0.0
        self.budget = ProbeBudget()
        self.calls: dict[Hashable, GateCall] = {}
        self.by_name: dict[str, GateCall] = {}
        self.rule: ServiceRule | None = None
        self.idle_hooks: list[Callable[[], None]] = []
        self.state_hooks: list[Callable[[TargetState], None]] = []
        self.slots_hooks: list[Callable[[int], None]] = []
        self.refused = 0
        self.questions = PaceQuestions(scheduler)
        self.ends = EndWatch(self)
        self.presence = Presence(self)
        self.bodies = BodyTurns(self)
        self.entrance = Entrance(self)
        self.quarantine = Quarantine(scheduler)
        self.suspects = SuspectCheck(self)

    def subscribe(self, network) -> None:
        """Take the messages of entries from the peer network."""
        network.subscribe(CallStart, self.on_call_start)
        network.subscribe(Cancel, self.on_cancel)
        network.subscribe(Probe, self.on_probe)
        network.subscribe_lost(self.on_link_lost)

    # -- commands ---------------------------------------------------------

    def apply_rules(self, rules: EventRules) -> None:
        """Take a new event document.

        The budget for measuring is one for each target. A budget for the
        service would have to be shared out by the gates that this one
        sees, and gates that do not see each other would exceed it.
        """
        self.rule = rules.services.get(self.service)
        if self.rule is None:
            self.budget.set_rate(0.0, self.now())
            return
        self.state.queue_limit = self.rule.queue_limit
        self.budget.set_rate(self.rule.probes_per_second, self.now())

    def drain(self) -> None:
        """Take no new call; queued ones are refused as not run."""
        if self.state.target_state == TargetState.DRAINING:
            return
        waiting = self.state.drain()
        LOG.info('gate_draining', queued=len(waiting))
        self.follow(Turn(expired=waiting))
        self.entrance.send_waiting_back(ResultCode.DRAINING)
        self.tell_state()

    def set_target_state(self, state: TargetState) -> None:
        """Note a change that start-up or the target's health showed."""
        before = self.state.target_state
        self.state.set_target_state(state)
        if self.state.target_state != before:
            self.tell_state()

    def is_foreign(self, incarnation: str, address: str) -> bool:
        """Tell whether what comes from an address is of another target.

        Targets of other machines may come here while their own daemon is
        gone. Nobody here could keep their callers away, so they must not be
        confirmed.
        """
        if (
            not self.target_host
            or incarnation == self.registration.incarnation
        ):
            return False
        foreign = Address.parse(address).host != self.target_host
        if foreign:
            LOG.info('check_in_of_another', incarnation=incarnation[:60])
        return foreign

    def announce(self, announcement: Announcement) -> Announced:
        """Take what the target tells of itself."""
        return self.announcements.announce(announcement)

    def target_leaves(
        self, incarnation: str, born_ms: int = UNKNOWN_START
    ) -> None:
        """Take no new call for a target that says that it goes."""
        self.announcements.leave(incarnation, born_ms)

    def doubt_target(self) -> None:
        """Note that another target answered at the address."""
        self.announcements.doubt()

    def set_slots(self, slots: int) -> None:
        """Take over how many calls the target runs at once."""
        self.state.set_slots(slots)
        for hook in self.slots_hooks:
            hook(slots)

    def note_answer_head(self, headers) -> None:
        """Take over the load that rides on an answer of the target."""
        if self.dialect.load:
            text = find_header(headers, self.dialect.load)
            load = parse_load(text)
            if load is not None:
                now = self.now()
                self.state.note_target_load(load, now)
                self.tell_news(now)
                if self.state.queue:
                    self.follow(self.state.fill(now))
                self.questions.answered()

    def tell_news(self, now: float) -> None:
        """Tell entries of a change of pace; send back what it makes late."""
        if self.news.is_due(self.state.pace_percent(now)):
            self.news.tell(self.figures(), now)
            self.entrance.send_hopeless_back(now)

    def release(
        self, call: GateCall, seconds: float | None, failed: bool
    ) -> None:
        """End a call that held a slot and start those that waited."""
        self.forget(call)
        turn = self.state.finish(call.key, seconds, failed, self.now())
        self.follow(turn)
        self.check_idle()

    # -- queries ----------------------------------------------------------

    @property
    def registration(self) -> Registration:
        """Which incarnation of the target runs here."""
        return self.announcements.registration

    def figures(self, link=None) -> LoadFigures:
        """Return the load, with the lag of one link if it is for it."""
        lag = self.lag_now(link) if link is not None else 0.0
        return self.state.figures(self.now(), lag, self.body_wait())

    def lag_now(self, link) -> float:
        """Return how late calls of a connection come now, in seconds."""
        return self.delays.lag(link.number, seconds_since_boot())

    def bytes_due(self) -> int:
        """Return the bytes of bodies that are still to come."""
        return sum(call.bytes_due() for call in self.calls.values())

    def body_wait(self) -> float:
        """Return how long the bodies that were let in take to come."""
        return self.bytes_due() / self.link_rate if self.link_rate else 0.0

    def is_idle(self) -> bool:
        if self.questions.waiting or self.ends.is_looking:
            return False
        return self.state.is_idle()

    def parent_of(self, call_id: str) -> GateCall | None:
        """Return the call at this target that made another, if one did.

        A target that calls on takes the name of the call that it runs and
        puts a part of its own behind it. Only calls that are here now can
        be parents, so a name that merely looks so misleads nobody.
        """
        name = call_id.rpartition(PART_OF_NAME)[0]
        return self.by_name.get(name) if name else None

    def answers_well(self) -> bool:
        """Tell whether the target answered calls lately, most of them."""
        errors = self.state.errors
        share = errors.share(self.now())
        return errors.total >= WELL_ANSWERED and share < BAD_SHARE

    def is_unknown(self) -> bool:
        """Tell whether it is not known which target runs here."""
        registration = self.registration
        return registration.current is None or registration.doubted

    def awaits_target(self) -> bool:
        """Tell whether no call may go in before its target is known."""
        return bool(self.dialect.required_incarnation) and self.is_unknown()

    def call_headers(self, call: GateCall) -> list[tuple[str, str]]:
        """Return the headers that tell the target depth and time left."""
        left = max(1, int((call.deadline - self.now()) * MILLISECONDS))
        dialect = self.dialect
        headers = [(dialect.time_left_ms, str(left))]
        if dialect.depth:
            headers.append((dialect.depth, str(call.start.depth)))
        headers.append((dialect.call_id, call.start.trace_id))
        incarnation = self.registration.incarnation
        if dialect.required_incarnation and incarnation:
            headers.append((dialect.required_incarnation, incarnation))
        return headers

    # -- messages ---------------------------------------------------------

    def on_call_start(self, link, start: CallStart) -> None:
        now = self.now()
        call = GateCall(self, link, start, now, self.lag_of(link, start))
        if start.service_name != self.service:
            call.tell_refused(ResultCode.NO_TARGET, 'another service')
            return
        if self.awaits_target():
            call.tell_refused(ResultCode.NO_TARGET, 'no target known yet')
            return
        if self.quarantine.is_behind():
            # What is kept from all targets would reach this one.
            call.tell_refused(ResultCode.NO_TARGET, 'ends not known yet')
            return
        self.news.note_call(link, now)
        if self.presence.absent:
            call.tell_refused(ResultCode.TARGET_UNREACHABLE, 'nobody listens')
            return
        if self.suspects.turn_away(call):
            return
        self.calls[call.key] = call
        self.by_name[start.trace_id] = call
        call.timer = self.scheduler.at(
            call.deadline, lambda: self.on_deadline(call)
        )
        self.entrance.take(call)

    def lag_of(self, link, start: CallStart) -> float:
        """Return how late a call came; 0 where its sender tells no time."""
        if not start.sent_at_us:
            return 0.0
        sent_at = start.sent_at_us / MICROSECONDS
        return self.delays.note(link.number, sent_at, seconds_since_boot())

    def on_body_chunk(self, link, chunk: BodyChunk) -> None:
        call = self.calls.get((link.number, chunk.call_id))
        if call is not None:
            call.take_body(chunk.data, chunk.last)

    def on_credit(self, link, credit: Credit) -> None:
        call = self.calls.get((link.number, credit.call_id))
        if call is not None:
            call.take_credit(credit.bytes_allowed)

    def on_cancel(self, link, cancel: Cancel) -> None:
        """Confirm a cancellation; only a queued call is proven not run."""
        call = self.calls.get((link.number, cancel.call_id))
        if call is None:
            return
        not_run = not call.was_sent()
        self.cut(call)
        link.send(Cancelled(cancel.call_id, not_run, self.figures(link)))

    def on_probe(self, link, probe: Probe) -> None:
        """Answer from our own counters, within the budget; else drop it."""
        if self.budget.take(self.now()):
            link.send(ProbeAnswer(probe.probe_id, self.figures(link)))

    def on_link_lost(self, link) -> None:
        """Stop the calls of an entry that is gone.

        A call that may not be repeated and has begun runs on: cutting it
        would leave a booking half done for nobody's gain.
        """
        self.news.forget(link)
        self.delays.forget(link.number)
        for key, call in list(self.calls.items()):
            if key[0] != link.number:
                continue
            if call.start.idempotent or not call.was_sent():
                self.cut(call)

    def on_deadline(self, call: GateCall) -> None:
        if call.ended:
            return
        sent = call.was_sent()
        self.cut(call)
        if sent:
            call.tell_broken(ResultCode.DEADLINE_UNKNOWN)
        else:
            call.tell_refused(ResultCode.DEADLINE_NOT_RUN)

    # -- steps ------------------------------------------------------------

    def cut(self, call: GateCall) -> None:
        """Take a call out, wherever it is."""
        asked = self.questions.withdraw(call.key)
        undecided = asked and call.key not in self.state.running
        if undecided or self.state.withdraw(call.key):
            self.forget(call)
            self.check_idle()
            return
        self.ends.note_cut(call)
        call.stop_target()
        self.release(call, None, False)

    def forget(self, call: GateCall) -> None:
        call.ended = True
        self.calls.pop(call.key, None)
        self.by_name.pop(call.start.trace_id, None)
        self.bodies.end(call)
        cancel_timer(call.timer)
        cancel_timer(call.wait_timer)

    def follow(self, turn: Turn) -> None:
        """Refuse what expired and begin what has its turn."""
        for expired in turn.expired:
            call = self.calls[expired.key]
            self.forget(call)
            call.tell_refused(expired.code)
        for key in turn.started:
            call = self.calls.get(key)
            if call is not None:
                call.begin(self.now())

    def check_idle(self) -> None:
        if self.is_idle():
            for hook in self.idle_hooks:
                hook()

    def tell_state(self) -> None:
        for hook in self.state_hooks:
            hook(self.state.target_state)


def cancel_timer(timer) -> None:
    """Stop a timer, if there is one."""
    if timer is not None:
        timer.cancel()


def refuse_call(link, start: CallStart, code: ResultCode) -> None:
    """Refuse a call where there is no gate at all."""
    link.send(Refused(start.call_id, int(code), 'no target here', 0, None))
