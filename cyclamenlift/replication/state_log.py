"""Logs what changes in the state of a replica: disk, voter set, losses."""

import structlog

from cyclamenlift.replication.state import ReplicaState

LOG = structlog.get_logger('replication')


class StateLog:
    """Compares a replica's state with what was logged of it before."""

    def __init__(self):
        self.disk_stalled = False
        self.voters_index = 0
        self.few_voters_term = 0
        # Senders whose messages were dropped, and the peers at that time.
        self.strangers: set[str] = set()
        self.strangers_peers: tuple[str, ...] = ()

    def note_disk(self, state: ReplicaState, led: str, now: float) -> None:
        """Log when the disk stalls and when it recovers.

        ``led`` is the leader before.
        """
        stalled = state.is_stalled(now)
        if stalled != self.disk_stalled:
            self.disk_stalled = stalled
            event = 'disk_stalled' if stalled else 'disk_goes_on'
            LOG.warning(event, term=state.term, led=led)

    def note_stranger(self, state: ReplicaState, sender: str, message) -> None:
        """Log that a message has no effect, as its sender is unknown.

        It is logged once a sender, and again when the known peers changed.
        """
        if state.peers != self.strangers_peers:
            self.strangers_peers = state.peers
            self.strangers.clear()
        if sender in self.strangers:
            return
        self.strangers.add(sender)
        LOG.info(
            'message_of_stranger',
            sender=sender,
            kind=type(message).__name__,
            term=message.term,
            peers=list(state.peers),
        )

    def note_voters(self, state: ReplicaState) -> None:
        """Log the newest voter set in the log when it has changed."""
        latest = state.voters.latest
        index = latest.index if latest else 0
        if index == self.voters_index:
            return
        self.voters_index = index
        LOG.info(
            'voters_changed',
            index=index,
            final=latest is not None and latest.final,
            voters=dict(latest.storage_ids) if latest else {},
            counts=state.may_campaign,
        )

    def note_commands(self, state: ReplicaState) -> None:
        """Log, once a term, that commands survive fewer losses than wanted."""
        latest = state.voters.latest
        if latest.storages >= state.limits.wanted_voters:
            return
        if state.term == self.few_voters_term:
            return
        self.few_voters_term = state.term
        LOG.warning(
            'few_voters',
            voters=latest.storages,
            wanted=state.limits.wanted_voters,
            survives=latest.storages - latest.majority,
            term=state.term,
        )
