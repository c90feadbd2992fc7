"""Tracks the sources of a version and which of them were tried.

The peers that announced it most recently come first: they were running a
moment ago, and the older an announcement, the likelier its peer is gone. Next
comes a control instance whose connection is up.
"""

from collections.abc import Callable
import random

from cyclamenlift.core.streams import Address

# Number of peers remembered for a version: as many as one peer that has it
# notifies at once.
MAX_ANNOUNCERS = 8


class DocumentSources:
    """The peers that announced a version, newest last, and those tried.

    Each address is chosen once until ``reset``, so that connections that
    fail immediately can't cause an endless loop.
    """

    def __init__(self) -> None:
        self.announcers: dict[Address, None] = {}
        self.tried: set[Address] = set()

    def add(self, address: Address) -> None:
        """Record that a peer has the version."""
        self.announcers.pop(address, None)
        self.announcers[address] = None
        if len(self.announcers) > MAX_ANNOUNCERS:
            del self.announcers[next(iter(self.announcers))]

    def reset(self, last: Address) -> None:
        """Make all sources available again except the last one."""
        self.tried = {last}

    def next_announcer(self) -> Address | None:
        """Return the untried peer with the most recent announcement."""
        for address in reversed(self.announcers):
            if address not in self.tried:
                return address
        return None

    def next_control(
        self,
        control: list[Address],
        is_established: Callable[[Address], bool],
        rng: random.Random,
    ) -> Address | None:
        """Return an untried control instance whose connection is up."""
        fresh = [
            a for a in control if a not in self.tried and is_established(a)
        ]
        return rng.choice(fresh) if fresh else None
