"""What an entry sees of a call that the local target runs."""

from typing import Protocol


class Parent(Protocol):
    """A call at the local gate whose target makes calls of its own.

    ``repeated`` tells whether it is a try beyond the first.
    """

    repeated: bool

    def nested_began(self) -> None:
        """Note that the target waits for one more call."""

    def nested_ended(self) -> None:
        """Note that one of these is over, however it ended."""
