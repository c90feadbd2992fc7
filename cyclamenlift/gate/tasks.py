"""The gate: admits calls from entries to the target of its instance."""

from collections.abc import Callable
from collections.abc import Hashable

import structlog

from cyclamenlift.core.call_ids import parent_id
from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.clock import seconds_since_boot
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.gate.admission_control import AdmissionController
from cyclamenlift.gate.announcements import Announcements
from cyclamenlift.gate.answer_transfers import AnswerTransfers
from cyclamenlift.gate.body_transfers import BodyTransfers
from cyclamenlift.gate.call_boundary import run_step
from cyclamenlift.gate.cold_start import ColdRate
from cyclamenlift.gate.cold_start import NO_LIMIT
from cyclamenlift.gate.gate_call import GateCall
from cyclamenlift.gate.lag_tracker import LagTracker
from cyclamenlift.gate.pace_notifier import PaceNotifier
from cyclamenlift.gate.pace_queries import PaceQueries
from cyclamenlift.gate.presence import Presence
from cyclamenlift.gate.probes import ProbeBudget
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import AnnouncementOutcome
from cyclamenlift.gate.registration import Registration
from cyclamenlift.gate.registration import UNKNOWN_START
from cyclamenlift.gate.state import DequeueResult
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.suspects import SuspectCheck
from cyclamenlift.gate.target_reports import TargetReports
from cyclamenlift.gate.termination import TerminationDetector
from cyclamenlift.http.dialects import DEFAULT_DIALECT
from cyclamenlift.http.dialects import Dialect
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
# A failing health check is overruled by at least this many recent answers,
# weighted by age, if fewer than the share below were failures.
MIN_ANSWERS = 3.0
MAX_ERROR_SHARE = 0.5


class Gate:
    """Owns the calls of one target and the probe budget for it."""

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
        self.verifies_call_ids = dialect.call_id_repeated
        self.state = GateState(slots)
        self.announcements = Announcements(self, self.clock.unix_ms)
        self.pace_notifier = PaceNotifier()
        self.lag_tracker = LagTracker()
        # The target's host, '' if unknown.
        self.target_host = ''
        # Capacity of this instance's link in bytes per second, 0 if unknown.
        self.link_rate = 0.0
        # How far calls to a cold target may exceed the rate that it bears.
        self.cold_burst_factor = 1.0
        self.cold_burst_slack = 0.0
        self.budget = ProbeBudget()
        self.calls: dict[Hashable, GateCall] = {}
        self.calls_by_trace_id: dict[str, GateCall] = {}
        self.rule: ServiceRule | None = None
        self.idle_hooks: list[Callable[[], None]] = []
        self.state_hooks: list[Callable[[TargetState], None]] = []
        self.slots_hooks: list[Callable[[int], None]] = []
        self.refused = 0
        # Calls sent to the target since the start.
        self.sent = 0
        # Calls that were ended by an error in their handling here.
        self.failed_calls = 0
        # Whether nothing may be sent to the target, as its data centre is
        # evacuated.
        self.evacuated = False
        self.pace_queries = PaceQueries(scheduler)
        self.reports = TargetReports(self)
        self.termination = TerminationDetector(self)
        self.presence = Presence(self)
        self.body_transfers = BodyTransfers(self)
        self.answer_transfers = AnswerTransfers(self)
        self.admission_control = AdmissionController(self)
        self.quarantine = Quarantine(scheduler)
        self.suspects = SuspectCheck(self)

    def subscribe(self, network) -> None:
        """Subscribe to the messages of entries on the peer network."""
        network.subscribe(CallStart, self.on_call_start)
        network.subscribe(Cancel, self.on_cancel)
        network.subscribe(Probe, self.on_probe)
        network.subscribe_lost(self.on_link_lost)

    # -- commands ---------------------------------------------------------

    def apply_rules(self, rules: EventRules) -> None:
        """Apply a new event document.

        The probe budget is per target. A budget per service would have to be
        divided among the gates that this one sees, and gates that don't see
        each other would exceed it together.
        """
        self.rule = rules.services.get(self.service)
        accounts = rules.accounts.accounts if rules.accounts else ()
        self.state.fair_shares.set_weights(
            {account.name: account.weight for account in accounts}
        )
        if self.rule is None:
            self.state.start_limits.cold.set_rate(NO_LIMIT)
            self.budget.set_rate(0.0, self.now())
            return
        self.state.queue_limit = self.rule.queue_limit
        self.state.start_limits.cold.set_rate(
            ColdRate(
                self.rule.cold_calls_per_second,
                self.rule.cold_seconds,
                self.cold_burst_factor,
                self.cold_burst_slack,
            )
        )
        self.budget.set_rate(self.rule.probes_per_second, self.now())

    def drain(self) -> None:
        """Stop admitting calls; refuse the queued ones as not run."""
        if self.state.target_state == TargetState.DRAINING:
            return
        waiting = self.state.drain()
        LOG.info('gate_draining', queued=len(waiting))
        self.apply_dequeued(DequeueResult(dropped=waiting))
        self.admission_control.refuse_waiting_calls(ResultCode.DRAINING)
        self.run_state_hooks()

    def set_evacuated(self, evacuated: bool) -> None:
        """Begin or end the evacuation of the target's data centre.

        Calls that were not sent yet are refused; those that run go on.
        """
        if evacuated == self.evacuated:
            return
        self.evacuated = evacuated
        LOG.info(
            'gate_evacuated' if evacuated else 'gate_taken_back',
            running=len(self.state.running),
            waiting=len(self.calls) - len(self.state.running),
        )
        if evacuated:
            self.admission_control.refuse_waiting_calls(ResultCode.EVACUATED)

    def set_target_state(self, state: TargetState) -> None:
        """Set the target's state after start-up or a health check."""
        before = self.state.target_state
        self.state.set_target_state(state)
        if self.state.target_state != before:
            self.run_state_hooks()

    def is_foreign(self, incarnation: str, address: str) -> bool:
        """Return whether an announcement comes from another instance's target.

        Targets of other instances may announce themselves here while their own
        daemon is down. They must not be acknowledged, as this gate can't
        control the calls that reach them.
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

    def announce(
        self, announcement: Announcement, awaited: bool = False
    ) -> AnnouncementOutcome:
        """Handle an announcement of the target.

        ``awaited`` tells that its sender certainly waits for the answer.
        """
        return self.announcements.announce(announcement, awaited)

    def target_leaves(
        self,
        incarnation: str,
        born_ms: int = UNKNOWN_START,
        source: str = 'announcement',
        told_by_ms: int = UNKNOWN_START,
        awaited: bool = False,
    ) -> None:
        """Stop admitting calls to a target that said that it leaves.

        ``told_by_ms`` is by when it said so, now if not given; ``awaited``
        that it certainly waits for the answer.
        """
        self.announcements.leave(
            incarnation, born_ms, source, told_by_ms, awaited
        )

    def take_departure(
        self, incarnation: str, born_ms: int, awaited: bool
    ) -> bool:
        """Handle a departure that was sent here; False if it is ignored.

        ``awaited`` tells whether its sender still waits for the answer.
        """
        if not awaited and self.announcements.may_be_of_start_before(
            incarnation, born_ms
        ):
            self.announcements.log_outdated_departure(incarnation)
            return False
        self.target_leaves(incarnation, born_ms, awaited=awaited)
        return True

    def doubt_target(self) -> None:
        """Note that a different target answered at the address."""
        self.announcements.doubt()

    def set_slots(self, slots: int) -> None:
        """Set how many calls the target runs at once."""
        self.state.set_slots(slots)
        for hook in self.slots_hooks:
            hook(slots)

    def notify_pace_change(self, now: float) -> None:
        """Notify entries of a pace change and refuse calls it makes late."""
        if self.pace_notifier.is_due(self.state.pace_percent(now)):
            self.pace_notifier.notify(self.figures(), now)
            self.admission_control.refuse_late_calls(now)

    def release(
        self, call: GateCall, seconds: float | None, failed: bool
    ) -> None:
        """End a call that held a slot and start queued calls."""
        self.forget(call)
        result = self.state.finish(call.key, seconds, failed, self.now())
        self.apply_dequeued(result)
        self.check_idle()

    # -- queries ----------------------------------------------------------

    @property
    def registration(self) -> Registration:
        """The registration of the target's current incarnation."""
        return self.announcements.registration

    def figures(self, link=None) -> LoadFigures:
        """Return the load figures, with the lag of ``link`` if given."""
        lag = self.current_lag(link) if link is not None else 0.0
        figures = self.state.figures(self.now(), lag, self.body_wait())
        figures.statement = self.reports.statement()
        return figures

    def current_lag(self, link) -> float:
        """Return the current lag of calls on a link, in seconds."""
        return self.lag_tracker.lag(link.number, seconds_since_boot())

    def bytes_due(self) -> int:
        """Return the bytes of request bodies that are still to arrive."""
        return sum(call.bytes_due() for call in self.calls.values())

    def body_wait(self) -> float:
        """Return the seconds the link needs for the outstanding bodies."""
        return self.bytes_due() / self.link_rate if self.link_rate else 0.0

    def is_idle(self) -> bool:
        if self.pace_queries.waiting or self.termination.has_unreported:
            return False
        if not self.answer_transfers.is_idle():
            return False
        return self.state.is_idle()

    def parent_of(self, call_id: str) -> GateCall | None:
        """Return the running call that made a nested call, if any.

        The target derives the ID of a nested call by appending a suffix to its
        parent's. Only calls that are present here count as parents, so an ID
        that has this form by chance does no harm.
        """
        name = parent_id(call_id)
        return self.calls_by_trace_id.get(name) if name else None

    def is_answering(self) -> bool:
        """Return whether most recent calls to the target succeeded."""
        errors = self.state.errors
        share = errors.share(self.now())
        return errors.total >= MIN_ANSWERS and share < MAX_ERROR_SHARE

    def is_target_unknown(self) -> bool:
        """Return whether the target's incarnation is unknown or in doubt."""
        registration = self.registration
        return registration.current is None or registration.doubted

    def awaits_target(self) -> bool:
        """Return whether calls must wait until the target is identified."""
        return (
            bool(self.dialect.required_incarnation)
            and self.is_target_unknown()
        )

    def call_headers(self, call: GateCall) -> list[tuple[str, str]]:
        """Return the headers that pass depth and remaining time on."""
        left = max(1, int((call.deadline - self.now()) * MILLISECONDS))
        dialect = self.dialect
        headers = [(dialect.time_left_ms, str(left))]
        if dialect.depth:
            headers.append((dialect.depth, str(call.start.depth)))
        headers.append((dialect.call_id, call.start.trace_id))
        if dialect.account and call.account:
            headers.append((dialect.account, call.account))
        incarnation = self.registration.incarnation
        if dialect.required_incarnation and incarnation:
            headers.append((dialect.required_incarnation, incarnation))
        return headers

    # -- messages ---------------------------------------------------------

    def on_call_start(self, link, start: CallStart) -> None:
        now = self.now()
        call = GateCall(
            self, link, start, now, self.transit_delay(link, start)
        )
        if start.service_name != self.service:
            call.send_refused(ResultCode.NO_TARGET, 'another service')
            return
        if self.awaits_target():
            call.send_refused(ResultCode.NO_TARGET, 'no target known yet')
            return
        if self.quarantine.is_behind():
            # Without the quarantine list, a request that is barred from all
            # targets would reach this one.
            call.send_refused(ResultCode.NO_TARGET, 'ends not known yet')
            return
        self.pace_notifier.note_call(link, now)
        self.reports.note_hearsay(start.statement)
        if self.evacuated:
            call.send_refused(ResultCode.EVACUATED)
            return
        if self.presence.absent:
            call.send_refused(ResultCode.TARGET_UNREACHABLE, 'nobody listens')
            return
        if self.suspects.refuse_suspect(call):
            return
        self.calls[call.key] = call
        self.calls_by_trace_id[start.trace_id] = call
        call.timer = self.scheduler.at(
            call.deadline, lambda: self.on_deadline(call)
        )
        run_step(call, self.admission_control.admit_new, call)

    def transit_delay(self, link, start: CallStart) -> float:
        """Return a call's transit delay; 0 if its sender gave no timestamp."""
        if not start.sent_at_us:
            return 0.0
        sent_at = start.sent_at_us / MICROSECONDS
        return self.lag_tracker.note(
            link.number, sent_at, seconds_since_boot()
        )

    def on_body_chunk(self, link, chunk: BodyChunk) -> None:
        call = self.calls.get((link.number, chunk.call_id))
        if call is not None:
            run_step(call, call.receive_body, chunk.data, chunk.last)

    def on_credit(self, link, credit: Credit) -> None:
        call = self.calls.get((link.number, credit.call_id))
        if call is not None:
            run_step(call, call.add_credit, credit.bytes_allowed)

    def on_cancel(self, link, cancel: Cancel) -> None:
        """Confirm a cancellation; only an unsent call is proven not run."""
        key = (link.number, cancel.call_id)
        self.answer_transfers.drop(key)
        call = self.calls.get(key)
        if call is None:
            self.check_idle()
            return
        not_run = not call.was_sent()
        self.cancel_call(call)
        link.send(Cancelled(cancel.call_id, not_run, self.figures(link)))

    def on_probe(self, link, probe: Probe) -> None:
        """Answer from local counters within the budget; else drop it."""
        if self.budget.take(self.now()):
            link.send(ProbeAnswer(probe.probe_id, self.figures(link)))

    def on_link_lost(self, link) -> None:
        """Stop the calls of an entry whose link was lost.

        A call that is not idempotent and was sent runs on: cutting it would
        leave a booking half done to nobody's benefit.
        """
        self.pace_notifier.forget(link)
        self.lag_tracker.forget(link.number)
        self.answer_transfers.drop_link(link.number)
        for key, call in list(self.calls.items()):
            if key[0] != link.number:
                continue
            if call.start.idempotent or not call.was_sent():
                self.cancel_call(call)

    def on_deadline(self, call: GateCall) -> None:
        if call.ended:
            return
        sent = call.was_sent()
        self.answer_transfers.drop(call.key)
        self.cancel_call(call)
        if sent:
            call.send_broken(ResultCode.DEADLINE_UNKNOWN)
        else:
            call.send_refused(ResultCode.DEADLINE_NOT_RUN)

    # -- steps ------------------------------------------------------------

    def cancel_call(self, call: GateCall) -> None:
        """Cancel a call in whatever stage it is."""
        was_deferred = self.pace_queries.withdraw(call.key)
        undecided = was_deferred and call.key not in self.state.running
        if undecided or self.state.withdraw(call.key):
            self.forget(call)
            self.check_idle()
            return
        self.termination.note_cancelled(call)
        call.stop_target()
        self.release(call, None, False)

    def forget(self, call: GateCall) -> None:
        call.ended = True
        self.calls.pop(call.key, None)
        self.calls_by_trace_id.pop(call.start.trace_id, None)
        self.body_transfers.finish_transfer(call)
        cancel_timer(call.timer)
        cancel_timer(call.wait_timer)

    def apply_dequeued(self, result: DequeueResult) -> None:
        """Refuse the calls that were dropped and begin those that start."""
        for dropped in result.dropped:
            call = self.calls[dropped.key]
            self.forget(call)
            call.send_refused(dropped.code)
        for key in result.started:
            call = self.calls.get(key)
            if call is not None:
                run_step(call, call.begin, self.now())
        self.admission_control.start_when_allowed()

    def check_idle(self) -> None:
        if self.is_idle():
            for hook in self.idle_hooks:
                hook()

    def run_state_hooks(self) -> None:
        for hook in self.state_hooks:
            hook(self.state.target_state)


def cancel_timer(timer) -> None:
    """Cancel a timer, if there is one."""
    if timer is not None:
        timer.cancel()


def refuse_call(link, start: CallStart, code: ResultCode) -> None:
    """Refuse a call on an instance that has no gate."""
    link.send(Refused(start.call_id, int(code), 'no target here', 0, None))
