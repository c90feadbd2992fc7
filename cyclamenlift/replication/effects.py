"""Effects: side effects requested by the protocol logic, in order."""

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
    """Persist the current term and the vote in it."""

    ticket: int
    term: int
    voted_for: str


@dataclasses.dataclass(frozen=True, slots=True)
class PersistEntries:
    """Persist entries, overwriting the log from the first one's index on."""

    ticket: int
    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class PersistSnapshot:
    """Persist a snapshot; with ``keep_log`` later log entries are kept."""

    ticket: int
    snapshot: Snapshot
    keep_log: bool


@dataclasses.dataclass(frozen=True, slots=True)
class Apply:
    """Apply these committed entries to the state machine."""

    entries: tuple[LogEntry, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class TakeSnapshot:
    """Take a snapshot of the state machine, which has applied ``index``."""

    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class RestoreMachine:
    """Restore the state machine from a snapshot."""

    snapshot: Snapshot


@dataclasses.dataclass(frozen=True, slots=True)
class ReadReady:
    """A read is confirmed: the state applied up to ``index`` is current."""

    token: int
    index: int


@dataclasses.dataclass(frozen=True, slots=True)
class LeadershipLost:
    """The replica is no longer leader: fail all pending operations."""


Persist = PersistTerm | PersistEntries | PersistSnapshot


class Outbox:
    """Collects effects and delays messages that require a sync first.

    Each write has a ticket. Writes are made in ticket order, so a synced
    ticket implies that all earlier ones are synced.
    """

    def __init__(self):
        self.effects: list = []
        self.last_ticket = 0
        self.synced_ticket = 0
        self.delayed: deque[tuple[int, Send]] = deque()

    @property
    def is_synced(self) -> bool:
        """Return whether no write is pending."""
        return self.synced_ticket == self.last_ticket

    def next_ticket(self) -> int:
        self.last_ticket += 1
        return self.last_ticket

    def add(self, effect) -> None:
        self.effects.append(effect)

    def send(self, to: str, message) -> None:
        """Send without waiting for a sync."""
        self.effects.append(Send(to, message))

    def send_synced(self, to: str, message) -> None:
        """Send after all writes issued so far are synced."""
        if self.is_synced:
            self.send(to, message)
            return
        self.delayed.append((self.last_ticket, Send(to, message)))

    def synced(self, ticket: int) -> None:
        """Send the messages that waited for writes up to ``ticket``."""
        self.synced_ticket = max(self.synced_ticket, ticket)
        while self.delayed and self.delayed[0][0] <= self.synced_ticket:
            self.effects.append(self.delayed.popleft()[1])

    def take(self) -> list:
        """Return and clear the collected effects."""
        effects = self.effects
        self.effects = []
        return effects
