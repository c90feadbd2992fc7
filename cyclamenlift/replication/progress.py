"""Leader state: replication progress, heartbeat rounds, pending reads."""

import dataclasses

from cyclamenlift.replication.snapshots import Snapshot


@dataclasses.dataclass(slots=True)
class Transfer:
    """A snapshot transfer to one instance."""

    snapshot: Snapshot
    payload: bytes = dataclasses.field(repr=False)
    offset: int = 0


@dataclasses.dataclass(slots=True)
class Progress:
    """Replication progress of one instance, according to its answers.

    ``retry_at`` is the answer deadline of the request in flight, None
    without one. While ``probing``, only heartbeats are sent until the
    instance answers. ``contact_at`` is the start of the newest round that
    it answered.
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
        """Return whether entries or a snapshot chunk may be sent now."""
        return self.retry_at is None and not self.probing

    def is_reachable(self, now: float, election: float) -> bool:
        """Return whether the instance answered within ``election`` s."""
        return now - self.contact_at < election

    def reset_on_new_storage(self, storage_id: str, next_index: int) -> None:
        """Reset the progress if the instance has a different storage."""
        if storage_id == self.storage_id:
            return
        self.storage_id = storage_id
        self.match_index = 0
        self.next_index = next_index
        self.retry_at = None
        self.probing = False
        self.acked_round = 0
        self.transfer = None

    def record_accepted(self, match_index: int) -> None:
        """Record that the instance has synced up to ``match_index``."""
        self.match_index = max(self.match_index, match_index)
        self.next_index = max(self.next_index, self.match_index + 1)
        transfer = self.transfer
        if transfer and self.match_index >= transfer.snapshot.index:
            self.transfer = None
        if self.probing or self.match_index >= self.next_index - 1:
            self.retry_at = None
        self.probing = False

    def record_rejected(self, hint_index: int) -> None:
        """Move back to the last index where the logs may match."""
        if self.transfer is None and hint_index + 1 < self.next_index:
            self.next_index = max(self.match_index, hint_index) + 1
            self.retry_at = None
        self.probing = False

    def start_probing(self) -> None:
        """Move back to the acknowledged index after a missed answer."""
        self.next_index = self.match_index + 1
        self.retry_at = None
        self.probing = True

    def is_sending(self, last_index: int) -> bool:
        """Return whether the snapshot at ``last_index`` is being sent."""
        transfer = self.transfer
        return transfer is not None and transfer.snapshot.index == last_index


@dataclasses.dataclass(slots=True)
class Read:
    """A pending read; ``round_id`` is 0 until a later round has started."""

    token: int
    round_id: int = 0


@dataclasses.dataclass(slots=True)
class Leadership:
    """State of a leader in one term.

    ``start_index`` is its first own entry. Once that is committed, all
    entries of earlier terms are committed as well. Until
    ``voters_deadline`` commands may wait for further voters.
    """

    start_index: int
    progress: dict[str, Progress]
    heartbeat_at: float
    voters_deadline: float = 0.0
    round_id: int = 0
    round_started: dict[int, float] = dataclasses.field(default_factory=dict)
    reads: list[Read] = dataclasses.field(default_factory=list)

    def open_round(self, now: float, retention: float) -> None:
        """Start a new round and assign it to reads that have none.

        Start times of rounds are kept for ``2 * retention`` seconds.
        """
        self.round_id += 1
        oldest = now - 2 * retention
        for old in [r for r, at in self.round_started.items() if at < oldest]:
            del self.round_started[old]
        self.round_started[self.round_id] = now
        for read in self.reads:
            read.round_id = read.round_id or self.round_id

    def track_peers(self, peers: tuple[str, ...], next_index: int) -> None:
        """Track progress of exactly these instances."""
        for peer in peers:
            if peer not in self.progress:
                self.progress[peer] = Progress(next_index=next_index)
        for name in set(self.progress) - set(peers):
            del self.progress[name]

    def record_answer(self, progress: Progress, round_id: int) -> None:
        """Record that an instance answered a round.

        The contact time is the start of that round: an answer that was
        buffered while this process was frozen does not prove contact now.
        """
        progress.acked_round = max(progress.acked_round, round_id)
        started = self.round_started.get(round_id, progress.contact_at)
        progress.contact_at = max(progress.contact_at, started)
