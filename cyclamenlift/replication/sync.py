"""The writer thread, which performs all disk writes and syncs.

A sync takes milliseconds and would block the event loop. Batches are passed
through a queue; everything queued during one sync shares the next. Outcomes
return through a second queue, and a byte on a socket wakes the loop.
"""

from collections.abc import Callable
import dataclasses
import queue
import socket
import threading

from circuits.core.components import BaseComponent
from circuits.core.handlers import handler

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.replication.effects import Persist
from cyclamenlift.replication.storage import Storage

WAKE = b'.'
READ_SIZE = 4096
JOIN_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class SyncDone:
    """All writes up to ``ticket`` are durable."""

    ticket: int


@dataclasses.dataclass(frozen=True, slots=True)
class SyncFailed:
    """A write failed; nothing after it was written."""

    problem: Problem


class SyncTask(BaseComponent):
    """Owns the storage while it runs and reports outcomes to a callback."""

    channel = 'sync'

    def __init__(
        self,
        poller,
        storage: Storage,
        on_outcome: Callable[[SyncDone | SyncFailed], None],
    ):
        super().__init__(channel='sync')
        self.poller = poller
        self.storage = storage
        self.on_outcome = on_outcome
        self.writes: queue.SimpleQueue = queue.SimpleQueue()
        self.outcomes: queue.SimpleQueue = queue.SimpleQueue()
        self.wake_in, self.wake_out = socket.socketpair()
        self.wake_in.setblocking(False)
        self.wake_out.setblocking(False)
        self.stopped = False
        self.thread = threading.Thread(
            target=self.run_writes, name='sync', daemon=True
        )

    def start(self) -> None:
        self.poller.addReader(self, self.wake_in)
        self.thread.start()

    def write(self, writes: list[Persist]) -> None:
        """Queue writes; their outcome is passed to ``on_outcome``."""
        self.writes.put(writes)

    def stop(self) -> None:
        """Finish the queued writes and close the folder; idempotent."""
        if self.stopped:
            return
        self.stopped = True
        self.writes.put(None)
        self.thread.join(JOIN_SECONDS)
        self.poller.discard(self.wake_in)
        self.wake_in.close()
        self.wake_out.close()
        self.unregister()

    # -- event loop -------------------------------------------------------

    @handler('_read')
    def _on_poll_read(self, sock) -> None:
        if sock is not self.wake_in:
            return
        try:
            sock.recv(READ_SIZE)
        except (BlockingIOError, InterruptedError):
            return
        while not self.outcomes.empty():
            self.on_outcome(self.outcomes.get_nowait())

    # -- writer thread ----------------------------------------------------

    def run_writes(self) -> None:
        while True:
            batch, stopping = self.next_batch()
            if batch and not self.write_batch(batch):
                break
            if stopping:
                break
        self.storage.close()

    def next_batch(self) -> tuple[list[Persist], bool]:
        """Wait for writes; return all queued ones and whether to stop."""
        batch: list[Persist] = []
        queued = self.writes.get()
        while queued is not None:
            batch.extend(queued)
            if self.writes.empty():
                return batch, False
            queued = self.writes.get()
        return batch, True

    def write_batch(self, batch: list[Persist]) -> bool:
        try:
            self.storage.write(batch)
        except OSError as error:
            folder = str(self.storage.folder)
            problem = Problem(ResultCode.STORAGE_FAILED, str(error), folder)
            self.report(SyncFailed(problem))
            return False
        self.report(SyncDone(batch[-1].ticket))
        return True

    def report(self, outcome: SyncDone | SyncFailed) -> None:
        self.outcomes.put(outcome)
        try:
            self.wake_out.send(WAKE)
        except OSError:
            # A full socket means that a wake-up is pending, a closed one
            # that the loop has stopped.
            return
