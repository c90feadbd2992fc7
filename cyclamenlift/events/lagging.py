"""Whether a daemon knows that its document is not the newest.

A daemon that was told of a newer version and does not have it yet can not
say that a route does not exist: that answer is final for its caller, while
"come back soon" is served a moment later.
"""

# How long a member's word of a newer version counts, in seconds. Members
# say their version with each packet, several times a second; who is not told
# again for so long may have heard of it from one that is gone.
WORD_COUNTS_SECONDS = 5.0
# How long a daemon that has just started waits to catch up before it takes
# callers all the same, in seconds: the time after which it would do without
# a majority, too.
CATCH_UP_SECONDS = 3.0


class Lag:
    """The newest version that was heard of, against the one in force."""

    def __init__(self) -> None:
        self.version = 0
        self.word_counts_until = 0.0
        self.catch_up_by = 0.0
        self.caught_up = False

    def hear(self, version: int, now: float) -> None:
        """Note that somebody has this version."""
        if version >= self.version:
            self.version = version
            self.word_counts_until = now + WORD_COUNTS_SECONDS

    def is_behind(self, in_force: int, now: float) -> bool:
        """Tell whether a newer version than the one in force is known."""
        return self.version > in_force and now < self.word_counts_until

    def has_caught_up(self, in_force: int, now: float) -> bool:
        """Tell whether the first document here was, once, the newest known.

        A daemon that has caught up once takes callers from then on.
        """
        if self.caught_up or not in_force:
            return self.caught_up
        if not self.catch_up_by:
            self.catch_up_by = now + CATCH_UP_SECONDS
        behind = self.is_behind(in_force, now)
        self.caught_up = not behind or now >= self.catch_up_by
        return self.caught_up
