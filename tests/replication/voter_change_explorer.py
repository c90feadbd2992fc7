"""Seeded random simulation of automatic voter set changes.

Three instances bootstrap the cluster and others join. Meanwhile messages
are lost, duplicated and reordered, processes crash with torn writes, links
are cut and disks are lost, though never so many that a voter set in some
log loses its majority. Membership tells only some of the instances with an
empty disk of the others; the rest know the founders alone.
"""

import dataclasses
import random

from cyclamenlift.replication.inputs import tick
from cyclamenlift.replication.state import ReplicaState
from tests.replication.builders import LIMITS
from tests.replication.builders import Node
from tests.replication.unreliable_cluster import STEP_SECONDS
from tests.replication.unreliable_cluster import UnreliableCluster

FOUNDERS = ('a', 'b', 'c')
JOINERS = ('d', 'e', 'f')
ALL = FOUNDERS + JOINERS
GROWING = dataclasses.replace(LIMITS, wanted_voters=5)


class GrowingNode(Node):
    """A node that initially knows only the founders."""

    def boot(self) -> None:
        super().boot()
        found = self.disk.found
        founders = tuple(n for n in FOUNDERS if n != self.name)
        # ``self.names`` is empty after a disk loss: an instance with an
        # empty disk must not bootstrap a second cluster.
        self.state = ReplicaState(
            self.name,
            founders,
            bool(self.names),
            GROWING,
            found,
            random.Random(self.name),
            self.now,
            founder=self.name in FOUNDERS,
        )


class GrowingCluster(UnreliableCluster):
    """Takes random steps; raises SafetyViolation on a safety violation."""

    def __init__(self, seed: int):
        super().__init__(seed, ALL)
        self.nodes = {n: GrowingNode(n, ALL, 1) for n in ALL}
        self.lost: set[str] = set()
        self.wipes = 0
        # Instances that membership tells of no other.
        self.untold: set[str] = set()
        for node in self.nodes.values():
            self.announce_all(node)

    def announce_all(self, node: GrowingNode) -> None:
        if node.name in self.untold:
            return
        for name in ALL:
            node.state.add_peer(name, f'{name}:1')

    def run(self, steps: int) -> None:
        for _ in range(steps):
            self.step()

    def step(self) -> None:
        self.now += STEP_SECONDS
        for name in ALL:
            if name not in self.down:
                tick(self.nodes[name].state, self.now)
                self.process_effects(name)
        self.move_messages()
        self.sync_some()
        self.inject_fault()

    def sync_some(self) -> None:
        for name in ALL:
            if name not in self.down and self.rng.random() < 0.9:
                self.sync(name)

    def inject_fault(self) -> None:
        chance = self.rng.random()
        name = self.rng.choice(ALL)
        if chance < 0.15:
            for leader in ALL:
                self.propose(leader)
        elif chance < 0.17:
            self.stop(name)
        elif chance < 0.25 and self.down:
            self.start(self.rng.choice(sorted(self.down)))
        elif chance < 0.255:
            self.wipe_if_tolerable(name)
        elif chance < 0.27:
            other = self.rng.choice(ALL)
            self.cut ^= {(name, other)}
        elif chance < 0.30:
            self.cut.clear()
        elif chance < 0.31:
            self.split()

    def stop(self, name: str) -> None:
        if len(self.down) < 3:
            self.down.add(name)

    def start(self, name: str) -> None:
        self.down.discard(name)
        node = self.nodes[name]
        self.crash(name, self.rng.randrange(len(node.unsynced) + 1))
        self.announce_all(node)

    def wipe_if_tolerable(self, name: str) -> None:
        storage_id = self.nodes[name].state.storage_id
        if not self.keeps_majorities(self.lost | {storage_id}):
            return
        self.lost.add(storage_id)
        self.wipes += 1
        self.number += 1
        node = GrowingNode(name, (), self.number)
        node.now = self.now
        node.boot()
        self.nodes[name] = node
        self.down.add(name)
        self.untold.discard(name)
        if self.wipes % 2:
            self.untold.add(name)

    def keeps_majorities(self, lost: set[str]) -> bool:
        """Return whether each voter set in a log keeps a majority."""
        found = False
        for node in self.nodes.values():
            for voters in node.state.voters.history:
                found = True
                storages = set(voters.storage_ids.values())
                if len(storages & lost) * 2 >= len(storages):
                    return False
        return found

    # -- queries ----------------------------------------------------------

    def voters(self) -> dict[str, str]:
        """Return the voter set of the leader of the newest term."""
        leaders = [n for n in ALL if n not in self.down and self.leads(n)]
        if not leaders:
            return {}
        newest = max(leaders, key=lambda n: self.nodes[n].state.term)
        latest = self.nodes[newest].state.voters.latest
        return latest.storage_ids if latest else {}

    def recover(self, steps: int = 400) -> None:
        """Remove all faults and let the cluster recover."""
        self.cut.clear()
        for name in sorted(self.down):
            self.start(name)
        for _ in range(steps):
            self.now += STEP_SECONDS
            for name in ALL:
                tick(self.nodes[name].state, self.now)
                self.process_effects(name)
                self.sync(name)
            while self.messages:
                self.deliver(0)
