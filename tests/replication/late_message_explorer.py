"""The search of voter changes with messages that come late.

Some messages are held back for seconds, over elections, and come after what
was sent later. An answer may name a round only of the request that brought it:
an old leader that leads again counts its rounds from 1 in each term.
"""

import random

from cyclamenlift.wire.gen.protocol.ttypes import AppendAnswer
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotAnswer
from cyclamenlift.wire.gen.protocol.ttypes import SnapshotChunk
from tests.replication.builders import SafetyViolation
from tests.replication.voter_change_explorer import GrowingCluster

HELD_BACK_SHARE = 0.05
LONGEST_DELAY_SECONDS = 10.0
REQUESTS = (AppendRequest, SnapshotChunk)
ANSWERS = (AppendAnswer, SnapshotAnswer)


class LateMessageCluster(GrowingCluster):
    """Raises SafetyViolation for an answer to a round that never came."""

    def __init__(self, seed: int):
        self.delays = random.Random(-seed)
        # Messages that are held back, by when they arrive.
        self.late: list[tuple[float, tuple]] = []
        # Rounds that came, as receiver, sender, term and number.
        self.rounds: set[tuple[str, str, int, int]] = set()
        super().__init__(seed)

    def step(self) -> None:
        due = [message for at, message in self.late if at <= self.now]
        self.late = [entry for entry in self.late if entry[0] > self.now]
        self.messages.extend(due)
        super().step()

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, to, message = self.messages[position]
        if self.delays.random() < HELD_BACK_SHARE:
            delay = LONGEST_DELAY_SECONDS * self.delays.random()
            self.late.append((self.now + delay, self.messages.pop(position)))
            return
        if isinstance(message, REQUESTS):
            self.rounds.add((to, sender, message.term, message.round_id))
        super().deliver(position, keep)

    def handle(self, node, effect) -> None:
        message = getattr(effect, 'message', None)
        if isinstance(message, ANSWERS) and message.round_id:
            named = (node.name, effect.to, message.term, message.round_id)
            if named not in self.rounds:
                raise SafetyViolation(f'{named} answers no request')
        super().handle(node, effect)
