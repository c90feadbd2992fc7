"""A document that was asked of one instance and has not come yet."""

import dataclasses

from cyclamenlift.core.streams import Address

# How long a pull may bring nothing before somebody else is asked, in
# seconds: a quarter of the 2 s in which a change has to be in force, and
# many times the way there and back (25 ms between regions).
PULL_SECONDS = 0.5
# How long it may take in all while bytes come: 125 KB need half a second on
# a link of 2 Mbit/s, and other traffic of that connection must not pass for
# a document for ever.
MOST_PULL_SECONDS = 3.0


@dataclasses.dataclass(slots=True)
class Pull:
    """Whom a version was asked of, when, and the bytes that came since.

    ``received`` counts what came over that connection when it was last
    looked at.
    """

    version: int
    address: Address
    began_at: float
    received: int
    deadline: float = 0.0

    def __post_init__(self) -> None:
        self.deadline = self.began_at + PULL_SECONDS

    def covers(self, version: int, now: float) -> bool:
        """Tell whether this pull should bring ``version`` as well."""
        return version <= self.version and now < self.deadline

    def goes_on(self, received: int, now: float) -> bool:
        """Tell whether to wait on, since bytes came after the last look."""
        moved = received > self.received
        self.received = received
        if not moved or now >= self.began_at + MOST_PULL_SECONDS:
            return False
        self.deadline = now + PULL_SECONDS
        return True
