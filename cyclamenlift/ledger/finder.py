"""Which control instance to ask next: pure state, no sockets."""

from collections.abc import Callable
from collections.abc import Collection
import random

from cyclamenlift.core.streams import Address


class LeaderFinder:
    """Remembers who led last and whom a hint may mean.

    A hint is the name of an instance; names are learned from the greetings
    of its connections. Hints are only hints: whoever is asked decides.
    """

    def __init__(self, control: list[Address], rng: random.Random):
        self.control = list(control)
        self.rng = rng
        self.names: dict[str, Address] = {}
        self.leader: Address | None = None

    def note_name(self, name: str, address: Address) -> None:
        """Remember where the instance called ``name`` is."""
        self.names[name] = address

    def note_leader(self, address: Address) -> None:
        """Remember that ``address`` answered as leader."""
        self.leader = address

    def note_control(self, address: Address, live: bool) -> None:
        """Learn of a control instance, or that one is gone.

        The last one stays: there must be somebody to ask.
        """
        if live:
            if address not in self.control:
                self.control.append(address)
        elif len(self.control) > 1:
            self.note_other(address)

    def note_other(self, address: Address) -> None:
        """Learn that an address is not one of a control instance."""
        if address in self.control:
            self.control.remove(address)
            self.note_silent(address)

    def place_of(self, hint: str) -> Address | None:
        """Return where an instance is that a hint names, if known."""
        return self.names.get(hint)

    def note_refused(self, address: Address, hinted: Address | None) -> None:
        """Forget a leader that is none, and take up its hint.

        A hint to the very instance that gave it is none.
        """
        if self.leader == address:
            self.leader = None
        if hinted is not None and hinted != address:
            self.leader = hinted

    def note_silent(self, address: Address) -> None:
        """Forget a leader that gave no answer."""
        if self.leader == address:
            self.leader = None

    def choose(
        self,
        tried: Address | None = None,
        is_established: Callable[[Address], bool] = lambda address: True,
        in_round: Collection[Address] = (),
    ) -> Address | None:
        """Return whom to ask: the last leader, else the next in the list.

        After ``tried`` comes the one behind it in the list, so that every
        instance is reached; a first question goes to any. Of those who were
        not asked ``in_round``, the ones whose connection is up come first:
        the others may be dark, also the last leader.
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
        fresh = [a for a in others if a not in in_round] or others
        return next(filter(is_established, fresh), fresh[0])
