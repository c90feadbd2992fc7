"""Detects that a daemon's document is out of date.

A daemon that knows of a newer version but doesn't have it yet can't answer
that a route does not exist: that answer is final for the caller, while a
request to retry is served a moment later.
"""

# How long a report of a newer version is valid, in seconds. Members include
# their version in every packet, several times a second. If a report isn't
# repeated for this long, the member that had the version may be gone.
REPORT_VALID_SECONDS = 5.0
# How long a starting daemon waits for the newest document before it serves
# callers anyway, in seconds. Equals the time after which it stops waiting for
# a majority.
CATCH_UP_SECONDS = 3.0


class VersionLag:
    """Compares the newest reported version with the current one."""

    def __init__(self) -> None:
        self.version = 0
        self.report_valid_until = 0.0
        self.catch_up_by = 0.0
        self.caught_up = False

    def record_report(self, version: int, now: float) -> None:
        """Record that a member has this version."""
        if version >= self.version:
            self.version = version
            self.report_valid_until = now + REPORT_VALID_SECONDS

    def is_behind(self, in_force: int, now: float) -> bool:
        """Return whether a version newer than the current one is known."""
        return self.version > in_force and now < self.report_valid_until

    def has_caught_up(self, in_force: int, now: float) -> bool:
        """Return whether the daemon has once had the newest known version.

        A daemon that has caught up once serves callers from then on.
        """
        if self.caught_up or not in_force:
            return self.caught_up
        if not self.catch_up_by:
            self.catch_up_by = now + CATCH_UP_SECONDS
        behind = self.is_behind(in_force, now)
        self.caught_up = not behind or now >= self.catch_up_by
        return self.caught_up
