"""In-memory consensus state of one replica.

This code performs no I/O: time is passed in as ``now`` (monotonic seconds),
randomness as a ``random.Random``, and side effects are returned as effect
objects. The protocol logic is in ``elections``, ``following``, ``leading``,
``reads``, ``sending``, ``installing`` and ``commits``; ``inputs`` holds the
entry points.
"""

import dataclasses
import math
import random

from cyclamenlift.replication.disk_stalls import DiskStallDetector
from cyclamenlift.replication.effects import LeadershipLost
from cyclamenlift.replication.effects import Outbox
from cyclamenlift.replication.effects import PersistEntries
from cyclamenlift.replication.effects import PersistTerm
from cyclamenlift.replication.log import KIND_CONFIGURATION
from cyclamenlift.replication.log import Log
from cyclamenlift.replication.progress import Leadership
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.replication.voters import Configuration
from cyclamenlift.replication.voters import Voters
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

MAX_BATCH_ENTRIES = 1024
MAX_BATCH_BYTES = 1024 * 1024
# Bytes of commands between snapshots. Applying them again has to take far
# less than the 4 s in which an instance with an empty disk catches up.
SNAPSHOT_BYTES = 512 * 1024
# How long a replica that restarted with a log waits for a leader before it
# starts a pre-vote, as a fraction of the election timeout: long enough for
# a heartbeat of an existing leader, and for the two rounds of messages and
# syncs of an election in progress. A pre-vote changes no persistent state.
RESTART_ELECTION_FRACTION = 0.2
# Fraction of a replica's time slot in which its pre-vote starts at a random
# point. The remainder separates it from the next slot: 10 ms for five
# instances and a timeout of 500 ms, enough for two rounds of messages and
# syncs.
SLOT_RANDOM_FRACTION = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class Limits:
    """Timeouts in seconds and sizes in entries and bytes.

    ``founding`` is how long a founder waits for all others before a majority
    of them may begin a log, 0 for ever. With ``wanted_voters`` above 0 the
    leader changes the voter set by itself.
    """

    election: float
    heartbeat: float
    snapshot_entries: int
    snapshot_bytes: int = SNAPSHOT_BYTES
    wanted_voters: int = 0
    founding: float = 0.0
    batch_entries: int = MAX_BATCH_ENTRIES
    batch_bytes: int = MAX_BATCH_BYTES
    chunk_bytes: int = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class RecoveredState:
    """State read from a data folder when it is opened."""

    storage_id: str
    term: int = 0
    voted_for: str = ''
    snapshot: Snapshot | None = None
    entries: tuple[LogEntry, ...] = ()


@dataclasses.dataclass(slots=True)
class Campaign:
    """A candidacy and its votes, mapping instance to the voting storage id."""

    term: int
    pre_vote: bool
    votes: dict[str, str] = dataclasses.field(default_factory=dict)
    own_ticket: int = 0


@dataclasses.dataclass(slots=True)
class IncomingSnapshot:
    """A partially received snapshot."""

    term: int
    last_index: int
    chunks: list[bytes] = dataclasses.field(default_factory=list)
    offset: int = 0
    complete: bool = False


class ReplicaState:
    """Term, vote, log, voter set and role of one replica."""

    def __init__(
        self,
        instance: str,
        peers: tuple[str, ...],
        bootstrap: bool,
        limits: Limits,
        recovered: RecoveredState,
        rng: random.Random,
        now: float,
        founder: bool = True,
        addresses: dict[str, str] | None = None,
    ):
        self.instance = instance
        # Peers from the settings or from membership, until reported gone.
        self.reported_peers: set[str] = set(peers)
        self.addresses = dict(addresses or {})
        self.bootstrap = bootstrap
        self.limits = limits
        self.rng = rng
        self.storage_id = recovered.storage_id
        self.term = recovered.term
        self.voted_for = recovered.voted_for
        self.term_ticket = 0
        self.role = Role.FOLLOWER
        self.leader = ''
        self.outbox = Outbox()
        self.disk = DiskStallDetector(now)
        self.leadership: Leadership | None = None
        founders = (instance, *peers) if founder else peers
        self.voters = Voters(founders)
        self.peers: tuple[str, ...] = peers
        self.snapshot = recovered.snapshot
        self.snapshot_writes: dict[int, Snapshot] = {}
        self.snapshot_requested = False
        # Bytes of the committed commands that no snapshot covers.
        self.uncovered_bytes = 0
        self.campaign: Campaign | None = None
        self.incoming: IncomingSnapshot | None = None
        self.leader_contact_at = float('-inf')
        self.election_deadline = 0.0
        self.load(recovered)
        self.restarted_with_log = self.log.last_index > 0
        self.founding_deadline = now + (limits.founding or math.inf)
        self.schedule_pre_vote(now)

    def load(self, recovered: RecoveredState) -> None:
        snapshot = recovered.snapshot
        index = snapshot.index if snapshot else 0
        term = snapshot.term if snapshot else 0
        self.commit_index = index
        self.last_stamp = snapshot.stamp_unix_ms if snapshot else 0
        self.log = Log(index, term, recovered.entries)
        self.voters.reset(snapshot.configuration if snapshot else None)
        for entry in recovered.entries:
            self.track_entry(entry)
        self.refresh_peers()

    def track_entry(self, entry: LogEntry) -> None:
        """Track the time stamp and voter configuration of a log entry."""
        self.last_stamp = max(self.last_stamp, entry.stamp_unix_ms)
        if entry.kind == KIND_CONFIGURATION:
            configuration = Configuration.decode(entry.index, entry.command)
            self.voters.record_appended(configuration)
            self.refresh_peers()

    # -- queries ----------------------------------------------------------

    @property
    def snapshot_index(self) -> int:
        return self.snapshot.index if self.snapshot else 0

    @property
    def may_vote(self) -> bool:
        """Return whether this storage may grant votes.

        A candidate counts the vote only if its own log makes this storage a
        voter. That entry need not be in the log here: a majority may have
        committed it without this storage. An empty log votes only with
        ``bootstrap``.
        """
        if self.voters.latest is None:
            return self.bootstrap and self.instance in self.voters.names
        return True

    @property
    def may_campaign(self) -> bool:
        """Return whether this storage may be a candidate.

        It must be a voter by a configuration in its own log that is in
        force; while voters are changed, that includes the old ones.
        """
        if self.voters.latest is None:
            return self.may_vote
        return self.voters.counts_storage(self.instance, self.storage_id)

    @property
    def term_is_durable(self) -> bool:
        return self.outbox.synced_ticket >= self.term_ticket

    def is_stalled(self, now: float) -> bool:
        """Return whether a local write has been pending for too long."""
        return self.disk.is_stalled(now, self.limits.election)

    def has_quorum(self, present: dict[str, str]) -> bool:
        return self.voters.has_quorum(present)

    def summary(self) -> dict[str, object]:
        """Return the fields that a log line reports about this replica."""
        return {
            'storage_id': self.storage_id,
            'term': self.term,
            'last_index': self.log.last_index,
            'snapshot_index': self.snapshot_index,
            'counts': self.may_campaign,
        }

    # -- commands ---------------------------------------------------------

    def refresh_peers(self) -> None:
        """Recompute the peers to replicate to: voters and learners."""
        for configuration in self.voters.active:
            for name, address in configuration.addresses.items():
                self.addresses.setdefault(name, address)
        names = self.voters.known_names() | self.reported_peers
        names.discard(self.instance)
        self.peers = tuple(sorted(names))
        if self.leadership is not None:
            self.leadership.track_peers(self.peers, self.log.last_index + 1)

    def add_peer(self, name: str, address: str) -> None:
        """Add an instance that may become a voter, or update its address."""
        if name == self.instance:
            return
        self.reported_peers.add(name)
        self.addresses[name] = address
        self.refresh_peers()

    def remove_peer(self, name: str) -> None:
        """Remove an instance that is gone; a voter remains a peer."""
        self.reported_peers.discard(name)
        self.refresh_peers()

    def reset_election_deadline(self, now: float) -> None:
        """Set a randomized election deadline to avoid split votes."""
        wait = self.limits.election * (1.0 + self.rng.random())
        self.election_deadline = now + wait

    def schedule_pre_vote(self, now: float) -> None:
        """Schedule the next pre-vote.

        After a full restart there is no leader, and nothing is served until
        one is elected. A replica that restarted with a log therefore uses a
        shorter delay, repeatedly, until it learns of a leader or an
        election. All instances may have restarted in the same millisecond,
        so each has a time slot of its own, by the order of their names.
        """
        self.reset_election_deadline(now)
        if not self.restarted_with_log:
            return
        names = sorted({self.instance, *self.peers})
        position = (
            names.index(self.instance)
            + SLOT_RANDOM_FRACTION * self.rng.random()
        )
        wait = self.limits.election * RESTART_ELECTION_FRACTION
        self.election_deadline = now + wait * (1.0 + position / len(names))

    def persist_term(self) -> int:
        """Persist term and vote; return the write's ticket."""
        ticket = self.outbox.next_ticket()
        self.term_ticket = ticket
        self.outbox.add(PersistTerm(ticket, self.term, self.voted_for))
        return ticket

    def append(self, entries: list[LogEntry]) -> None:
        """Append entries to the in-memory log and persist them."""
        ticket = self.outbox.next_ticket()
        self.log.append(entries, ticket)
        for entry in entries:
            self.track_entry(entry)
        self.outbox.add(PersistEntries(ticket, tuple(entries)))

    def make_entry(
        self, kind: int, command: bytes, stamp: int = 0, offset: int = 1
    ) -> LogEntry:
        """Return an entry of this term, ``offset`` after the last index.

        Its time stamp is never earlier than those already in the log.
        """
        return LogEntry(
            index=self.log.last_index + offset,
            term=self.term,
            kind=kind,
            command=command,
            stamp_unix_ms=max(stamp, self.last_stamp),
        )

    def append_configuration(self, configuration: Configuration) -> int:
        """Append a configuration entry; return its index."""
        entry = self.make_entry(KIND_CONFIGURATION, configuration.encode())
        self.append([entry])
        return entry.index

    def follow(self, term: int, leader: str, now: float) -> None:
        """Become a follower in ``term``, which may be the current one."""
        if term > self.term:
            self.term = term
            self.voted_for = ''
            self.leader = ''
            self.persist_term()
        if self.role is Role.LEADER:
            self.outbox.add(LeadershipLost())
            self.leader = ''
        if self.role is not Role.FOLLOWER:
            self.reset_election_deadline(now)
        self.role = Role.FOLLOWER
        self.campaign = None
        self.leadership = None
        if leader:
            self.leader = leader
