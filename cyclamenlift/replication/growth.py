"""How a leader keeps the voter set whole: decisions, no sockets.

The cluster is founded by a few instances that everybody is told of. The
leader then adds the others one at a time, lets a new storage count in place
of one that was lost, and takes out voters that are gone. Each change is an
entry of the log and needs a majority of the voters before and after it. A
storage counts only after it holds everything that is committed, so that no
change weakens what was promised.
"""

from cyclamenlift.replication.progress import Progress
from cyclamenlift.replication.sending import replicate
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.replication.voters import Configuration

MOST_VOTERS = 7
# A voter that was silent this long, in seconds, may give its place to a
# successor: longer than a restart of a process takes (0.5 to 1.5 s as
# measured), shorter than the time in which a repair must be complete (4 s).
SILENT_SECONDS = 2.0


def change_voters(state: ReplicaState, now: float) -> None:
    """Append the next change of the voters that is due, if any."""
    if not state.limits.wanted_voters or state.leadership is None:
        return
    if state.commit_index < state.leadership.start_index:
        return
    if state.voters.change_pending(state.commit_index):
        return
    changed = next_change(state, now)
    if changed is not None:
        state.append_configuration(changed)
        replicate(state, now)


def next_change(state: ReplicaState, now: float) -> Configuration | None:
    """Return the voters that should be next, None to leave them."""
    latest = state.voters.latest
    for name, progress in sorted(state.leadership.progress.items()):
        if not may_count(state, progress, now):
            continue
        counted = latest.storage_ids.get(name)
        if counted == progress.storage_id:
            continue
        if counted is not None:
            return latest.replaced(name, progress.storage_id)
        return join(state, name, progress.storage_id, now)
    return leave(state, now)


def may_count(state: ReplicaState, progress: Progress, now: float) -> bool:
    """Tell whether a storage answers now and holds what is committed."""
    if not progress.storage_id:
        return False
    silent = now - progress.contact_at
    if silent >= state.limits.election:
        return False
    return progress.match_index >= state.commit_index


def join(
    state: ReplicaState, name: str, storage_id: str, now: float
) -> Configuration | None:
    """Add a voter, in the place of a silent one if there are enough."""
    latest = state.voters.latest
    address = state.addresses.get(name, '')
    gone = longest_silent(state, now)
    enough = len(latest.storage_ids) >= state.limits.wanted_voters
    if gone and enough:
        return latest.without(gone).joined(name, storage_id, address)
    if len(latest.storage_ids) >= MOST_VOTERS:
        return None
    return latest.joined(name, storage_id, address)


def leave(state: ReplicaState, now: float) -> Configuration | None:
    """Take a silent voter out if enough stay."""
    latest = state.voters.latest
    gone = longest_silent(state, now)
    if gone and len(latest.storage_ids) > state.limits.wanted_voters:
        return latest.without(gone)
    return None


def longest_silent(state: ReplicaState, now: float) -> str:
    """Return the voter that was silent longest, '' if none is."""
    silent = {
        name: progress.contact_at
        for name, progress in state.leadership.progress.items()
        if name in state.voters.latest.storage_ids
        and now - progress.contact_at >= SILENT_SECONDS
    }
    return min(silent, key=silent.__getitem__) if silent else ''
