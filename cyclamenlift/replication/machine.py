"""What the replicated log drives."""

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic machine: the same commands give the same state.

    It is called on the event loop's own thread, once for each committed
    command in the order of the log. It must not look at clocks, random
    numbers or the network: ``stamp_unix_ms`` is the only time it has. An
    exception from it halts the replica, so wrong commands are answered.
    """

    def apply(self, index: int, stamp_unix_ms: int, command: bytes) -> bytes:
        """Run one committed command and return its answer."""

    def snapshot(self) -> bytes:
        """Return the whole state."""

    def restore(self, data: bytes) -> None:
        """Replace the whole state with what ``snapshot`` returned."""
