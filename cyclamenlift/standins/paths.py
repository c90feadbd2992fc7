"""Addresses at which the processes of a fleet reach each other."""

import dataclasses
from typing import Protocol

from cyclamenlift.core.streams import Address
from cyclamenlift.standins.relay import Direction
from cyclamenlift.standins.relay import RelayThread
from cyclamenlift.standins.relay import TcpRelay
from cyclamenlift.standins.relay import UdpRelay

ANY_SOURCE = '*'
BOTH = tuple(Direction)


@dataclasses.dataclass(frozen=True, slots=True)
class Partition:
    """A partition of ``names`` from ``others`` (None: all the rest)."""

    names: frozenset[str]
    others: frozenset[str] | None

    def separates(self, source: str, target: str) -> bool:
        """Tell whether ``source`` is in ``names`` and ``target`` cut off."""
        if source not in self.names:
            return False
        if self.others is None:
            return target not in self.names
        return target in self.others


class Paths(Protocol):
    """Returns the address at which ``source`` reaches ``target``.

    Daemons learn each other's addresses by gossip, so all of them use the
    path whose source is ``ANYBODY``.
    """

    def tcp(self, source: str, target: str, address: str) -> str:
        """Return the address to which ``source`` connects for ``address``."""

    def udp(self, target: str, address: str) -> str:
        """Return the address to which others send gossip for ``address``."""


class DirectPaths:
    """Direct paths: every process uses the address itself."""

    def tcp(self, source: str, target: str, address: str) -> str:
        return address

    def udp(self, target: str, address: str) -> str:
        return address


class RelayPaths:
    """Relayed paths, each of which can be cut silently.

    Gossip is cut by sender and receiver. The TCP path to a daemon is shared
    by all other daemons, so it can only be cut for all of them at once.
    """

    def __init__(self, host: str):
        self.host = host
        self.loop = RelayThread()
        self.streams: dict[tuple[str, str], TcpRelay] = {}
        self.datagrams: dict[str, UdpRelay] = {}
        self.partitions: list[Partition] = []

    # -- addresses ----------------------------------------------------------

    def tcp(self, source: str, target: str, address: str) -> str:
        path = TcpRelay(Address.parse(address))
        relay_address = self.loop.open(path, self.host)
        self.streams[source, target] = path
        self.apply_partitions()
        return str(relay_address)

    def udp(self, target: str, address: str) -> str:
        path = UdpRelay(Address.parse(address))
        relay_address = self.loop.open(path, self.host)
        self.datagrams[target] = path
        self.apply_partitions()
        return str(relay_address)

    # -- partitions ---------------------------------------------------------

    def isolate(
        self, *names: str, others: set[str] | None = None
    ) -> Partition:
        """Cut ``names`` off from ``others``, by default from all the rest."""
        other_names = None if others is None else frozenset(others)
        partition = Partition(frozenset(names), other_names)
        self.partitions.append(partition)
        self.apply_partitions()
        return partition

    def heal(self, partition: Partition | None = None) -> None:
        """Remove one partition, or all of them by default."""
        if partition is None:
            self.partitions.clear()
        else:
            self.partitions.remove(partition)
        self.apply_partitions()

    def is_partitioned(self, one: str, two: str) -> bool:
        """Tell whether a partition separates two names."""
        return any(
            partition.separates(one, two) or partition.separates(two, one)
            for partition in self.partitions
        )

    def cut_stream(
        self, source: str, target: str, directions=BOTH, is_cut: bool = True
    ) -> None:
        """Cut or heal directions of one path, until partitions change."""
        path = self.streams[source, target]
        for direction in directions:
            self.loop.run(path.set_cut, direction, is_cut)

    def apply_partitions(self) -> None:
        """Apply the partitions to every path."""
        self.loop.run(self.apply_in_loop)

    def apply_in_loop(self) -> None:
        for (source, target), path in self.streams.items():
            is_cut = self.is_partitioned(source, target)
            for direction in BOTH:
                path.set_cut(direction, is_cut)
        for target, path in self.datagrams.items():
            path.blocked = frozenset(
                other.upstream
                for name, other in self.datagrams.items()
                if self.is_partitioned(name, target)
            )

    def close(self) -> None:
        """Close every path and stop the thread."""
        for path in (*self.streams.values(), *self.datagrams.values()):
            self.loop.run(path.close)
        self.loop.stop()
