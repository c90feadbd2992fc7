"""Selects the records piggybacked on packets, with bounded retransmissions."""

import heapq
import math

from cyclamenlift.membership.table import MemberTable
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord

RETRANSMIT_FACTOR = 3
# With more pending changes than this, each is sent less often: pulls by digest
# recover what was missed for a fraction of the bytes.
FULL_QUEUE = 48
MIN_TRANSMISSIONS = 2


def retransmissions(members: int) -> int:
    """Return how often each member sends one change.

    >>> retransmissions(1), retransmissions(8), retransmissions(680)
    (3, 10, 29)
    """
    return math.ceil(RETRANSMIT_FACTOR * math.log2(members + 1))


class DisseminationQueue:
    """Changes to disseminate, least often sent first.

    The queue stores names only, so that the newest record of the table is
    sent.
    """

    def __init__(self) -> None:
        self.sent: dict[str, int] = {}

    def __len__(self) -> int:
        return len(self.sent)

    def add(self, instance: str) -> None:
        """Queue an instance's record and reset its transmission count."""
        self.sent[instance] = 0

    def take(self, table: MemberTable, room: int) -> list[MemberRecord]:
        """Return records that fit in ``room`` bytes and count them as sent."""
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
        """Return the transmissions for each change at the current load."""
        most = retransmissions(members)
        if len(self.sent) <= FULL_QUEUE:
            return most
        return max(MIN_TRANSMISSIONS, most * FULL_QUEUE // len(self.sent))

    def count(self, name: str, limit: int) -> None:
        self.sent[name] += 1
        if self.sent[name] >= limit:
            del self.sent[name]


class TableSlice:
    """Iterates over the whole table, at most one record for each packet."""

    def __init__(self) -> None:
        self.names: list[str] = []

    def take(self, table: MemberTable, room: int) -> list[MemberRecord]:
        """Return the next record if it fits."""
        if not self.names:
            self.names = list(table.entries)
        while self.names:
            entry = table.entries.get(self.names.pop())
            if entry is not None:
                return [entry.record] if entry.size <= room else []
        return []
