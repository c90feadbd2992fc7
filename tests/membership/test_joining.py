"""All instances start at once, and the seeds start last.

After a power failure, nine daemons and five control instances start within 0.4
s in any order. Each is configured with three seeds, which do not listen yet
when most instances ask them. Callers are back at once and are rejected until a
daemon knows targets. Packets take 1 ms; a packet to an instance that is not
running is lost.
"""

import heapq
import itertools
import random

import pytest

from cyclamenlift.core.streams import Address
from cyclamenlift.membership.joining import JOIN_STEPS
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

CONTROL = [f'10.0.0.{n}' for n in range(1, 6)]
DAEMONS = [f'10.0.1.{n}' for n in range(1, 10)]
SEEDS = CONTROL[:3]
PORT = 7101
WAY = 0.001
# Daemons were observed to listen within 0.05 s of each other, control
# instances up to 0.25 s after them.
SPREAD = 0.05
CONTROL_LATER = 0.25


class Fleet:
    """Members on one event heap with simulated time."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.order = itertools.count()
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
        settings = MembershipSettings(
            instance=host,
            data_centre='bole',
            cluster='c',
            listen=Address(host, PORT),
            seeds=seeds,
            peer_address=f'{host}:7100',
            target_state=TargetState.READY,
        )
        state = MembershipState(
            settings, f'{host}:{PORT}', now, 1000, random.Random(host)
        )
        self.members[host] = state
        self.send(now, state.join(now))
        for step in JOIN_STEPS:
            self.at(now + step, self.step, host)
        self.at(now + settings.period, self.period, host)

    def step(self, now: float, host: str) -> None:
        self.send(now, self.members[host].join_step(now))

    def period(self, now: float, host: str) -> None:
        self.send(now, self.members[host].on_period(now))
        stray = self.rng.uniform(0.9, 1.1)
        self.at(now + stray, self.period, host)

    def send(self, now: float, outgoing) -> None:
        for item in outgoing:
            self.at(now + WAY, self.receive, item.address.host, item.data)

    def receive(self, now: float, host: str, data: bytes) -> None:
        member = self.members.get(host)
        if member is not None:
            packet = decode_packet(GossipPacket, data)
            self.send(now, member.on_packet(packet, now))

    def strangers(self) -> int:
        """Return the number of pairs that do not know each other."""
        hosts = set(self.members)
        return sum(
            len(hosts - {r.instance for r in member.members()})
            for member in self.members.values()
        )


@pytest.mark.parametrize('seed', range(30))
def test_all_know_each_other_soon_after_the_last_has_started(seed):
    fleet = Fleet(seed)
    for host in DAEMONS:
        fleet.at(fleet.rng.uniform(0.0, SPREAD), fleet.start, host)
    for host in CONTROL:
        later = fleet.rng.uniform(-0.2, CONTROL_LATER)
        fleet.at(max(0.0, later), fleet.start, host)
    fleet.run_until(CONTROL_LATER + 0.5)
    assert fleet.strangers() == 0


def test_a_single_new_instance_is_known_at_once():
    fleet = Fleet(1)
    for host in CONTROL + DAEMONS[1:]:
        fleet.at(0.0, fleet.start, host)
    fleet.run_until(20.0)
    fleet.at(20.0, fleet.start, DAEMONS[0])
    fleet.run_until(20.3)
    assert fleet.strangers() == 0


def test_dead_seeds_do_not_delay_joining():
    fleet = Fleet(3)
    fleet.seeds = ['10.0.9.9', '10.0.9.8', CONTROL[0]]
    for host in CONTROL + DAEMONS:
        fleet.at(fleet.rng.uniform(0.0, 0.2), fleet.start, host)
    fleet.run_until(1.2)
    assert fleet.strangers() == 0


def test_steps_cost_little_once_all_are_known():
    """A step is one small request, and equal tables need no answer."""
    fleet = Fleet(5)
    for host in CONTROL + DAEMONS:
        fleet.at(0.0, fleet.start, host)
    fleet.run_until(2.0)
    member = fleet.members[DAEMONS[0]]
    seed = fleet.members[SEEDS[0]]
    for item in member.join_step(2.0):
        assert len(item.data) < 400
        packet = decode_packet(GossipPacket, item.data)
        assert seed.on_packet(packet, 2.0) == []
