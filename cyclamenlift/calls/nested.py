"""The entry's view of a call that the local target is running."""

from typing import Protocol


class Parent(Protocol):
    """A call at the local gate whose target makes nested calls.

    ``repeated`` tells whether it is a try beyond the first.
    """

    repeated: bool

    def nested_began(self) -> None:
        """Count a nested call that the target waits for."""

    def nested_ended(self) -> None:
        """Count the end of a nested call, whatever its outcome."""
