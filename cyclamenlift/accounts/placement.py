"""Which daemon is the home of an account: rendezvous hashing.

Thaler and Ravishankar, A Name-Based Mapping Scheme for Rendezvous (1996). All
daemons that know the same members find the same homes, and a member that
comes or goes moves only the accounts that it has. Accounts are grouped, so
that an entry that serves thousands reports to a few homes.
"""

import dataclasses

import xxhash

from cyclamenlift.core.streams import Address

# Groups of accounts that have a home in common, in each data centre.
GROUPS = 8


@dataclasses.dataclass(frozen=True, slots=True)
class Daemon:
    """A live daemon that may be the home of accounts."""

    instance: str
    data_centre: str
    address: Address


class Placement:
    """Finds the homes of accounts among the live daemons."""

    def __init__(self) -> None:
        self.daemons: dict[str, Daemon] = {}
        self.found: dict[tuple[int, str], Daemon | None] = {}

    def add(self, daemon: Daemon) -> bool:
        """Add a daemon, or replace what is known of it; tell if it is new."""
        known = self.daemons.get(daemon.instance)
        if known != daemon:
            self.daemons[daemon.instance] = daemon
            self.found.clear()
        return known is None

    def remove(self, instance: str) -> bool:
        """Remove a daemon; tell whether it was there."""
        if self.daemons.pop(instance, None) is None:
            return False
        self.found.clear()
        return True

    def home(self, account: str, data_centre: str) -> Daemon | None:
        """Return the home of an account in a data centre, None if empty."""
        group = group_of(account)
        key = (group, data_centre)
        if key not in self.found:
            self.found[key] = max(
                self.in_data_centre(data_centre),
                key=lambda daemon: weight(group, daemon.instance),
                default=None,
            )
        return self.found[key]

    def in_data_centre(self, data_centre: str) -> list[Daemon]:
        return [
            daemon
            for daemon in self.daemons.values()
            if daemon.data_centre == data_centre
        ]

    def data_centres(self) -> frozenset[str]:
        return frozenset(d.data_centre for d in self.daemons.values())


def group_of(account: str) -> int:
    """Return the group of an account, the same on every instance."""
    return xxhash.xxh64_intdigest(account.encode()) % GROUPS


def weight(group: int, instance: str) -> int:
    """Return the weight of an instance for a group of accounts."""
    return xxhash.xxh64_intdigest(f'{group}\n{instance}'.encode())
