"""Interface of the state machine that the replicated log drives."""

from typing import Protocol


class StateMachine(Protocol):
    """A deterministic state machine: equal commands give equal state.

    It is called on the event loop thread, once for each committed command
    in log order. It must not use clocks, random numbers or the network:
    ``stamp_unix_ms`` is its only source of time. An exception halts the
    replica, so invalid commands must be answered instead of raised.
    """

    def apply(self, index: int, stamp_unix_ms: int, command: bytes) -> bytes:
        """Apply a committed command and return its answer."""

    def snapshot(self) -> bytes:
        """Return the serialized state."""

    def restore(self, data: bytes) -> None:
        """Replace the state with one that ``snapshot`` returned."""
