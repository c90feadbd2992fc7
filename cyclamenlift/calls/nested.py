"""The entry's view of a call that the local target is running."""

from typing import Protocol


class Parent(Protocol):
    """A call at the local gate whose target makes nested calls.

    ``repeated`` tells whether it is a try beyond the first, ``account`` which
    client account it belongs to, '' for none.
    """

    repeated: bool
    account: str

    def nested_began(self) -> None:
        """Count a nested call that the target waits for."""

    def nested_ended(self) -> None:
        """Count the end of a nested call, whatever its outcome."""
