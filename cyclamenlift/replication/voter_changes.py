"""Automatic voter set changes by the leader; performs no I/O.

The cluster is bootstrapped by a few configured instances. The leader then
adds the others, replaces the storages of voters whose disks were lost, and
removes voters that are gone. Each change is a log entry and needs a majority
of the voters before and after it; all storages that are ready become voters
in one change. A storage becomes a voter only
after it holds every committed entry, so that no change reduces the
durability of committed entries.
"""

from cyclamenlift.replication.progress import Progress
from cyclamenlift.replication.sending import replicate
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.replication.voters import Configuration

MAX_VOTERS = 7
# After this many seconds without contact a voter may be replaced by another
# instance: longer than a process restart takes, shorter than the time in which
# a repair must be complete (4 s).
UNREACHABLE_SECONDS = 2.0
# How long commands wait for enough voters, from the start of a term, in
# seconds: several times what adding them takes, and shorter than an operator
# waits for an answer (1 s).
AWAIT_VOTERS_SECONDS = 0.8


def awaits_voters(state: ReplicaState, now: float) -> bool:
    """Return whether commands wait until there are enough voters.

    A cluster is founded by a few instances, and what they commit survives
    fewer losses than it will with all voters. The others are added within
    some heartbeats, so commands wait for them, for a bounded time in each
    term: fewer instances may run for good.
    """
    if not state.limits.wanted_voters or state.leadership is None:
        return False
    if now >= state.leadership.voters_deadline:
        return False
    committed = state.voters.at(state.commit_index)
    if committed is None or not committed.final:
        return True
    return committed.storages < state.limits.wanted_voters


def change_voters(state: ReplicaState, now: float) -> None:
    """Append the next voter set change that is due, if any."""
    if not state.limits.wanted_voters or state.leadership is None:
        return
    if state.commit_index < state.leadership.start_index:
        return
    if state.voters.change_pending(state.commit_index):
        return
    changed = next_configuration(state, now)
    if changed is not None:
        state.append_configuration(changed)
        replicate(state, now)


def next_configuration(
    state: ReplicaState, now: float
) -> Configuration | None:
    """Return the next voter set, None if no change is needed."""
    latest = state.voters.latest
    changed = latest
    for name, progress in sorted(state.leadership.progress.items()):
        if can_become_voter(state, progress, now):
            changed = count_storage(
                state, changed, name, progress.storage_id, now
            )
    if changed is not latest:
        return changed
    return remove_voter(state, now)


def count_storage(
    state: ReplicaState,
    voters: Configuration,
    name: str,
    storage_id: str,
    now: float,
) -> Configuration:
    """Return ``voters`` with this storage, unchanged if that can't be."""
    voting_storage_id = voters.storage_ids.get(name)
    if voting_storage_id == storage_id:
        return voters
    if voting_storage_id is not None:
        return voters.replaced(name, storage_id)
    return add_voter(state, voters, name, storage_id, now)


def can_become_voter(
    state: ReplicaState, progress: Progress, now: float
) -> bool:
    """Return whether a storage is reachable and fully caught up."""
    if not progress.storage_id:
        return False
    if not progress.is_reachable(now, state.limits.election):
        return False
    return progress.match_index >= state.commit_index


def add_voter(
    state: ReplicaState,
    voters: Configuration,
    name: str,
    storage_id: str,
    now: float,
) -> Configuration:
    """Add a voter, replacing an unreachable one if there are enough."""
    address = state.addresses.get(name, '')
    unreachable = longest_unreachable(state, voters, now)
    has_enough_voters = len(voters.storage_ids) >= state.limits.wanted_voters
    if unreachable and has_enough_voters:
        return voters.without(unreachable).joined(name, storage_id, address)
    if len(voters.storage_ids) >= MAX_VOTERS:
        return voters
    return voters.joined(name, storage_id, address)


def remove_voter(state: ReplicaState, now: float) -> Configuration | None:
    """Remove an unreachable voter if enough remain.

    A founder that never took part is removed in any case: it counts for the
    size of a majority alone, and is added like any other once it comes.
    """
    latest = state.voters.latest
    unreachable = longest_unreachable(state, latest, now)
    if not unreachable:
        return None
    has_more = len(latest.storage_ids) > state.limits.wanted_voters
    if has_more or not latest.storage_ids[unreachable]:
        return latest.without(unreachable)
    return None


def longest_unreachable(
    state: ReplicaState, voters: Configuration, now: float
) -> str:
    """Return the voter unreachable for longest, '' if there is none."""
    contacts = {
        name: progress.contact_at
        for name, progress in state.leadership.progress.items()
        if name in voters.storage_ids
        and now - progress.contact_at >= UNREACHABLE_SECONDS
    }
    return min(contacts, key=contacts.__getitem__) if contacts else ''
