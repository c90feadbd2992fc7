"""A simulated fleet of followers and control instances on slow links.

No network or real clock is used: a message takes the time that its bytes need
on the sender's and on the receiver's link, one message after the other. Calls
are not simulated; they would only add to the load of the links.
"""

import collections
import json
import random

from cyclamenlift.core.compression import compress
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.events.server import DocumentServer
from cyclamenlift.events.state import EventStore
from cyclamenlift.events.tasks import ConfigFollower
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.codec import FIELD_BY_TYPE
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from tests.events.builders import FakeClock
from tests.events.builders import FakeReplica
from tests.models.builders import document_value

# Bytes per second: 2 Mbit/s for daemons, 1 Gbit/s for control instances, the
# slowest and the fastest links that users have reported.
DAEMON_RATE = 250_000
CONTROL_RATE = 125_000_000
# One-way latency between two instances, in seconds.
WAY_SECONDS = 0.0015
GOSSIP_BYTES = 250
# How many members an instance pushes a new version to, and how often it
# exchanges a packet with another member, in seconds, as in membership.
PUSHES = 8
PING_SECONDS = 0.2
CONTROL_INSTANCES = 5


def route_value(number: int, rng: random.Random, weight: int = 1) -> dict:
    """Return a route whose name compresses badly."""
    return {
        'name': f'r{number}',
        'host': 'a.example',
        'path_prefix': f'/{number}/{rng.randbytes(150).hex()}/',
        'shares': [{'service': 'prices', 'weight': weight}],
    }


def canonical(routes: list[dict]) -> bytes:
    """Return the bytes of a document with these routes and its source."""
    value = document_value(routes=routes, source=json.dumps(routes))
    return json.dumps(value, sort_keys=True, separators=(',', ':')).encode()


class SimulatedLink:
    """One end of a connection between two instances."""

    def __init__(self, network, peer, address, number):
        self.network = network
        self.peer = peer
        self.address = address
        self.number = number
        self.hello = None
        self.was_established = True
        self.closed = False
        self.pending = 0
        self.received = 0
        self.twin: SimulatedLink | None = None

    @property
    def stream(self):
        return self

    @property
    def remote(self) -> Address:
        return self.peer.address

    def send(self, message) -> bool:
        size = len(encode_frame(message))
        self.network.count_sent(message, size)
        self.network.fleet.transmit(
            self.network, self.peer, size, lambda: self.arrive(message, size)
        )
        return True

    def arrive(self, message, size: int) -> None:
        self.twin.received += size
        self.peer.take(self.twin, message)


class SimulatedNetwork:
    """The network of one instance, over a link of ``rate`` bytes/s."""

    def __init__(self, fleet: 'SimulatedFleet', address: Address, rate: float):
        self.fleet = fleet
        self.address = address
        self.rate = rate
        self.free_out = 0.0
        self.free_in = 0.0
        self.bytes_in = 0
        self.document_bytes_out = 0
        self.receivers = {}
        self.links: dict[Address, SimulatedLink] = {}
        self.numbers = 0

    def subscribe(self, kind, receiver) -> None:
        self.receivers[FIELD_BY_TYPE[kind]] = receiver

    def subscribe_lost(self, hook) -> None:
        """Do nothing: no connection is lost in this simulation."""

    def has_link(self, address) -> bool:
        return address in self.links

    def is_established(self, address) -> bool:
        return address in self.links

    def bytes_received_from(self, address) -> int:
        link = self.links.get(address)
        return link.received if link is not None else 0

    def abort_connecting(self, address) -> None:
        """Do nothing: all connections are up."""

    def link_to(self, address: Address) -> SimulatedLink:
        link = self.links.get(address)
        if link is None:
            peer = self.fleet.networks[address]
            link = SimulatedLink(self, peer, address, self.next_number())
            back = SimulatedLink(peer, self, None, peer.next_number())
            link.twin, back.twin = back, link
            self.links[address] = link
        return link

    def next_number(self) -> int:
        self.numbers += 1
        return self.numbers

    def send(self, address: Address, message) -> bool:
        return self.link_to(address).send(message)

    def count_sent(self, message, size: int) -> None:
        if isinstance(message, DocumentAnswer):
            self.document_bytes_out += size

    def take(self, link: SimulatedLink, message) -> None:
        self.receivers[FIELD_BY_TYPE[type(message)]](link, message)


class SimulatedDaemon:
    """A follower that records when it got each version and pushes it."""

    def __init__(self, fleet: 'SimulatedFleet', address: Address):
        self.fleet = fleet
        self.address = address
        self.network = fleet.add_network(address, DAEMON_RATE)
        self.follower = ConfigFollower(
            fleet.root,
            self.network,
            fleet.control_addresses,
            random.Random(fleet.rng.random()),
        )
        self.follower.link_budget.link_rate = DAEMON_RATE
        self.at: dict[int, float] = {}
        self.follower.subscribe(self.on_rules)

    def start(self) -> None:
        self.started_at = self.fleet.clock.instant
        self.follower.start()
        self.fleet.plan_ping(self)

    def on_rules(self, rules) -> None:
        self.at[rules.version] = self.fleet.clock.instant
        self.fleet.push(self.network, rules.version)


class SimulatedFleet:
    """Daemons and control instances; ``publish`` commits a version.

    Instances in ``offline`` neither send nor receive; the others are not
    notified and their connections stay open.
    """

    def __init__(
        self, daemons: int, seed: int = 1, ping_seconds: float = PING_SECONDS
    ):
        self.rng = random.Random(seed)
        self.ping_seconds = ping_seconds
        self.offline: set[Address] = set()
        self.clock = FakeClock()
        self.root = build_root(self.clock)
        self.networks: dict[Address, SimulatedNetwork] = {}
        self.daemons: dict[Address, SimulatedDaemon] = {}
        self.routes: list[dict] = []
        self.committed: dict[int, float] = {}
        self.store = EventStore()
        self.version = 0
        self.control_addresses = [
            Address('10.0.0.1', 7000 + n) for n in range(CONTROL_INSTANCES)
        ]
        self.servers = [self.add_server(a) for a in self.control_addresses]
        for number in range(daemons):
            self.add_daemon(number)

    # -- parts ------------------------------------------------------------

    def add_network(self, address: Address, rate: float) -> SimulatedNetwork:
        self.networks[address] = SimulatedNetwork(self, address, rate)
        return self.networks[address]

    def add_server(self, address: Address) -> DocumentServer:
        leader = self.control_addresses[0]
        replica = FakeReplica(None, str(leader))
        replica.read_barrier = lambda done: self.root.scheduler.after(
            2 * WAY_SECONDS, lambda: self.finish_read(done)
        )
        network = self.add_network(address, CONTROL_RATE)
        return DocumentServer(
            network,
            replica,
            self.store,
            str(address),
            random.Random(self.rng.random()),
        )

    def finish_read(self, done) -> None:
        replica = FakeReplica(None)
        replica.read_barrier(done)
        replica.finish_reads()

    def add_daemon(self, number: int) -> SimulatedDaemon:
        address = Address('10.0.1.1', 8000 + number)
        self.daemons[address] = SimulatedDaemon(self, address)
        self.daemons[address].start()
        return self.daemons[address]

    # -- transport --------------------------------------------------------

    def transmit(self, sender, receiver, size: int, deliver) -> None:
        """Transfer ``size`` bytes over both links, then call ``deliver``."""
        if sender.address in self.offline:
            return
        now = self.clock.instant
        begin = max(now, sender.free_out)
        sender.free_out = begin + size / sender.rate
        self.root.scheduler.at(
            sender.free_out + WAY_SECONDS,
            lambda: self.receive(sender, receiver, size, deliver),
        )

    def receive(self, sender, receiver, size: int, deliver) -> None:
        if self.offline & {sender.address, receiver.address}:
            return
        receiver.bytes_in += size
        begin = max(self.clock.instant, receiver.free_in)
        receiver.free_in = begin + size / receiver.rate
        self.root.scheduler.at(receiver.free_in, deliver)

    def push(self, sender, version: int) -> None:
        """Announce a version that ``sender`` has to some members at once."""
        daemons = list(self.daemons.values())
        for daemon in self.rng.sample(daemons, min(PUSHES, len(daemons))):
            self.gossip(sender, daemon, version)

    def gossip(self, sender, daemon, version: int) -> None:
        self.transmit(
            sender,
            daemon.network,
            GOSSIP_BYTES,
            lambda: daemon.follower.note_version(version, str(sender.address)),
        )

    def plan_ping(self, daemon: SimulatedDaemon) -> None:
        """Schedule a gossip exchange between a daemon and a random one."""

        def ping() -> None:
            self.plan_ping(daemon)
            other = self.rng.choice(list(self.daemons.values()))
            for one, two in ((daemon, other), (other, daemon)):
                self.gossip(one.network, two, one.follower.version)

        wait = self.ping_seconds * self.rng.uniform(0.9, 1.1)
        self.root.scheduler.after(wait, ping)

    def run(self, seconds: float) -> None:
        """Advance the clock from event to event."""
        end = self.clock.instant + seconds
        heap = self.root.scheduler.heap
        while heap and heap[0][0] <= end:
            self.clock.instant = max(self.clock.instant, heap[0][0])
            self.root.scheduler.run_due()
        self.clock.instant = end

    # -- operator actions -------------------------------------------------

    def publish(self, routes: list[dict]) -> int:
        """Commit a document with these routes on all control instances."""
        self.routes = routes
        base, self.version = self.version, self.version + 1
        data = canonical(routes)
        outcome = self.store.publish(str(self.version), base, data, '', 0)
        assert outcome.version == self.version
        self.committed[self.version] = self.clock.instant
        for address, server in zip(
            self.control_addresses, self.servers, strict=True
        ):
            server.push_version(self.version)
            self.push(self.networks[address], self.version)
        return self.version

    def add_routes(self, count: int) -> int:
        first = len(self.routes)
        more = [route_value(first + n, self.rng) for n in range(count)]
        return self.publish([*self.routes, *more])

    def change_weight(self) -> int:
        """Commit a change of the weights of one route."""
        changed = [dict(route) for route in self.routes]
        changed[0]['shares'] = [
            {'service': 'prices', 'weight': 1 + self.version}
        ]
        return self.publish(changed)

    # -- measurements -----------------------------------------------------

    def delays(self, version: int) -> list[float]:
        """Return each daemon's delay, sorted; infinity for never.

        A later version counts as well, because a daemon that has it no longer
        needs this one.
        """
        since = self.committed[version]
        return sorted(
            min(
                [t for v, t in daemon.at.items() if v >= version],
                default=float('inf'),
            )
            - since
            for daemon in self.daemons.values()
        )

    def packed_size(self) -> int:
        return len(compress(canonical(self.routes)))

    def document_bytes(self) -> collections.Counter:
        """Return the bytes of document answers by sender."""
        return collections.Counter(
            {str(a): n.document_bytes_out for a, n in self.networks.items()}
        )
