"""Effect handlers: execute the effects of the protocol logic."""

from typing import TYPE_CHECKING

import structlog

from cyclamenlift.core.registry import Registry
from cyclamenlift.replication.commits import snapshot_taken
from cyclamenlift.replication.effects import LeadershipLost
from cyclamenlift.replication.effects import ReadReady
from cyclamenlift.replication.effects import RestoreMachine
from cyclamenlift.replication.effects import Send
from cyclamenlift.replication.effects import TakeSnapshot
from cyclamenlift.replication.log import KIND_COMMAND
from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

if TYPE_CHECKING:
    from cyclamenlift.replication.tasks import Replica

LOG = structlog.get_logger('replication')
EFFECT_HANDLERS: Registry = Registry('effect')


@EFFECT_HANDLERS.register('Send')
def send(replica: 'Replica', effect: Send) -> None:
    replica.send(effect.to, effect.message)


def apply_entry(replica: 'Replica', entry: LogEntry) -> None:
    """Apply a committed entry and answer its proposer."""
    answer = b''
    if entry.kind == KIND_COMMAND:
        answer = replica.machine.apply(
            entry.index, entry.stamp_unix_ms, entry.command
        )
    replica.applied_index = entry.index
    replica.pending.finish_entry(entry, answer)


@EFFECT_HANDLERS.register('TakeSnapshot')
def take_snapshot(replica: 'Replica', effect: TakeSnapshot) -> None:
    began = replica.now()
    data = replica.machine.snapshot()
    snapshot_taken(replica.state, effect.index, data)
    LOG.info(
        'snapshot_taken',
        index=effect.index,
        bytes=len(data),
        seconds=round(replica.now() - began, 3),
    )


@EFFECT_HANDLERS.register('RestoreMachine')
def restore(replica: 'Replica', effect: RestoreMachine) -> None:
    restore_machine(replica, effect.snapshot)
    LOG.info(
        'snapshot_installed',
        index=effect.snapshot.index,
        bytes=len(effect.snapshot.data),
    )


def restore_machine(replica: 'Replica', snapshot: Snapshot) -> None:
    """Restore the state machine and the applied index from a snapshot."""
    replica.machine.restore(snapshot.data)
    replica.applied_index = snapshot.index


@EFFECT_HANDLERS.register('ReadReady')
def finish_read(replica: 'Replica', effect: ReadReady) -> None:
    replica.pending.finish_read(effect.token, effect.index)


@EFFECT_HANDLERS.register('LeadershipLost')
def lose_leadership(replica: 'Replica', _effect: LeadershipLost) -> None:
    LOG.info('leadership_lost', term=replica.state.term)
    replica.pending.fail_all(replica.not_leader())
