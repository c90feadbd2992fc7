"""What the decisions ask for, in the order it must be done."""

from collections import deque
import dataclasses

from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry


@dataclasses.dataclass(frozen=True, slots=True)
class Send:
    """Send one message to the instance ``to``."""

    to: str
    message: object


@dataclasses.dataclass(frozen=True, slots=True)
class PersistTerm:
    """Write the term and the vote in it."""

    ticket: int
    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, slots=True)
class PersistEntries:
    """Write entries; the first one cuts what stood from its index on."""

    ticket: int
    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Write a snapshot; ``keep_log`` says that later entries stay."""

    ticket: int
    snapshot: Snapshot
    keep_log: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Run these committed entries on the machine."""

    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Ask the machine for its state, which stands at ``index``."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreMachine:
    """Replace the machine's state with that of a snapshot."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """A read was confirmed; what is applied up to ``index`` is current."""

    token: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The replica stopped leading: fail what is waiting."""


Persist = PersistTerm | PersistEntries | PersistSnapshot


class Outbox:
    """Collects effects and holds back messages that must wait for a sync.

    Each write has a ticket; writes are made in the order of their tickets,
    so one synced ticket vouches for all before it.
    """

    def __init__(self):
        self.effects: list = []
        self.last_ticket = 0
        self.synced_ticket = 0
        self.held: deque[tuple[int, Send]] = deque()

    @property
    def is_synced(self) -> bool:
        """Tell whether no write is under way."""
        return self.synced_ticket == self.last_ticket

    def next_ticket(self) -> int:
        self.last_ticket += 1
        return self.last_ticket

    def add(self, effect) -> None:
        self.effects.append(effect)

    def send(self, to: str, message) -> None:
        """Send at once."""
        self.effects.append(Send(to, message))

    def send_synced(self, to: str, message) -> None:
        """Send once everything written so far is synced."""
        if self.is_synced:
            self.send(to, message)
            return
        self.held.append((self.last_ticket, Send(to, message)))

    def synced(self, ticket: int) -> None:
        """Release what waited for ``ticket``."""
        self.synced_ticket = max(self.synced_ticket, ticket)
        while self.held and self.held[0][0] <= self.synced_ticket:
            self.effects.append(self.held.popleft()[1])

    def take(self) -> list:
        """Return the effects collected so far and forget them."""
        effects = self.effects
        self.effects = []
        return effects
