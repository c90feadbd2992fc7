"""Reports of ends and a group of instances that share them."""

import heapq
import itertools
import random

from cyclamenlift.membership.packets import EndsDigest
from cyclamenlift.quarantine import Quarantine
from cyclamenlift.quarantine import Report

NUMBERS = itertools.count(1)


def name(text: str) -> bytes:
    """Return a readable fingerprint."""
    return text.encode().ljust(12, b'.')


def end(at: float, *ran: str, begun_at: float | None = None) -> Report:
    """Return a report that a target ended after 0.1 s of these requests."""
    begun = at - 0.1 if begun_at is None else begun_at
    return Report(
        f'r{next(NUMBERS)}',
        'prices',
        tuple(name(text) for text in ran),
        at,
        (begun,) * len(ran),
    )


class EventHeap:
    """A simulated clock with a queue of timers."""

    def __init__(self) -> None:
        self.clock = self
        self.time = 1000.0
        self.due: list = []
        self.numbers = itertools.count()

    def now(self) -> float:
        return self.time

    def unix_ms(self) -> int:
        return int(self.time * 1000)

    def after(self, seconds: float, callback) -> None:
        event = (self.time + seconds, next(self.numbers), callback)
        heapq.heappush(self.due, event)

    def every(self, _seconds: float, _callback) -> None:
        """Ignore periodic timers, which no test runs long enough to need."""

    def run(self, seconds: float) -> None:
        until = self.time + seconds
        while self.due and self.due[0][0] <= until:
            self.time, _, callback = heapq.heappop(self.due)
            callback()
        self.time = until


class FakeLink:
    """Delivers messages to the receivers of one member after a delay."""

    def __init__(self, group: 'Group', owner: str):
        self.group = group
        self.owner = owner

    def send(self, message) -> bool:
        self.group.deliver(self.owner, message, self)
        return True


class FakeNetwork:
    """The peer connections of one member."""

    def __init__(self, group: 'Group', owner: str):
        self.group = group
        self.owner = owner
        self.receivers: dict = {}

    def subscribe(self, kind: type, receiver) -> None:
        self.receivers[kind] = receiver

    def send(self, address, message) -> bool:
        peer = self.group.names[address.port]
        back = FakeLink(self.group, self.owner)
        self.group.deliver(peer, message, back)
        return True


class FakeMembership:
    """Sends reports to random members and digests by pings."""

    def __init__(self, group: 'Group', owner: str):
        self.group = group
        self.owner = owner
        self.digest = 0
        self.on_end = None
        self.on_digest = None

    def subscribe_ends(self, on_end, on_digest) -> None:
        self.on_end = on_end
        self.on_digest = on_digest

    def set_ends_digest(self, digest: int) -> None:
        self.digest = digest

    def spread_ends(self, report, fanout: int, _own: bool) -> None:
        group = self.group
        others = [n for n in group.members if n != self.owner]
        for peer in group.rng.sample(others, min(fanout, len(others))):
            group.sent += 1
            if group.rng.random() >= group.loss:
                hook = group.members[peer].membership.on_end
                group.heap.after(group.delay(), lambda h=hook: h(report))


class Group:
    """Instances that share reports over a lossy network."""

    def __init__(self, count: int, seed: int, loss: float = 0.0):
        self.heap = EventHeap()
        self.rng = random.Random(seed)
        self.loss = loss
        self.sent = 0
        self.ports = itertools.count(1)
        self.names: dict[int, str] = {}
        self.members: dict[str, Quarantine] = {}
        for _ in range(count):
            self.add()

    def add(self) -> Quarantine:
        """Start another instance, which knows only its seed."""
        port = next(self.ports)
        owner = f'i-{port}'
        self.names[port] = owner
        made = Quarantine(self.heap, owner, self.rng)
        made.join(FakeNetwork(self, owner), FakeMembership(self, owner))
        self.members[owner] = made
        self.join_by_seed(owner)
        return made

    def delay(self) -> float:
        return self.rng.uniform(0.001, 0.02)

    def deliver(self, peer: str, message, link) -> None:
        receive = self.members[peer].network.receivers[type(message)]
        self.heap.after(self.delay(), lambda: receive(link, message))

    def ping(self) -> None:
        """Let each member ping a random one; both receive a packet."""
        for port, owner in list(self.names.items()):
            other = self.rng.choice(list(self.names))
            if other != port:
                self.hear(owner, other)
                self.hear(self.names[other], port)

    def hear(self, owner: str, port: int) -> None:
        """Deliver the digest of the member at ``port`` to a member."""
        digest = self.members[self.names[port]].membership.digest
        seen = EndsDigest(digest, f'127.0.0.1:{port}', False)
        self.members[owner].membership.on_digest(seen)

    def join_by_seed(self, owner: str) -> None:
        """Let a starting member receive the digest of the oldest member."""
        self.heap.after(
            self.delay(), lambda: self.hear(owner, next(iter(self.names)))
        )

    def run(self, seconds: float) -> None:
        """Advance the time, with one ping from each member per second."""
        whole = int(seconds)
        for _ in range(whole):
            self.ping()
            self.heap.run(1.0)
        self.heap.run(seconds - whole)
