"""Decides which members are alive, suspected or dead, and for how long."""

import dataclasses

from cyclamenlift.membership.health import LocalHealth
from cyclamenlift.membership.health import suspicion_periods
from cyclamenlift.membership.records import GONE_STATES
from cyclamenlift.membership.records import is_live
from cyclamenlift.membership.records import revise
from cyclamenlift.membership.records import supersedes
from cyclamenlift.membership.table import MemberTable
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState

# Longer than any packet or piggybacked record can be in transit.
TOMBSTONE_PERIODS = 120
# Far longer than a partition between regions; a suspect is then declared dead
# regardless of local health.
MAX_DEFERRAL_SECONDS = 6 * 3600.0


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspect may refute until ``deadline``.

    If its death may not be declared then, it stays suspected until
    ``defer_until`` at the latest.
    """

    deadline: float
    defer_until: float


class LivenessTracker:
    """The member table and the rules for state changes."""

    def __init__(self, period: float) -> None:
        self.period = period
        self.table = MemberTable()
        self.health = LocalHealth()
        self.suspicions: dict[str, Suspicion] = {}

    def store(self, record: MemberRecord, now: float) -> None:
        """Store a record and set the deadline that its state requires."""
        expires_at = None
        if record.state in GONE_STATES:
            expires_at = now + TOMBSTONE_PERIODS * self.period
        self.table.put(record, expires_at)
        self.suspicions.pop(record.instance, None)
        if record.state == MemberState.SUSPECT:
            periods = suspicion_periods(self.table.live_count())
            self.suspicions[record.instance] = Suspicion(
                now + periods * self.period, now + MAX_DEFERRAL_SECONDS
            )

    def consider(
        self, record: MemberRecord, now: float
    ) -> MemberRecord | None:
        """Return the record to store for a received one, or None.

        A death is accepted only while the local network is considered healthy;
        until then the member stays suspected.
        """
        known = self.table.get(record.instance)
        if not supersedes(record, known):
            self.merge_version(record, known)
            return None
        if record.state != MemberState.DEAD or known is None:
            return record
        if not is_live(known) or not self.must_defer_death(known):
            return record
        held = revise(record, state=MemberState.SUSPECT)
        return held if supersedes(held, known) else None

    def merge_version(self, record: MemberRecord, known: MemberRecord) -> None:
        """Take a higher configuration version of the same incarnation.

        Versions do not raise incarnations: otherwise one published document
        would renew every record of the cluster.
        """
        if record.incarnation != known.incarnation:
            return
        if record.config_version > known.config_version:
            entry = self.table.entries[record.instance]
            entry.record = revise(known, config_version=record.config_version)

    def failing_count(self) -> int:
        counts = self.table.counts
        return counts[MemberState.SUSPECT] + counts[MemberState.DEAD]

    def known_count(self) -> int:
        return len(self.table) - self.table.counts[MemberState.LEFT]

    def must_defer_death(self, record: MemberRecord) -> bool:
        """Return whether this member may not be declared dead now."""
        failing = self.failing_count()
        if record.state == MemberState.ALIVE:
            failing += 1
        return self.health.must_defer_death(failing, self.known_count())

    def due_deaths(self, now: float) -> list[MemberRecord]:
        """Return the DEAD record of a suspect whose deadline has passed."""
        for name, suspicion in list(self.suspicions.items()):
            if suspicion.deadline > now:
                continue
            record = self.table.entries[name].record
            held = (
                self.must_defer_death(record) and now < suspicion.defer_until
            )
            if not held:
                return [revise(record, state=MemberState.DEAD)]
        return []

    def postpone(self, seconds: float) -> None:
        """Extend all suspicions by the time that this process was stalled."""
        for suspicion in self.suspicions.values():
            suspicion.deadline += seconds
            suspicion.defer_until += seconds

    def forget_expired(self, now: float) -> None:
        """Remove expired tombstones, unless many members are missing.

        Otherwise a partitioned minority would forget the others in portions,
        each below the share at which it keeps them.
        """
        names = self.table.expired(now)
        if not names or self.health.must_defer_death(
            self.failing_count(), self.known_count()
        ):
            return
        for name in names:
            self.table.remove(name)
