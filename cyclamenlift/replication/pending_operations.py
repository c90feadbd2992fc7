"""Pending operations: proposals, uncommitted entries and reads."""

from collections.abc import Callable
import dataclasses

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

ProposalDone = Callable[[Result[bytes, Problem]], None]
ReadDone = Callable[[Result[int, Problem]], None]


@dataclasses.dataclass(frozen=True, slots=True)
class Proposal:
    """A command that is queued to be appended."""

    command: bytes
    done: ProposalDone


@dataclasses.dataclass(frozen=True, slots=True)
class Appended:
    """A proposal in the log that is not committed yet."""

    term: int
    done: ProposalDone


class PendingOperations:
    """The unanswered operations; each is answered exactly once."""

    def __init__(self):
        self.queue: list[Proposal] = []
        self.appended: dict[int, Appended] = {}
        self.reads: dict[int, ReadDone] = {}
        self.last_token = 0

    def add_read(self, done: ReadDone) -> int:
        """Add a pending read; return its token."""
        self.last_token += 1
        self.reads[self.last_token] = done
        return self.last_token

    def take_batch(self, limit: int) -> list[Proposal]:
        """Remove and return the oldest queued proposals."""
        batch = self.queue[:limit]
        del self.queue[:limit]
        return batch

    def record_appended(
        self, index: int, term: int, done: ProposalDone
    ) -> None:
        self.appended[index] = Appended(term, done)

    def finish_entry(self, entry: LogEntry, answer: bytes) -> None:
        """Answer the proposal of a committed entry."""
        appended = self.appended.pop(entry.index, None)
        if appended is None:
            return
        if appended.term == entry.term:
            appended.done(Success(answer))
        else:
            appended.done(Failure(Problem(ResultCode.CHANGE_UNKNOWN)))

    def finish_read(self, token: int, index: int) -> None:
        done = self.reads.pop(token, None)
        if done is not None:
            done(Success(index))

    def fail_queue(self, problem: Problem) -> None:
        """Fail the queued proposals, which were certainly not appended."""
        queue, self.queue = self.queue, []
        for proposal in queue:
            proposal.done(Failure(problem))

    def fail_all(self, problem: Problem) -> None:
        """Fail all operations; appended entries may still be committed."""
        unknown = Failure(Problem(ResultCode.CHANGE_UNKNOWN))
        appended, self.appended = self.appended, {}
        for operation in appended.values():
            operation.done(unknown)
        reads, self.reads = self.reads, {}
        for done in reads.values():
            done(Failure(problem))
        self.fail_queue(problem)
