"""The link between entry and gate of one process: no socket in between."""

from collections.abc import Callable

# Stands for the frame of a message that needed none.
NO_FRAME = b'none'


class LocalLink:
    """One direction of a pair; ``send`` calls the other end at once.

    It offers what calls and gate use of ``wire.Link``.
    """

    was_established = True
    # Nobody greets on a link inside one process.
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
        """Send a message, which is there at once."""
        self.send(message)
        return NO_FRAME

    def is_unsent(self, _frame: bytes) -> bool:
        return False

    def withdraw(self, _frame: bytes) -> bool:
        return False

    # -- what a PeerNetwork offers to those who subscribe -----------------

    def subscribe(self, kind: type, receiver) -> None:
        self.receivers[kind] = receiver

    def subscribe_lost(self, _hook) -> None:
        """Take no notice: a local link is lost only with its process."""


def local_pair(numbers) -> tuple[LocalLink, LocalLink]:
    """Return the entry's and the gate's end of a local link."""
    entry = LocalLink(next(numbers), outgoing=True)
    gate = LocalLink(next(numbers), outgoing=False)
    entry.other = gate
    gate.other = entry
    return entry, gate
