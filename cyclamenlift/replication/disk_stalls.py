"""Detection of a hanging local disk; performs no I/O.

A leader needs its own disk only to append the next batch; heartbeats need
none. A leader with a hanging disk would therefore keep its role while
operators' requests wait. Once it steps down, the peers, whose disks work,
elect another leader within two election timeouts.
"""

# How many election timeouts a write may take. With 500 ms it is one second,
# after which operators ask another instance; the slowest disk named in the
# requirements syncs in 30 ms.
STALLED_ELECTIONS = 2


class DiskStallDetector:
    """Checks at each tick whether pending writes have progressed."""

    def __init__(self, now: float) -> None:
        self.last_tick_at = now
        self.last_progress_at = now
        self.synced_ticket = 0

    def tick(self, outbox, now: float, election: float) -> None:
        """Record progress of the pending writes.

        Time in which the process itself was paused is not attributed to
        the disk.
        """
        paused = now - self.last_tick_at >= election
        progressed = outbox.synced_ticket != self.synced_ticket
        if outbox.is_synced or progressed or paused:
            self.last_progress_at = now
        self.synced_ticket = outbox.synced_ticket
        self.last_tick_at = now

    def is_stalled(self, now: float, election: float) -> bool:
        """Return whether a write has been pending for too long."""
        return now - self.last_progress_at >= STALLED_ELECTIONS * election
