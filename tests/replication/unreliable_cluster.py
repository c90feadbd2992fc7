"""A simulated cluster whose messages are lost, duplicated and reordered."""

import itertools
import random

from tests.replication.builders import Cluster

STEP_SECONDS = 0.05


class UnreliableCluster(Cluster):
    """Instances that may be down, and links that may be cut one way."""

    def __init__(self, seed: int, names: tuple[str, ...]):
        super().__init__(names)
        self.rng = random.Random(seed)
        self.down: set[str] = set()
        self.cut: set[tuple[str, str]] = set()

    def move_messages(self) -> None:
        for _ in range(len(self.messages)):
            if not self.messages:
                return
            position = self.rng.randrange(len(self.messages))
            sender, to, _ = self.messages[position]
            reached = to not in self.down and (sender, to) not in self.cut
            if not reached or self.rng.random() < 0.05:
                del self.messages[position]
            else:
                self.deliver(position, self.rng.random() < 0.05)

    def split(self) -> None:
        """Partition the instances into two halves."""
        half = set(self.rng.sample(self.names, len(self.names) // 2))
        pairs = itertools.permutations(self.names, 2)
        self.cut = {(a, b) for a, b in pairs if (a in half) != (b in half)}

    def deliver(self, position: int, keep: bool = False) -> None:
        if self.messages[position][1] in self.down:
            del self.messages[position]
            return
        super().deliver(position, keep)
