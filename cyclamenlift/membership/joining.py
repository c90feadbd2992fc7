"""How an instance that has just started gets to know the others.

The load that this answers: all instances start at once and each asks one of
the few addresses that it was told. Where nobody listens there yet the
question is lost, and where somebody does, he knows only those who asked him
before. With one question a period it took up to 3.3 s after a loss of power
until daemons knew the targets of each service, in which they refused 30 to
120 calls in each fifth of a second. With further questions soon after the
first all know each other 0.5 s after the last of them has started.
"""

# When an instance asks again after its start, in seconds. The gaps double,
# so that the last question comes when the usual periods have taken over.
JOIN_STEPS = (0.05, 0.1, 0.2, 0.3, 0.5, 0.8, 1.3, 2.0)
# How long after its start an instance tells those that it gets to know of
# itself, in seconds, how often at most, and how many of them each time. So
# all know it at once where they are a dozen or two; in a large fleet the
# records that ride on other packets do the rest, and 64 packets of 200
# bytes are two and a half seconds of what an instance may send.
INTRODUCE_SECONDS = 3.0
MOST_INTRODUCTIONS = 4
INTRODUCE_FANOUT = 16


class Introductions:
    """Whether this instance should tell others that it is there."""

    def __init__(self, now: float) -> None:
        self.deadline = now + INTRODUCE_SECONDS
        self.left = MOST_INTRODUCTIONS

    def take(self, now: float) -> bool:
        """Use one up, if there is one left and time for it."""
        if not self.left or now > self.deadline:
            return False
        self.left -= 1
        return True
