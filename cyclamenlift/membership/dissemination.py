"""Which records ride on packets: a queue with bounded retransmissions."""

import heapq
import math

from cyclamenlift.membership.table import MemberTable
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord

RETRANSMIT_FACTOR = 3
# More changes than this at once are sent less often each: pulls by digest
# carry what is missed for a fraction of the bytes.
FULL_QUEUE = 48
LEAST_TRANSMISSIONS = 2


def retransmissions(members: int) -> int:
    """Return how often one change is sent by each member.

    >>> retransmissions(1), retransmissions(8), retransmissions(680)
    (3, 10, 29)
    """
    return math.ceil(RETRANSMIT_FACTOR * math.log2(members + 1))


class DisseminationQueue:
    """Changes to pass on, least often sent first.

    The queue keeps names only, so what goes out is always the newest
    record of the table.
    """

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.sent)

    def add(self, instance: str) -> None:
        """Pass on the record of an instance, counting from zero."""
        self.sent[instance] = 0

    def take(self, table: MemberTable, room: int) -> list[MemberRecord]:
        """Return records that fit in ``room`` bytes and count them."""
        records = []
        limit = self.limit(table.live_count())
        candidates = room // 40 + 1
        for name in heapq.nsmallest(candidates, self.sent, self.sent.get):
            entry = table.entries.get(name)
            if entry is None:
                del self.sent[name]
                continue
            if entry.size > room:
                continue
            room -= entry.size
            records.append(entry.record)
            self.count(name, limit)
        return records

    def limit(self, members: int) -> int:
        """Return the transmissions for each change at this load."""
        most = retransmissions(members)
        if len(self.sent) <= FULL_QUEUE:
            return most
        return max(LEAST_TRANSMISSIONS, most * FULL_QUEUE // len(self.sent))

    def count(self, name: str, limit: int) -> None:
        self.sent[name] += 1
        if self.sent[name] >= limit:
            del self.sent[name]


class TableSlice:
    """Walks over the whole table, a few records for each packet."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def take(self, table: MemberTable, room: int) -> list[MemberRecord]:
        """Return the next record of the walk if it fits."""
        if not self.names:
            self.names = list(table.entries)
        while self.names:
            entry = table.entries.get(self.names.pop())
            if entry is not None:
                return [entry.record] if entry.size <= room else []
        return []
