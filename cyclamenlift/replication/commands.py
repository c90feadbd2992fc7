"""Leader commands: append a batch, replace the storage of a voter."""

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.replication.log import KIND_COMMAND
from cyclamenlift.replication.sending import replicate
from cyclamenlift.replication.state import ReplicaState


def append_commands(
    state: ReplicaState, commands: list[bytes], unix_ms: int, now: float
) -> int:
    """Append commands as one batch (leader only); return the first index."""
    first = state.log.last_index + 1
    entries = [
        state.make_entry(KIND_COMMAND, command, unix_ms, offset)
        for offset, command in enumerate(commands, start=1)
    ]
    state.append(entries)
    replicate(state, now)
    return first


def refuse(detail: str) -> Failure:
    return Failure(Problem(ResultCode.STORAGE_REFUSED, detail))


def check_replacement(
    state: ReplicaState, instance: str, storage_id: str
) -> str:
    """Return why a storage cannot be replaced now, '' if it can."""
    latest = state.voters.latest
    progress = state.leadership.progress.get(instance)
    if state.commit_index < state.leadership.start_index:
        return 'the leader has not committed an entry of its term yet'
    if state.voters.change_pending(state.commit_index):
        return 'another replacement is under way'
    if instance not in latest.storage_ids:
        return f'{instance!r} is no control instance'
    if progress is None:
        return f'{instance!r} leads; its storage is in use'
    if progress.storage_id != storage_id:
        return f'{instance!r} last answered with {progress.storage_id!r}'
    return ''


def replace_storage(
    state: ReplicaState, instance: str, storage_id: str, now: float
) -> Result[int, Problem]:
    """Append the change that makes a new storage a voter (leader only).

    Return the index of its entry, 0 if the storage is a voter already.
    """
    if state.voters.names_storage(instance, storage_id):
        return Success(0)
    reason = check_replacement(state, instance, storage_id)
    if reason:
        return refuse(reason)
    changed = state.voters.latest.replaced(instance, storage_id)
    index = state.append_configuration(changed)
    replicate(state, now)
    return Success(index)
