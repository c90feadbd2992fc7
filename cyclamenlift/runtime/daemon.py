"""The daemon process, which runs beside a target.

It contains the entry, which accepts callers' requests and chooses targets,
and the gate, which admits calls to the local target.
"""

import dataclasses
import random
import signal

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
import structlog

from cyclamenlift.accounts.messages import LimitTolerance
from cyclamenlift.accounts.tasks import AccountLimits
from cyclamenlift.calls.budgets import SharedRetryBudget
from cyclamenlift.calls.tasks import Calls
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.log_sink import SINK
from cyclamenlift.core.logs import configure_logs
from cyclamenlift.core.memory import freeze_startup_objects
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.events.daemon_orders import DaemonOrderHandler
from cyclamenlift.events.order_forwarding import OrderForwarder
from cyclamenlift.events.tasks import ConfigFollower
from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.gate.tasks import refuse_call
from cyclamenlift.http.client import TargetClient
from cyclamenlift.http.dialects import DEFAULT_DIALECT
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.lazy_web import LazyWebServer
from cyclamenlift.http.limits import ClientLimits
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer
from cyclamenlift.ledger.tasks import ClaimClient
from cyclamenlift.membership.records import is_live
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.tasks import Membership
from cyclamenlift.models.rules import CallerLimits
from cyclamenlift.models.rules import EventRules
from cyclamenlift.process_start import STARTED_AT
from cyclamenlift.quarantine.tasks import Quarantine
from cyclamenlift.routing.state import RoutingState
from cyclamenlift.runtime.call_metrics import CallMetrics
from cyclamenlift.runtime.graceful_shutdown import GracefulShutdown
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from cyclamenlift.wire.tasks import PeerNetwork

LOG = structlog.get_logger('daemon')
EXIT_SETTINGS = 2
BYTES_OF_MEGABIT = 125_000
# Interval for retrying log lines while the reader of the log stalls.
LOG_FLUSH_SECONDS = 1.0


class DaemonNode(BaseComponent):
    """Creates, connects and shuts down the components of one daemon."""

    channel = 'daemon'

    def __init__(
        self,
        settings: DaemonSettings,
        rng: random.Random,
        dialect: Dialect = DEFAULT_DIALECT,
    ):
        super().__init__(channel='daemon')
        self.settings = settings
        self.dialect = dialect
        self.rng = rng
        self.loop = build_root()
        self.register(self.loop)
        self.scheduler = self.loop.scheduler
        self.stopping = False
        self.network = self.make_network()
        self.control = self.configured_control()
        self.routing = RoutingState(settings.data_centre, rng)
        self.routing.instance = settings.instance
        self.routing.link_rate = settings.link_mbps * BYTES_OF_MEGABIT
        self.claims = ClaimClient(self.loop, self.network, self.control, rng)
        self.forwarder = OrderForwarder(
            self.loop, self.network, self.claims.finder, settings.instance
        )
        self.orders = DaemonOrderHandler(self.forwarder)
        self.quarantine = Quarantine(self.scheduler, settings.instance, rng)
        self.account_limits = self.make_account_limits()
        self.calls = self.make_calls()
        self.gate = self.make_gate() if settings.target else None
        self.connect_gate_and_calls()
        self.follower = ConfigFollower(
            self.loop, self.network, self.control, rng
        )
        self.follower.leader_hooks.append(self.claims.finder.note_leader)
        self.calls.is_behind = self.follower.is_behind
        self.set_account_bound()
        self.follower.link_budget.link_rate = (
            settings.link_mbps * BYTES_OF_MEGABIT
        )
        self.entry = self.make_entry()
        self.entry_address = self.entry.listen(
            Address.parse(settings.entry_listen)
        )
        self.peer_address = self.network.listen(
            Address.parse(settings.peer_listen)
        )
        self.membership = self.make_membership()
        self.call_metrics = CallMetrics(self)
        self.admin = LazyWebServer(
            self.loop,
            Address.parse(settings.admin_listen),
            self.make_pages,
        )

    # -- parts ------------------------------------------------------------

    def configured_control(self) -> list[Address]:
        """Return the configured control addresses except this instance's."""
        settings = self.settings
        own = settings.advertise_peer or settings.peer_listen
        return [Address.parse(a) for a in settings.control if a != own]

    def make_network(self) -> PeerNetwork:
        settings = self.settings
        network = PeerNetwork(
            self.loop.poller,
            settings.instance,
            settings.data_centre,
            settings.cluster,
        )
        return network.register(self.loop)

    def make_account_limits(self) -> AccountLimits:
        settings = self.settings
        return AccountLimits(
            self.scheduler,
            self.network,
            settings.instance,
            settings.data_centre,
            LimitTolerance(
                settings.account_window_seconds, settings.account_slack_calls
            ),
        )

    def set_account_bound(self) -> None:
        """Refuse accounts that control has not confirmed in time."""
        seconds = self.settings.account_stale_seconds
        if seconds:
            self.follower.confirm_every(seconds)
            self.calls.accounts_hold = lambda: self.follower.confirmed_within(
                seconds
            )

    def make_calls(self) -> Calls:
        calls = Calls(
            scheduler=self.scheduler,
            routing=self.routing,
            claims=self.claims,
            link_to=self.link_to,
            instance=self.settings.instance,
            body_budget=self.settings.body_budget_bytes,
            max_depth=self.settings.max_depth,
            own_service=self.settings.service,
        )
        calls.quarantine = self.quarantine
        calls.account_limits = self.account_limits
        if self.settings.retry_slack:
            calls.budget_factory = self.make_retry_budget
        return calls

    def make_retry_budget(self) -> SharedRetryBudget:
        settings = self.settings
        return SharedRetryBudget(
            settings.retry_share,
            settings.retry_slack,
            settings.retry_window_seconds,
            self.scheduler.clock.now,
        )

    def make_gate(self) -> Gate:
        settings = self.settings
        limits = ClientLimits(
            max_connections=settings.target_connections,
            warm_connections=settings.warm_connections,
            unsized_answers=bool(self.dialect.proof),
            call_id_field=(
                self.dialect.call_id if self.dialect.call_id_repeated else ''
            ),
        )
        client = TargetClient(
            self.loop.poller,
            Address.parse(settings.target),
            limits,
            channel='target',
        ).register(self.loop)
        gate = Gate(
            self.scheduler,
            client,
            settings.service,
            settings.slots,
            self.dialect,
        )
        gate.link_rate = settings.link_mbps * BYTES_OF_MEGABIT
        gate.state.start_limits.follow_predecessor(STARTED_AT)
        gate.cold_burst_factor = settings.cold_burst_factor
        gate.cold_burst_slack = settings.cold_burst_slack
        gate.target_host = client.address.host
        gate.quarantine = self.quarantine
        gate.termination.watch(client)
        self.health = HealthCheck(gate, client, settings)
        return gate

    def make_entry(self) -> HttpServer:
        settings = self.settings
        limits = HttpLimits(
            max_header_bytes=settings.max_header_bytes,
            head_seconds=settings.head_seconds,
            body_seconds=settings.body_seconds,
            idle_seconds=settings.idle_seconds,
            max_pipelined=settings.pipelined_requests,
        )
        server = HttpServer(
            self.loop.poller,
            limits,
            self.calls.handle_request,
            channel='entry',
            dialect=self.dialect,
        )
        return server.register(self.loop)

    def make_pages(self) -> list:
        """Import and return the admin controllers when first needed."""
        from cyclamenlift.runtime.admin import ApiPages
        from cyclamenlift.runtime.admin import DaemonPages

        return [ApiPages(self), DaemonPages(self)]

    def make_membership(self) -> Membership:
        settings = self.settings
        return Membership(
            self.loop,
            MembershipSettings(
                instance=settings.instance,
                data_centre=settings.data_centre,
                cluster=settings.cluster,
                listen=Address.parse(settings.gossip_listen),
                advertise=settings.advertise_gossip,
                seeds=tuple(Address.parse(seed) for seed in settings.seeds),
                period=settings.gossip_seconds,
                peer_address=settings.advertise_peer or str(self.peer_address),
                service_name=settings.service,
                slots=settings.slots,
                target_name=settings.target_name or settings.instance,
                target_state=TargetState.STARTING,
            ),
            self.rng,
        )

    def connect_gate_and_calls(self) -> None:
        """Subscribe calls and gate to peer links and to the local link."""
        self.entry_end, gate_end = local_link_pair(self.network.numbers)
        self.calls.subscribe(self.network)
        self.calls.subscribe(self.entry_end)
        self.entry_end.subscribe(BodyChunk, self.calls.on_body_chunk)
        self.entry_end.subscribe(Credit, self.calls.on_credit)
        if self.gate is None:
            self.network.subscribe(CallStart, self.refuse_without_gate)
        else:
            self.gate.subscribe(self.network)
            self.gate.subscribe(gate_end)
            gate_end.subscribe(BodyChunk, self.gate.on_body_chunk)
            gate_end.subscribe(Credit, self.gate.on_credit)
            self.gate.state_hooks.append(self.on_target_state)
            self.gate.slots_hooks.append(self.on_slots)
            self.calls.parent_of = self.gate.parent_of
            self.gate.pace_notifier.hooks.append(
                lambda load: self.calls.note_load_change(
                    self.settings.instance, load
                )
            )
        self.network.subscribe(BodyChunk, self.on_body_chunk)
        self.network.subscribe(Credit, self.on_credit)

    # -- messages used in both directions -----------------------------------

    def on_body_chunk(self, link, chunk: BodyChunk) -> None:
        """Dispatch a chunk of a body to the calls or to the gate.

        Answer bodies arrive on links that this daemon opened, request bodies
        on links that its peers opened.
        """
        if link.outgoing:
            self.calls.on_body_chunk(link, chunk)
        elif self.gate is not None:
            self.gate.on_body_chunk(link, chunk)

    def on_credit(self, link, credit: Credit) -> None:
        if link.outgoing:
            self.calls.on_credit(link, credit)
        elif self.gate is not None:
            self.gate.on_credit(link, credit)

    def refuse_without_gate(self, link, start: CallStart) -> None:
        refuse_call(link, start, ResultCode.NO_TARGET)

    def link_to(self, choice):
        """Return the link to a chosen gate; the local gate needs no socket."""
        if choice.instance == self.settings.instance and self.gate:
            return self.entry_end
        return self.network.link_to(choice.address)

    # -- startup and updates ------------------------------------------------

    def disable_mechanisms(self) -> list[Problem]:
        """Disable the configured mechanisms; return any unknown names."""
        names = self.settings.without
        if not names:
            return []
        # Only benchmark runs disable mechanisms; others skip the import.
        from cyclamenlift.runtime.mechanisms import disable
        from cyclamenlift.runtime.mechanisms import unknown_mechanisms

        problems = unknown_mechanisms(names)
        if not problems:
            disable(self, names)
        return problems

    def start_parts(self) -> None:
        """Join the cluster and start following the event document."""
        self.follower.subscribe(self.on_rules)
        self.follower.evacuations.subscribe(self.on_evacuations)
        self.follower.evacuations.join(self.membership)
        self.membership.subscribe(self.on_member)
        self.membership.subscribe_version(self.follower.note_version)
        self.quarantine.join(self.network, self.membership)
        self.gossip_address = self.membership.start()
        self.follower.start()
        if self.gate is not None:
            self.gate.client.warm_up()
            self.health.start()
        self.scheduler.every(LOG_FLUSH_SECONDS, SINK.flush)
        LOG.info(
            'daemon_started',
            entry=str(self.entry_address),
            peer=str(self.peer_address),
            gossip=str(self.gossip_address),
            admin=str(self.admin.address),
        )

    def on_rules(self, rules: EventRules) -> None:
        self.account_limits.apply_rules(rules)
        self.calls.apply_rules(rules)
        if rules.caller_limits is not None:
            self.entry.limits = apply_caller_limits(
                self.entry.limits, rules.caller_limits
            )
        if self.gate is not None:
            self.gate.apply_rules(rules)
        self.membership.announce(config_version=rules.version)

    def on_evacuations(self, data_centres: frozenset[str]) -> None:
        """Send nothing to the targets of evacuated data centres."""
        self.routing.set_evacuated(data_centres, self.scheduler.clock.now())
        if self.gate is not None:
            own = self.settings.data_centre
            self.gate.set_evacuated(own in data_centres)

    def on_member(self, record: MemberRecord) -> None:
        if record.role == MemberRole.CONTROL:
            self.on_control_instance(record)
            return
        self.on_daemon(record)
        self.routing.note_member(record, self.scheduler.clock.now())
        self.calls.set_entries(len(self.routing.records))

    def on_daemon(self, record: MemberRecord) -> None:
        """Stop treating a daemon as a control instance.

        The configured control addresses may be seeds that run a daemon.
        """
        address = parse_member_address(record.peer_address)
        self.account_limits.note_member(record, address)
        if address is not None:
            self.follower.remove_control_address(address)
            self.claims.finder.remove_control_address(address)

    def on_control_instance(self, record: MemberRecord) -> None:
        """Add a live control instance or remove one that is gone."""
        address = parse_member_address(record.peer_address)
        if address is None:
            return
        live = is_live(record)
        self.follower.update_control_address(address, live)
        self.claims.finder.update_control_address(address, live)

    def on_slots(self, slots: int) -> None:
        self.membership.announce(slots=slots)

    def on_target_state(self, state: TargetState) -> None:
        self.membership.announce(target_state=state)

    def is_ready(self) -> bool:
        """Whether callers may be sent to this daemon."""
        if self.stopping or not self.quarantine.is_synced():
            return False
        return self.follower.has_caught_up()

    # -- drain and shutdown -------------------------------------------------

    def drain(self) -> None:
        """Admit no new calls to the local target; the entry keeps serving."""
        if self.gate is not None:
            self.gate.drain()

    def begin_stop(self) -> None:
        """Begin a graceful shutdown; repeated requests have no effect."""
        if self.stopping:
            return
        self.stopping = True
        GracefulShutdown(self).begin()

    @handler('signal', channel='*')
    def _on_signal(self, event, number, _stack) -> None:
        if number in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self.begin_stop()


def parse_member_address(text: str) -> Address | None:
    """Return the address announced by a member, None if it is invalid."""
    try:
        return Address.parse(text)
    except ValueError:
        return None


def apply_caller_limits(
    limits: HttpLimits, wanted: CallerLimits
) -> HttpLimits:
    """Return the HTTP limits overridden by those of the document."""
    return dataclasses.replace(
        limits,
        max_header_bytes=wanted.max_header_bytes,
        max_body_bytes=wanted.max_body_bytes,
        head_seconds=wanted.head_seconds,
        idle_seconds=wanted.idle_seconds,
    )


def run(settings: DaemonSettings) -> int:
    """Run a daemon until it is stopped; return the exit status."""
    configure_logs(settings.log_format, settings.log_level, settings.instance)
    node = DaemonNode(settings, random.Random())
    problems = node.disable_mechanisms()
    for problem in problems:
        LOG.error('settings_refused', problem=problem.line())
    if problems:
        return EXIT_SETTINGS
    node.start_parts()
    freeze_startup_objects()
    node.loop.run()
    return 0
