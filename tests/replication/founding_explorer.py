"""Seeded random simulation of how a log begins.

The founders start at different times, or never. Meanwhile messages are lost,
duplicated and reordered, processes crash with torn writes, links are cut, and
disks are lost, also before there is a log. An instance that lost its disk
comes back without ``bootstrap``; the others keep it.
"""

import dataclasses
import random

from cyclamenlift.replication.inputs import tick
from cyclamenlift.replication.state import ReplicaState
from tests.replication.builders import LIMITS
from tests.replication.builders import Node
from tests.replication.unreliable_cluster import STEP_SECONDS
from tests.replication.unreliable_cluster import UnreliableCluster

JOINERS = ('x', 'y')
FOUNDING_SECONDS = 2.0
# Most founders start within this time.
START_SECONDS = 4.0
FOUNDING = dataclasses.replace(
    LIMITS, wanted_voters=5, founding=FOUNDING_SECONDS
)


class FoundingNode(Node):
    """A node that knows the founders, and whether it has lost its disk."""

    def __init__(self, name, founders, number, lost=False):
        self.founders = founders
        self.lost = lost
        super().__init__(name, founders, number)

    def boot(self) -> None:
        super().boot()
        self.state = ReplicaState(
            self.name,
            tuple(n for n in self.founders if n != self.name),
            not self.lost,
            FOUNDING,
            self.disk.found,
            random.Random(f'{self.name} {self.now}'),
            self.now,
            founder=self.name in self.founders,
        )


class FoundingCluster(UnreliableCluster):
    """Takes random steps; raises SafetyViolation on a safety violation."""

    def __init__(self, seed: int, founders: tuple[str, ...]):
        super().__init__(seed, founders + JOINERS)
        self.founders = founders
        self.starts = {n: self.draw_start() for n in self.names}
        self.down = set(self.names)
        self.wiped: set[str] = set()

    def draw_start(self) -> float:
        """Return when an instance starts, never with a chance of a sixth."""
        if self.rng.random() < 1 / 6:
            return float('inf')
        return self.rng.uniform(0.0, START_SECONDS)

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()

    def step(self) -> None:
        self.now += STEP_SECONDS
        self.start_due()
        self.tick_all()
        self.move_messages()
        for name in self.running():
            if self.rng.random() < 0.9:
                self.sync(name)
        self.inject_fault()

    def running(self) -> list[str]:
        return [name for name in self.names if name not in self.down]

    def start_due(self) -> None:
        for name, at in self.starts.items():
            if at <= self.now:
                self.starts[name] = float('inf')
                self.boot(name, FoundingNode(name, self.founders, 1))

    def boot(self, name: str, node: FoundingNode) -> None:
        """Start a node that membership tells of the running others."""
        node.now = self.now
        node.boot()
        self.nodes[name] = node
        self.down.discard(name)
        for other in self.running():
            node.state.add_peer(other, f'{other}:1')
            self.nodes[other].state.add_peer(name, f'{name}:1')

    def tick_all(self) -> None:
        for name in self.running():
            tick(self.nodes[name].state, self.now)
            self.process_effects(name)

    def inject_fault(self) -> None:
        chance = self.rng.random()
        name = self.rng.choice(self.names)
        if chance < 0.1:
            for leader in self.running():
                self.propose(leader)
        elif chance < 0.13 and name not in self.down:
            self.restart(name)
        elif chance < 0.14 and name not in self.down:
            self.wipe_disk(name)
        elif chance < 0.16:
            self.cut ^= {(name, self.rng.choice(self.names))}
        elif chance < 0.18:
            self.cut.clear()
        elif chance < 0.19:
            self.split()

    def restart(self, name: str) -> None:
        """Crash; some of the pending writes had reached the disk."""
        node = self.nodes[name]
        for effect in node.unsynced[: self.rng.randrange(3)]:
            node.disk.write(effect)
        self.boot(name, node)

    def wipe_disk(self, name: str) -> None:
        """Lose a disk as long as a majority of the founders have theirs."""
        lost = {n for n in (*self.wiped, name) if n in self.founders}
        if 2 * len(lost) >= len(self.founders):
            return
        self.wiped.add(name)
        self.number += 1
        node = FoundingNode(name, self.founders, self.number, lost=True)
        self.boot(name, node)

    def recover(self, steps: int = 400) -> None:
        """Remove all faults, start who has not yet, and let time pass."""
        self.cut.clear()
        for name, at in self.starts.items():
            if at < float('inf'):
                self.starts[name] = self.now
        self.start_due()
        for _ in range(steps):
            self.now += STEP_SECONDS
            self.tick_all()
            for name in self.running():
                self.sync(name)
            while self.messages:
                self.deliver(0)

    def has_leader(self) -> bool:
        return any(self.leads(name) for name in self.running())

    def founders_that_run(self) -> int:
        """Return how many founders run with the disks they began with."""
        return sum(
            name not in self.down and name not in self.wiped
            for name in self.founders
        )
