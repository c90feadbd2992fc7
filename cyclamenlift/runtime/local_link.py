"""In-process link between the entry and the gate of one daemon."""

from collections.abc import Callable

# Placeholder for the encoded frame, which a local message does not need.
NO_FRAME = b'none'


class LocalLink:
    """One end of a pair; ``send`` calls the receiver at once.

    Implements the part of ``wire.Link`` that calls and gate use.
    """

    was_established = True
    # A local link exchanges no Hello message.
    hello = None
    closed = False
    pending = 0

    def __init__(self, number: int, outgoing: bool):
        self.number = number
        self.outgoing = outgoing
        self.other: 'LocalLink | None' = None
        self.receivers: dict[type, Callable[[object, object], None]] = {}

    def send(self, message) -> bool:
        other = self.other
        receiver = other.receivers[type(message)]
        receiver(other, message)
        return True

    def post(self, message) -> bytes:
        """Send a message; it is delivered before this returns."""
        self.send(message)
        return NO_FRAME

    def is_unsent(self, _frame: bytes) -> bool:
        return False

    def withdraw(self, _frame: bytes) -> bool:
        return False

    # -- subscription interface of PeerNetwork ----------------------------

    def subscribe(self, kind: type, receiver) -> None:
        self.receivers[kind] = receiver

    def subscribe_lost(self, _hook) -> None:
        """Do nothing: a local link ends only with its process."""


def local_link_pair(numbers) -> tuple[LocalLink, LocalLink]:
    """Return the entry's end and the gate's end of a new local link."""
    entry = LocalLink(next(numbers), outgoing=True)
    gate = LocalLink(next(numbers), outgoing=False)
    entry.other = gate
    gate.other = entry
    return entry, gate
