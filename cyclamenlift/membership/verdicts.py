"""Who counts as alive, suspected or dead, and how long that is kept."""

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

# Longer than any packet or piggybacked record stays on its way.
TOMBSTONE_PERIODS = 120
# Far beyond a cut between regions; then a suspect is given up anyway.
HOLD_SECONDS = 6 * 3600.0


@dataclasses.dataclass(slots=True)
class Suspicion:
    """A suspect may refute until ``deadline``, is held to ``hold_until``."""

    deadline: float
    hold_until: float


class Verdicts:
    """The table with the rules for changes of state."""

    def __init__(self, period: float) -> None:
        self.period = period
        self.table = MemberTable()
        self.health = LocalHealth()
        self.suspicions: dict[str, Suspicion] = {}

    def store(self, record: MemberRecord, now: float) -> None:
        """Put a record in the table with the deadline that goes with it."""
        expires_at = None
        if record.state in GONE_STATES:
            expires_at = now + TOMBSTONE_PERIODS * self.period
        self.table.put(record, expires_at)
        self.suspicions.pop(record.instance, None)
        if record.state == MemberState.SUSPECT:
            periods = suspicion_periods(self.table.live_count())
            self.suspicions[record.instance] = Suspicion(
                now + periods * self.period, now + HOLD_SECONDS
            )

    def consider(
        self, record: MemberRecord, now: float
    ) -> MemberRecord | None:
        """Return the record to store for one that arrived, None for none.

        A death is only believed while the own network is above doubt;
        until then the member is held as suspected.
        """
        known = self.table.get(record.instance)
        if not supersedes(record, known):
            self.merge_version(record, known)
            return None
        if record.state != MemberState.DEAD or known is None:
            return record
        if not is_live(known) or not self.must_hold(known):
            return record
        held = revise(record, state=MemberState.SUSPECT)
        return held if supersedes(held, known) else None

    def merge_version(self, record: MemberRecord, known: MemberRecord) -> None:
        """Take a higher configuration version of the same incarnation.

        Versions do not raise incarnations: one published document would
        else renew every record of the cluster.
        """
        if record.incarnation != known.incarnation:
            return
        if record.config_version > known.config_version:
            entry = self.table.entries[record.instance]
            entry.record = revise(known, config_version=record.config_version)

    def failing(self) -> int:
        counts = self.table.counts
        return counts[MemberState.SUSPECT] + counts[MemberState.DEAD]

    def known(self) -> int:
        return len(self.table) - self.table.counts[MemberState.LEFT]

    def must_hold(self, record: MemberRecord) -> bool:
        """Tell whether this member may not be declared dead now."""
        failing = self.failing()
        if record.state == MemberState.ALIVE:
            failing += 1
        return self.health.must_hold(failing, self.known())

    def due_deaths(self, now: float) -> list[MemberRecord]:
        """Return DEAD records for the suspects whose time is over."""
        for name, suspicion in list(self.suspicions.items()):
            if suspicion.deadline > now:
                continue
            record = self.table.entries[name].record
            held = self.must_hold(record) and now < suspicion.hold_until
            if not held:
                return [revise(record, state=MemberState.DEAD)]
        return []

    def postpone(self, seconds: float) -> None:
        """Move all suspicions after a time in which this process stood."""
        for suspicion in self.suspicions.values():
            suspicion.deadline += seconds
            suspicion.hold_until += seconds

    def forget_expired(self, now: float) -> None:
        """Drop old tombstones, but not while many members are missing.

        Otherwise a cut-off minority would forget the others in portions,
        each below the share at which it holds them.
        """
        names = self.table.expired(now)
        if not names or self.health.must_hold(self.failing(), self.known()):
            return
        for name in names:
            self.table.remove(name)
