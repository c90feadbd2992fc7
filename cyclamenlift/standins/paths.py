"""Which address each process of a fleet is told for each other one."""

import dataclasses
from typing import Protocol

from cyclamenlift.core.streams import Address
from cyclamenlift.standins.relay import Direction
from cyclamenlift.standins.relay import RelayLoop
from cyclamenlift.standins.relay import TcpPath
from cyclamenlift.standins.relay import UdpPath

ANYBODY = '*'
BOTH = tuple(Direction)


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """``names`` are cut off from ``others``, None for all the rest."""

    names: frozenset[str]
    others: frozenset[str] | None

    def lies_between(self, here: str, there: str) -> bool:
        """Tell whether ``here`` is among the names and ``there`` beyond."""
        if here not in self.names:
            return False
        if self.others is None:
            return there not in self.names
        return there in self.others


class Paths(Protocol):
    """Gives the address under which ``source`` reaches ``target``.

    Daemons learn each other's addresses by gossip, so every one of them
    uses the path whose source is ``ANYBODY``.
    """

    def tcp(self, source: str, target: str, address: str) -> str:
        """Return where ``source`` connects to reach ``address``."""

    def udp(self, target: str, address: str) -> str:
        """Return where others send gossip for ``address``."""


class DirectPaths:
    """Everybody is told the address itself."""

    def tcp(self, source: str, target: str, address: str) -> str:
        return address

    def udp(self, target: str, address: str) -> str:
        return address


class RelayPaths:
    """A relay for every path, so that any of them can be cut silently.

    Gossip is cut by sender and receiver. A TCP path between daemons serves
    all of them, so it can only be cut for everybody at once.
    """

    def __init__(self, host: str):
        self.host = host
        self.loop = RelayLoop()
        self.streams: dict[tuple[str, str], TcpPath] = {}
        self.datagrams: dict[str, UdpPath] = {}
        self.cuts: list[Cut] = []

    # -- addresses ----------------------------------------------------------

    def tcp(self, source: str, target: str, address: str) -> str:
        path = TcpPath(Address.parse(address))
        found = self.loop.open(path, self.host)
        self.streams[source, target] = path
        self.apply()
        return str(found)

    def udp(self, target: str, address: str) -> str:
        path = UdpPath(Address.parse(address))
        found = self.loop.open(path, self.host)
        self.datagrams[target] = path
        self.apply()
        return str(found)

    # -- cuts ---------------------------------------------------------------

    def separate(self, *names: str, others: set[str] | None = None) -> Cut:
        """Cut ``names`` off from ``others``, by default from all the rest."""
        rest = None if others is None else frozenset(others)
        cut = Cut(frozenset(names), rest)
        self.cuts.append(cut)
        self.apply()
        return cut

    def heal(self, cut: Cut | None = None) -> None:
        """Take one cut back, or let everything pass again."""
        if cut is None:
            self.cuts.clear()
        else:
            self.cuts.remove(cut)
        self.apply()

    def is_apart(self, one: str, two: str) -> bool:
        """Tell whether a cut lies between two names."""
        return any(
            cut.lies_between(one, two) or cut.lies_between(two, one)
            for cut in self.cuts
        )

    def cut_stream(
        self, source: str, target: str, directions=BOTH, is_cut: bool = True
    ) -> None:
        """Cut or heal directions of one path, until the next change."""
        path = self.streams[source, target]
        for direction in directions:
            self.loop.run(path.set_lane, direction, is_cut)

    def apply(self) -> None:
        """Bring every path in line with the cuts."""
        self.loop.run(self.apply_in_loop)

    def apply_in_loop(self) -> None:
        for (source, target), path in self.streams.items():
            cut = self.is_apart(source, target)
            for direction in BOTH:
                path.set_lane(direction, cut)
        for target, path in self.datagrams.items():
            path.blocked = frozenset(
                other.upstream
                for name, other in self.datagrams.items()
                if self.is_apart(name, target)
            )

    def close(self) -> None:
        """Close every path and end the thread."""
        for path in (*self.streams.values(), *self.datagrams.values()):
            self.loop.run(path.close)
        self.loop.stop()
