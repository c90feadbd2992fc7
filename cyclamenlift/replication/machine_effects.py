"""Runs the effects that use the state machine, in order and in slices.

Applying an entry can take tens of milliseconds. A replica that has many to
apply, after a restart or on an empty disk, must go on answering its leader
and storing further entries meanwhile, so it applies them for a bounded time
in each iteration of the event loop.
"""

from collections import deque
from typing import TYPE_CHECKING

import structlog

from cyclamenlift.replication.effect_handlers import apply_entry
from cyclamenlift.replication.effect_handlers import EFFECT_HANDLERS
from cyclamenlift.replication.effects import Apply
from cyclamenlift.replication.effects import LeadershipLost
from cyclamenlift.replication.effects import ReadReady
from cyclamenlift.replication.effects import RestoreMachine
from cyclamenlift.replication.effects import TakeSnapshot
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

if TYPE_CHECKING:
    from cyclamenlift.replication.tasks import Replica

# How long one iteration of the event loop applies entries, in seconds; an
# entry that was begun is finished. Far below the time without an answer
# after which an instance counts as unreachable (0.5 s).
SLICE_SECONDS = 0.02
# A backlog is logged if it took this long to apply, in seconds.
LOGGED_BACKLOG_SECONDS = 0.1
LOG = structlog.get_logger('replication')
MACHINE_EFFECTS = (
    Apply,
    TakeSnapshot,
    RestoreMachine,
    ReadReady,
    LeadershipLost,
)


class MachineEffects:
    """The effects on the state machine that were not executed yet.

    Reads and snapshots keep their place behind the entries before them, so
    each sees the state that it was requested for.
    """

    def __init__(self, replica: 'Replica'):
        self.replica = replica
        self.waiting: deque = deque()
        self.continuing = False
        self.backlog_since: float | None = None

    def add(self, effect) -> None:
        """Append an effect; entries are appended one by one."""
        if isinstance(effect, Apply):
            self.waiting.extend(effect.entries)
        else:
            self.waiting.append(effect)

    def clear(self) -> None:
        """Drop all effects, as the state machine starts anew."""
        self.waiting.clear()
        self.backlog_since = None

    def run_slice(self) -> bool:
        """Execute effects for one slice; return whether any was executed.

        What remains is executed in later iterations of the event loop.
        """
        if self.continuing or not self.waiting:
            return False
        until = self.replica.now() + SLICE_SECONDS
        self.execute_first()
        while self.waiting and self.replica.now() < until:
            self.execute_first()
        if self.waiting:
            self.continue_later()
        else:
            self.log_backlog()
        return True

    def execute_first(self) -> None:
        """Execute the effect that has waited for longest."""
        effect = self.waiting.popleft()
        if isinstance(effect, LogEntry):
            apply_entry(self.replica, effect)
            return
        EFFECT_HANDLERS.get(type(effect).__name__)(self.replica, effect)

    def continue_later(self) -> None:
        self.continuing = True
        if self.backlog_since is None:
            self.backlog_since = self.replica.now()
        self.replica.call_soon(self.resume)

    def resume(self) -> None:
        self.continuing = False
        if self.replica.active:
            self.replica.handle_effects()

    def log_backlog(self) -> None:
        """Log how long it took until all committed entries were applied."""
        if self.backlog_since is None:
            return
        seconds = self.replica.now() - self.backlog_since
        self.backlog_since = None
        if seconds < LOGGED_BACKLOG_SECONDS:
            return
        LOG.info(
            'backlog_applied',
            index=self.replica.applied_index,
            seconds=round(seconds, 3),
        )
