"""Selection of the control instance to ask next; performs no I/O."""

from collections.abc import Callable
from collections.abc import Collection
import random

from cyclamenlift.core.streams import Address


class LeaderFinder:
    """Tracks the last known leader and the addresses of instances.

    A leader hint is an instance name; names are learned from the hello
    messages of connections. Hints may be outdated: the instance that is
    asked decides whether it is the leader.
    """

    def __init__(self, control: list[Address], rng: random.Random):
        self.control = list(control)
        self.rng = rng
        self.names: dict[str, Address] = {}
        self.leader: Address | None = None

    def record_address(self, name: str, address: Address) -> None:
        """Record the address of the instance called ``name``."""
        self.names[name] = address

    def note_leader(self, address: Address) -> None:
        """Record that ``address`` answered as leader."""
        self.leader = address

    def update_control_address(self, address: Address, live: bool) -> None:
        """Add or remove a control instance.

        The last one is kept, so that there is always one to ask.
        """
        if live:
            if address not in self.control:
                self.control.append(address)
        elif len(self.control) > 1:
            self.remove_control_address(address)

    def remove_control_address(self, address: Address) -> None:
        """Remove an address that is not one of a control instance."""
        if address in self.control:
            self.control.remove(address)
            self.note_unresponsive(address)

    def address_by_name(self, hint: str) -> Address | None:
        """Return the address of the hinted instance, None if unknown."""
        return self.names.get(hint)

    def note_not_leader(
        self, address: Address, hinted: Address | None
    ) -> None:
        """Drop an instance that is not the leader and use its hint.

        A hint of an instance to itself is ignored.
        """
        if self.leader == address:
            self.leader = None
        if hinted is not None and hinted != address:
            self.leader = hinted

    def note_unresponsive(self, address: Address) -> None:
        """Drop a leader that did not answer."""
        if self.leader == address:
            self.leader = None

    def choose(
        self,
        tried: Address | None = None,
        is_established: Callable[[Address], bool] = lambda address: True,
        asked_in_round: Collection[Address] = (),
    ) -> Address | None:
        """Return the instance to ask: the last leader, else the next one.

        After ``tried`` comes the next one in the list, so that every
        instance is reached; the first attempt starts at a random one. Among
        those not in ``asked_in_round``, instances with an open connection
        come first: the others, also the last leader, may be unreachable.
        """
        if self.leader not in (None, tried):
            if is_established(self.leader) or not any(
                map(is_established, self.control)
            ):
                return self.leader
        if not self.control:
            return None
        if tried in self.control:
            index = self.control.index(tried) + 1
        else:
            index = self.rng.randrange(len(self.control))
        in_turn = self.control[index:] + self.control[:index]
        others = [a for a in in_turn if a != tried] or in_turn
        candidates = [a for a in others if a not in asked_in_round] or others
        return next(filter(is_established, candidates), candidates[0])
