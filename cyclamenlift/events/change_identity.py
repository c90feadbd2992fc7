"""The identity of a change of the document."""

import dataclasses

# Number of characters of a change id in log lines.
LOGGED_ID_LENGTH = 12


@dataclasses.dataclass(frozen=True, slots=True)
class Change:
    """The identity of a change, without its document.

    ``chosen_version`` 0 assigns the next version number.
    """

    change_id: str
    base_version: int
    operator_name: str = ''
    chosen_version: int = 0

    @property
    def short_id(self) -> str:
        """The prefix of the id that log lines show."""
        return self.change_id[:LOGGED_ID_LENGTH]
