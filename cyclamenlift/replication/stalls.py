"""Whether the disk of this replica answers: decisions, no disk.

A leader needs its own disk only to append the next batch, and its heartbeats
need none. So with a disk that hangs it went on leading while operators
waited, until the disk went on; the others, whose disks are sound, choose
another leader within two election timeouts once it gives its place up.
"""

# For how many election timeouts a write may be under way. With 500 ms it is
# one second, after which operators ask another instance; the slowest disk
# that the users named syncs in 30 ms.
STALLED_ELECTIONS = 2


class DiskWatch:
    """Notes at each tick whether writes were done since the last one."""

    def __init__(self, now: float) -> None:
        self.ticked_at = now
        self.moved_at = now
        self.synced_ticket = 0

    def tick(self, outbox, now: float, election: float) -> None:
        """Look at the writes under way.

        Blame the disk for nothing while the process itself stood still.
        """
        paused = now - self.ticked_at >= election
        moved = outbox.synced_ticket != self.synced_ticket
        if outbox.is_synced or moved or paused:
            self.moved_at = now
        self.synced_ticket = outbox.synced_ticket
        self.ticked_at = now

    def is_stalled(self, now: float, election: float) -> bool:
        """Tell whether a write has been under way for too long."""
        return now - self.moved_at >= STALLED_ELECTIONS * election
