"""Timing of the join requests and introductions of a new instance.

When all instances start at once, each asks one of the few seeds that it is
configured with. A request to a seed that doesn't listen yet is lost, and a
seed that does listen knows only the instances that asked it before. With one
request a period it took up to 3.3 s after a power failure until daemons knew
the targets of each service, and meanwhile they rejected 30 to 120 calls in
each fifth of a second. With additional requests soon after the first, all
instances know each other 0.5 s after the last one has started.
"""

# When an instance repeats its join requests after its start, in seconds. The
# intervals grow until the regular periods take over.
JOIN_STEPS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2.0)
# How long after its start an instance announces itself to members that it
# discovers, in seconds, how often at most, and to how many each time. One or
# two dozen members thus learn of it at once. In a large fleet piggybacked
# records reach the others; 64 packets of 200 bytes are two and a half seconds
# of an instance's send budget.
INTRODUCE_SECONDS = 3.0
MAX_INTRODUCTIONS = 4
INTRODUCE_FANOUT = 16


class Introductions:
    """Limits how often a new instance announces itself."""

    def __init__(self, now: float) -> None:
        self.deadline = now + INTRODUCE_SECONDS
        self.left = MAX_INTRODUCTIONS

    def take(self, now: float) -> bool:
        """Consume one introduction; return False if none may be sent."""
        if not self.left or now > self.deadline:
            return False
        self.left -= 1
        return True
