"""Members on one event heap with simulated time.

Each is configured with three seeds. Packets take 1 ms; a packet to an instance
that is not running is lost.
"""

import heapq
import itertools
import random

from cyclamenlift.core.streams import Address
from cyclamenlift.membership.joining import JOIN_STEPS
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

CONTROL = [f'10.0.0.{n}' for n in range(1, 6)]
DAEMONS = [f'10.0.1.{n}' for n in range(1, 10)]
SEEDS = CONTROL[:3]
PORT = 7101
WAY = 0.001
FIRST_UNIX_MS = 1000


class Fleet:
    """Members by host; a host that starts again is a new incarnation."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.order = itertools.count()
        self.starts = itertools.count(FIRST_UNIX_MS)
        self.heap = []
        self.members = {}
        self.seeds = SEEDS

    def at(self, instant: float, callback, *arguments) -> None:
        item = (instant, next(self.order), callback, arguments)
        heapq.heappush(self.heap, item)

    def run_until(self, instant: float) -> None:
        while self.heap and self.heap[0][0] <= instant:
            now, _, callback, arguments = heapq.heappop(self.heap)
            callback(now, *arguments)

    def start(self, now: float, host: str) -> None:
        seeds = tuple(Address(seed, PORT) for seed in self.seeds)
        role = MemberRole.CONTROL if host in CONTROL else MemberRole.DAEMON
        settings = MembershipSettings(
            instance=host,
            data_centre='bole',
            cluster='c',
            listen=Address(host, PORT),
            seeds=seeds,
            peer_address=f'{host}:7100',
            target_state=TargetState.READY,
            role=role,
        )
        member = MembershipState(
            settings,
            f'{host}:{PORT}',
            now,
            next(self.starts),
            random.Random(f'{host}-{self.rng.random()}'),
        )
        self.members[host] = member
        self.send(now, member.join(now))
        for step in JOIN_STEPS:
            self.at(now + step, self.step, host, member)
        self.at(now + settings.period, self.period, host, member)

    def kill(self, _now: float, host: str) -> None:
        del self.members[host]

    def announce(self, now: float, host: str, version: int) -> None:
        """Have a member announce a version of the configuration."""
        member = self.members.get(host)
        if member is not None:
            self.send(now, member.announce(None, version, now))

    def step(self, now: float, host: str, member: MembershipState) -> None:
        if self.members.get(host) is member:
            self.send(now, member.join_step(now))

    def period(self, now: float, host: str, member: MembershipState) -> None:
        if self.members.get(host) is not member:
            return
        self.send(now, member.on_period(now))
        stray = self.rng.uniform(0.9, 1.1)
        self.at(now + stray, self.period, host, member)

    def send(self, now: float, outgoing) -> None:
        for item in outgoing:
            self.at(now + WAY, self.receive, item.address.host, item.data)

    def receive(self, now: float, host: str, data: bytes) -> None:
        member = self.members.get(host)
        if member is not None:
            packet = decode_packet(GossipPacket, data)
            self.send(now, member.on_packet(packet, now))

    def unknown_to(self, host: str) -> set[str]:
        """Return the running hosts that a member does not know."""
        known = {r.instance for r in self.members[host].members()}
        return set(self.members) - known

    def strangers(self) -> int:
        """Return the number of pairs that do not know each other."""
        return sum(len(self.unknown_to(host)) for host in self.members)
