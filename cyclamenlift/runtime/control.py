"""The control process: replicated log, its servers and the console."""

import pathlib
import random
import signal
import sys

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler
from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.core.log_sink import SINK
from cyclamenlift.core.logs import configure_logs
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.control_orders import ControlOrderHandler
from cyclamenlift.events.evacuation_following import EvacuationFollower
from cyclamenlift.events.evacuation_following import FIRST_FANOUT
from cyclamenlift.events.evacuations import EvacuationStore
from cyclamenlift.events.order_forwarding import OrderForwarder
from cyclamenlift.events.server import DocumentServer
from cyclamenlift.http.lazy_web import LazyWebServer
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.server import ClaimServer
from cyclamenlift.membership.records import is_live
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.tasks import Membership
from cyclamenlift.quarantine.tasks import Quarantine
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.tasks import Replica
from cyclamenlift.runtime.control_metrics import ControlMetrics
from cyclamenlift.runtime.control_metrics import WITHHELD
from cyclamenlift.runtime.peers import parse_peers
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

EXIT_FAILED = 1
EXIT_SETTINGS = 2
STOP_SECONDS = 5.0
IDLE_CHECK_SECONDS = 0.05
# Interval for retrying log lines while the reader of the log stalls.
LOG_FLUSH_SECONDS = 1.0
LOG = structlog.get_logger('control')


class ControlNode(BaseComponent):
    """Creates, connects and shuts down the parts of one control instance."""

    channel = 'control'

    def __init__(
        self,
        settings: ControlSettings,
        peers: dict[str, Address],
        rng: random.Random,
    ):
        super().__init__(channel='control')
        self.settings = settings
        self.rng = rng
        self.loop = build_root()
        self.register(self.loop)
        self.machine = ControlStateMachine()
        self.evacuations = EvacuationFollower(
            self.loop.scheduler.clock.unix_ms
        )
        self.machine.subscribe_evacuations(self.on_evacuations)
        self.network = self.make_network()
        self.replica = self.make_replica(peers)
        self.claims = self.make_claim_server()
        self.documents = self.make_document_server()
        self.context = ControlContext(
            settings.instance,
            settings.data_centre,
            self.replica,
            self.machine.events,
            self.machine.ledger,
            self.machine.evacuations,
            self.find_data_centres,
            self.find_outdated_peers,
        )
        self.forwarder = self.make_forwarder(peers)
        self.orders = ControlOrderHandler(
            self.context, self.network, self.forwarder
        )
        self.metrics = ControlMetrics(self.context, self.claims)
        self.membership = self.make_membership()
        self.quarantine = Quarantine(
            self.loop.scheduler, settings.instance, rng
        )
        self.stopping = False
        self.stop_deadline = 0.0

    # -- parts ------------------------------------------------------------

    def make_network(self) -> PeerNetwork:
        settings = self.settings
        network = PeerNetwork(
            self.loop.poller,
            settings.instance,
            settings.data_centre,
            settings.cluster,
        )
        return network.register(self.loop)

    def make_replica(self, peers: dict[str, Address]) -> Replica:
        settings = self.settings
        others = {
            name: address
            for name, address in peers.items()
            if name != settings.instance
        }
        replica_settings = ReplicaSettings(
            instance=settings.instance,
            folder=pathlib.Path(settings.data),
            peers=others,
            election_ms=settings.election_ms,
            heartbeat_ms=settings.heartbeat_ms,
            snapshot_entries=settings.snapshot_entries,
            snapshot_bytes=settings.snapshot_bytes,
            bootstrap=settings.bootstrap,
            founder=settings.instance in peers,
            own_address=settings.peer_listen,
            wanted_voters=settings.wanted_voters,
            founding_seconds=settings.founding_seconds,
        )
        return Replica(
            self.loop, self.network, replica_settings, self.machine, self.rng
        )

    def make_membership(self) -> Membership | None:
        """Return the membership component, None without a gossip address."""
        settings = self.settings
        if not settings.gossip_listen:
            return None
        return Membership(
            self.loop,
            MembershipSettings(
                instance=settings.instance,
                data_centre=settings.data_centre,
                cluster=settings.cluster,
                listen=Address.parse(settings.gossip_listen),
                seeds=tuple(Address.parse(seed) for seed in settings.seeds),
                period=settings.gossip_seconds,
                peer_address=settings.peer_listen,
                target_name=settings.instance,
                role=MemberRole.CONTROL,
            ),
            self.rng,
        )

    def start_membership(self) -> None:
        """Join the membership protocol and subscribe to its updates."""
        if self.membership is None:
            return
        self.forwarder.find_relay_daemon = self.find_relay_daemon
        self.membership.subscribe(self.on_member)
        self.evacuations.join(self.membership)
        # Control instances keep the quarantine while all daemons restart.
        self.quarantine.join(self.network, self.membership)
        self.metrics.watch(WITHHELD, lambda: self.membership.counters.withheld)
        self.machine.subscribe_version(
            lambda version: self.membership.announce(config_version=version)
        )
        self.membership.start()
        self.evacuations.announce(FIRST_FANOUT)
        self.membership.announce(config_version=self.machine.events.version)

    def on_evacuations(self, store: EvacuationStore) -> None:
        """Announce the evacuations that the log has put in force."""
        self.evacuations.note(store.wire_state(), 'log', FIRST_FANOUT)

    def find_data_centres(self) -> set[str]:
        """Return the names of all known data centres."""
        names = {self.settings.data_centre, *self.settings.data_centres}
        if self.membership is not None:
            names.update(r.data_centre for r in self.membership.records())
        return names

    def find_outdated_peers(self) -> list[str]:
        """Return the control instances that can't apply evacuations."""
        links = self.network.outgoing.values()
        return sorted(
            link.hello.instance
            for link in links
            if self.is_peer(link)
            and link.hello is not None
            and not link.hello.takes_evacuations
        )

    def is_peer(self, link: Link) -> bool:
        """Return whether a link leads to another control instance."""
        return link.address in self.forwarder.finder.control

    def find_relay_daemon(self) -> Address | None:
        """Return the address of a random live daemon, None without one."""
        daemons = [
            record
            for record in self.membership.members()
            if record.role != MemberRole.CONTROL
            and record.state == MemberState.ALIVE
        ]
        if not daemons:
            return None
        return Address.parse(self.rng.choice(daemons).peer_address)

    def on_member(self, record: MemberRecord) -> None:
        """Update the replica with the address of another control instance.

        A configured peer that turns out to be a daemon is reported as gone.
        """
        is_control = record.role == MemberRole.CONTROL
        if record.instance == self.settings.instance:
            return
        if (
            not is_control
            and record.instance not in self.replica.settings.peers
        ):
            return
        address = Address.parse(record.peer_address)
        live = is_control and is_live(record)
        self.replica.update_peer(record.instance, address, live)
        self.forwarder.finder.update_control_address(address, live)

    def make_claim_server(self) -> ClaimServer:
        return ClaimServer(
            self.network,
            self.replica,
            self.machine.ledger,
            self.settings.instance,
            self.settings.max_claims,
            self.settings.recorded_answer_bytes,
        )

    def make_forwarder(self, peers: dict[str, Address]) -> OrderForwarder:
        settings = self.settings
        others = [a for n, a in peers.items() if n != settings.instance]
        return OrderForwarder(
            self.loop,
            self.network,
            LeaderFinder(others, self.rng),
            settings.instance,
            Address.parse(settings.peer_listen),
        )

    def make_document_server(self) -> DocumentServer:
        server = DocumentServer(
            self.network,
            self.replica,
            self.machine.events,
            self.settings.instance,
            self.rng,
            names_leader=bool(self.settings.gossip_listen),
        )
        server.evacuations = self.machine.evacuations.wire_state
        self.machine.subscribe_version(server.push_version)
        return server

    def make_pages(self) -> list:
        """Import and return the admin controllers when first needed."""
        from cyclamenlift.runtime.control_pages import control_pages

        return control_pages(self.context, self.metrics)

    # -- startup and shutdown ----------------------------------------------

    def start_parts(self) -> Result[None, Problem]:
        """Open the data folder, then the ports; a Failure opens no port."""
        opened = self.replica.start()
        if isinstance(opened, Failure):
            return opened
        self.peer_address = self.network.listen(
            Address.parse(self.settings.peer_listen)
        )
        self.admin = LazyWebServer(
            self.loop,
            Address.parse(self.settings.admin_listen),
            self.make_pages,
        )
        self.start_membership()
        self.loop.scheduler.every(LOG_FLUSH_SECONDS, SINK.flush)
        LOG.info(
            'control_started',
            peer=str(self.peer_address),
            admin=str(self.admin.address),
            version=self.machine.events.version,
        )
        return Success(None)

    def begin_stop(self) -> None:
        """Refuse new requests, finish pending ones, then leave the cluster."""
        if self.stopping:
            return
        self.stopping = True
        now = self.loop.scheduler.clock.now()
        self.stop_deadline = now + STOP_SECONDS
        LOG.info('stop_began')
        self.admin.begin_drain()
        self.network.stop_listening()
        self.check_idle()

    def check_idle(self) -> None:
        busy = self.admin.busy or self.claims.proposals or self.orders.busy
        if busy and self.loop.scheduler.clock.now() < self.stop_deadline:
            self.loop.scheduler.after(IDLE_CHECK_SECONDS, self.check_idle)
            return
        self.finish_stop()

    def finish_stop(self) -> None:
        if self.membership is not None:
            self.membership.leave()
            self.membership.stop()
        self.replica.stop()
        self.network.close_all()
        self.admin.http.close_all()
        LOG.info('stopped')
        self.loop.stop()

    @handler('signal', channel='*')
    def _on_signal(self, event, number, _stack) -> None:
        if number in (signal.SIGTERM, signal.SIGINT):
            event.stop()
            self.begin_stop()


def run(settings: ControlSettings) -> int:
    """Run a control instance until it is stopped; return the exit status.

    The status is 2 for invalid settings and 1 if the data folder or a port
    is unavailable; every problem is written to standard error.
    """
    configure_logs(settings.log_format, settings.log_level, settings.instance)
    peers = parse_peers(settings)
    if isinstance(peers, Failure):
        print_problems(peers.failure())
        return EXIT_SETTINGS
    node = ControlNode(settings, peers.unwrap(), random.Random())
    try:
        started = node.start_parts()
    except OSError as error:
        LOG.error('port_unavailable', error=str(error))
        return EXIT_FAILED
    if isinstance(started, Failure):
        print_problems([started.failure()])
        return EXIT_FAILED
    node.loop.run()
    return 0


def print_problems(problems: list[Problem]) -> None:
    for problem in problems:
        sys.stderr.write(problem.line() + '\n')
