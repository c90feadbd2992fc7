"""Which control instance to ask next: pure state, no sockets."""

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

    def note_refused(self, address: Address, hint: str) -> Address | None:
        """Forget a leader that is none; return where the hint points.

        None when there is no hint, or it names the one that gave it or an
        instance whose address is not known.
        """
        if self.leader == address:
            self.leader = None
        hinted = self.names.get(hint)
        if hinted is None or hinted == address:
            return None
        self.leader = hinted
        return hinted

    def note_silent(self, address: Address) -> None:
        """Forget a leader that gave no answer."""
        if self.leader == address:
            self.leader = None

    def choose(self, tried: Address | None = None) -> Address | None:
        """Return whom to ask: the last leader, else the next in the list.

        After ``tried`` comes the one behind it in the list, so that every
        instance is reached; a first question goes to any.
        """
        if not self.control:
            return None
        if self.leader is not None and self.leader != tried:
            return self.leader
        if tried not in self.control:
            return self.rng.choice(self.control)
        index = self.control.index(tried)
        return self.control[(index + 1) % len(self.control)]
