"""What a leader keeps: how far each instance is, rounds and reads."""

import dataclasses

from cyclamenlift.replication.snapshots import Snapshot


@dataclasses.dataclass(slots=True)
class Transfer:
    """A snapshot under way to one instance."""

    snapshot: Snapshot
    payload: bytes = dataclasses.field(repr=False)
    offset: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """How far one instance is, by its own answers.

    ``retry_at`` is the deadline of what is in flight, None if nothing is.
    While ``probing`` it gets heartbeats only, until it answers.
    ``contact_at`` is when the newest round that it answered was started.
    """

    storage_id: str = ''
    match_index: int = 0
    next_index: int = 1
    retry_at: float | None = None
    probing: bool = False
    acked_round: int = 0
    contact_at: float = 0.0
    transfer: Transfer | None = None

    @property
    def is_ready(self) -> bool:
        """Tell whether it may be sent entries or a chunk now."""
        return self.retry_at is None and not self.probing

    def heard_from(self, storage_id: str, next_index: int) -> None:
        """Start anew when another storage answers under the name."""
        if storage_id == self.storage_id:
            return
        self.storage_id = storage_id
        self.match_index = 0
        self.next_index = next_index
        self.retry_at = None
        self.probing = False
        self.acked_round = 0
        self.transfer = None

    def accepted(self, match_index: int) -> None:
        """Note what it has synced."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        transfer = self.transfer
        if transfer and self.match_index >= transfer.snapshot.index:
            self.transfer = None
        if self.probing or self.match_index >= self.next_index - 1:
            self.retry_at = None
        self.probing = False

    def rejected(self, hint_index: int) -> None:
        """Go back to where the logs may agree."""
        if self.transfer is None and hint_index + 1 < self.next_index:
            self.next_index = max(self.match_index, hint_index) + 1
            self.retry_at = None
        self.probing = False

    def probe(self) -> None:
        """Go back to what is known, since an answer is overdue."""
        self.next_index = self.match_index + 1
        self.retry_at = None
        self.probing = True

    def sends(self, last_index: int) -> bool:
        """Tell whether the snapshot at ``last_index`` is under way."""
        transfer = self.transfer
        return transfer is not None and transfer.snapshot.index == last_index


@dataclasses.dataclass(slots=True)
class Read:
    """A read that waits; ``round_id`` 0 until a round started after it."""

    token: int
    round_id: int = 0


@dataclasses.dataclass(slots=True)
class Leadership:
    """State of a leader in one term.

    ``start_index`` is its first own entry: once that is committed, all
    entries of earlier terms are known to be.
    """

    start_index: int
    progress: dict[str, Progress]
    heartbeat_at: float
    round_id: int = 0
    round_started: dict[int, float] = dataclasses.field(default_factory=dict)
    reads: list[Read] = dataclasses.field(default_factory=list)

    def open_round(self, now: float, kept: float) -> None:
        """Number a new round; the reads asked so far wait for it.

        Starts of rounds are kept for ``2 * kept`` seconds.
        """
        self.round_id += 1
        oldest = now - 2 * kept
        for old in [r for r, at in self.round_started.items() if at < oldest]:
            del self.round_started[old]
        self.round_started[self.round_id] = now
        for read in self.reads:
            read.round_id = read.round_id or self.round_id

    def follow_peers(self, peers: tuple[str, ...], next_index: int) -> None:
        """Keep progress for just these instances."""
        for peer in peers:
            if peer not in self.progress:
                self.progress[peer] = Progress(next_index=next_index)
        for name in set(self.progress) - set(peers):
            del self.progress[name]

    def note_answer(self, progress: Progress, round_id: int) -> None:
        """Note that an instance answered a round.

        The contact dates from the start of that round: an answer that lay
        in a buffer while this process was frozen is no fresh contact.
        """
        progress.acked_round = max(progress.acked_round, round_id)
        started = self.round_started.get(round_id, progress.contact_at)
        progress.contact_at = max(progress.contact_at, started)
