"""The table of member records and its digests.

Names are hashed into a fixed number of buckets. Each bucket keeps the
exclusive or of the fingerprints of its live records, so two members can find
their differences with a few hundred bytes.
"""

import dataclasses

import xxhash

from cyclamenlift.membership.records import encoded_size
from cyclamenlift.membership.records import fingerprint
from cyclamenlift.membership.records import is_live
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState

BUCKETS = 64


def bucket_of(instance: str) -> int:
    """Return the bucket of an instance name, the same on every member."""
    return xxhash.xxh32_intdigest(instance.encode()) % BUCKETS


@dataclasses.dataclass(slots=True)
class Entry:
    """The record of one instance and values derived from it."""

    record: MemberRecord
    size: int
    fingerprint: int
    expires_at: float | None = None


class MemberTable:
    """Records by instance name, including this instance."""

    def __init__(self) -> None:
        self.entries: dict[str, Entry] = {}
        self.buckets: list[dict[str, Entry]] = [{} for _ in range(BUCKETS)]
        self.bucket_digests = [0] * BUCKETS
        self.digest = 0
        self.counts = dict.fromkeys(MemberState, 0)

    def __len__(self) -> int:
        return len(self.entries)

    def get(self, instance: str) -> MemberRecord | None:
        """Return the record of an instance, None if unknown."""
        entry = self.entries.get(instance)
        return entry.record if entry else None

    def put(
        self, record: MemberRecord, expires_at: float | None = None
    ) -> None:
        """Store a record; a tombstone may be removed at ``expires_at``."""
        self.remove(record.instance)
        value = fingerprint(record) if is_live(record) else 0
        entry = Entry(record, encoded_size(record), value, expires_at)
        number = bucket_of(record.instance)
        self.entries[record.instance] = entry
        self.buckets[number][record.instance] = entry
        self.counts[record.state] += 1
        self.toggle_fingerprint(number, value)

    def remove(self, instance: str) -> None:
        entry = self.entries.pop(instance, None)
        if entry is None:
            return
        number = bucket_of(instance)
        del self.buckets[number][instance]
        self.counts[entry.record.state] -= 1
        self.toggle_fingerprint(number, entry.fingerprint)

    def toggle_fingerprint(self, number: int, value: int) -> None:
        self.bucket_digests[number] ^= value
        self.digest ^= value

    def live(self) -> list[MemberRecord]:
        """Return the records of live members."""
        return [e.record for e in self.entries.values() if is_live(e.record)]

    def live_count(self) -> int:
        return (
            self.counts[MemberState.ALIVE] + self.counts[MemberState.SUSPECT]
        )

    def expired(self, now: float) -> list[str]:
        """Return the names whose tombstones have expired."""
        return [
            name
            for name, entry in self.entries.items()
            if entry.expires_at is not None and entry.expires_at <= now
        ]
