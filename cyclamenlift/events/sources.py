"""Whom a version can be had from, and who was asked for it already.

Those that named it last come first: they had power a moment ago, and the
older a name is, the likelier its member is gone. A control instance comes
next if its connection is up.
"""

from collections.abc import Callable
import random

from cyclamenlift.core.streams import Address

# Members that are remembered for a version: as many as are told at once by
# one that has it.
MOST_NAMED = 8


class Sources:
    """Who named a version, the newest last, and who was asked for it.

    Each address is chosen once until ``begin_anew``, so that connections
    which fail at once can not lead from one to the other for ever.
    """

    def __init__(self) -> None:
        self.named: dict[Address, None] = {}
        self.tried: set[Address] = set()

    def name(self, address: Address) -> None:
        """Note that a member has the version."""
        self.named.pop(address, None)
        self.named[address] = None
        if len(self.named) > MOST_NAMED:
            del self.named[next(iter(self.named))]

    def begin_anew(self, last: Address) -> None:
        """Let all be chosen again but the one that was asked last."""
        self.tried = {last}

    def next_named(self) -> Address | None:
        """Return the last that named it and was not tried."""
        for address in reversed(self.named):
            if address not in self.tried:
                return address
        return None

    def next_control(
        self,
        control: list[Address],
        is_established: Callable[[Address], bool],
        rng: random.Random,
    ) -> Address | None:
        """Return a control instance not tried, whose connection is up."""
        fresh = [
            a for a in control if a not in self.tried and is_established(a)
        ]
        return rng.choice(fresh) if fresh else None
