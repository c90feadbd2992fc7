"""Log segments: append-only files, each a sequence of records.

An entry replaces an earlier one of the same index and all after it, so
truncating the log is an append too.
"""

import dataclasses
import os
import pathlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success
import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.replication.folder import damaged_failure
from cyclamenlift.replication.folder import io_failure
from cyclamenlift.replication.folder import LOG_PREFIX
from cyclamenlift.replication.folder import sync_folder
from cyclamenlift.replication.folder import write_all
from cyclamenlift.replication.records import encode_record
from cyclamenlift.replication.records import read_record
from cyclamenlift.replication.records import record_follows
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

LOG = structlog.get_logger('replication')


@dataclasses.dataclass(slots=True)
class Segment:
    """A segment file; ``last_index`` is the highest index it ever held."""

    path: pathlib.Path
    number: int
    last_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UncertainTail:
    """A segment whose bytes from ``durable_size`` on may not be durable."""

    path: pathlib.Path
    durable_size: int


def sync_tail(path: pathlib.Path) -> None:
    """Sync what a killed process had written but not synced.

    The entries are about to be treated as durable, so a later power loss
    must not remove them.
    """
    with path.open('r+b') as file:
        os.fsync(file.fileno())


class Segments:
    """All segments of a folder; records are appended to the newest one."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.segments: list[Segment] = []
        self.descriptor = -1
        self.uncertain_tail: UncertainTail | None = None

    # -- reading ----------------------------------------------------------

    def read(self, required: int) -> Result[list[LogEntry], Problem]:
        """Return all entries in write order, truncating a torn tail.

        Fails if the segment numbered ``required`` does not exist.
        """
        entries = []
        paths = sorted(self.folder.glob(LOG_PREFIX + '*'))
        for position, path in enumerate(paths):
            last = position == len(paths) - 1
            found = self.read_segment(path, last)
            if isinstance(found, Failure):
                return found
            entries.extend(found.unwrap())
        try:
            # A killed process may not have synced its directory changes.
            sync_folder(self.folder)
        except OSError as error:
            return io_failure(self.folder, error)
        if required and required not in {s.number for s in self.segments}:
            return damaged_failure(
                self.folder, f'segment {required} is missing'
            )
        return Success(entries)

    def read_segment(
        self, path: pathlib.Path, is_last: bool
    ) -> Result[list[LogEntry], Problem]:
        try:
            if is_last:
                sync_tail(path)
            data = path.read_bytes()
        except OSError as error:
            return io_failure(path, error)
        entries = []
        offset = 0
        while offset < len(data):
            record = read_record(data, offset)
            if record is None:
                break
            entries.extend(record.entries)
            offset = record.end
        if offset < len(data):
            if not is_last or record_follows(data, offset):
                return damaged_failure(
                    path, f'invalid record at byte {offset}'
                )
            try:
                self.truncate_torn_tail(path, offset, len(data))
            except OSError as error:
                return io_failure(path, error)
        number = int(path.name.removeprefix(LOG_PREFIX))
        highest = max((e.index for e in entries), default=0)
        self.segments.append(Segment(path, number, highest))
        return Success(entries)

    def truncate_torn_tail(
        self, path: pathlib.Path, offset: int, size: int
    ) -> None:
        """Truncate an unfinished write, which was never synced."""
        LOG.warning(
            'torn_tail_cut',
            code=int(ResultCode.STORAGE_TORN_TAIL),
            path=str(path),
            bytes=size - offset,
        )
        with path.open('r+b') as file:
            file.truncate(offset)
            os.fsync(file.fileno())

    def truncate_uncertain_tail(self) -> None:
        """Truncate a failed write, which may be partly on the disk.

        Raises OSError while the disk still fails.
        """
        if self.uncertain_tail is None:
            return
        with self.uncertain_tail.path.open('r+b') as file:
            file.truncate(self.uncertain_tail.durable_size)
            os.fsync(file.fileno())
        self.uncertain_tail = None

    # -- writing (raises OSError) -----------------------------------------

    @property
    def newest(self) -> int:
        """The number of the newest segment, 0 if there is none."""
        return self.segments[-1].number if self.segments else 0

    def append(self, entries: list[LogEntry]) -> None:
        """Write and sync one record."""
        if self.descriptor < 0:
            self.open_newest()
        durable = os.fstat(self.descriptor).st_size
        try:
            write_all(self.descriptor, encode_record(entries))
            os.fdatasync(self.descriptor)
        except OSError:
            self.uncertain_tail = UncertainTail(
                self.segments[-1].path, durable
            )
            raise
        highest = max(e.index for e in entries)
        newest = self.segments[-1]
        newest.last_index = max(newest.last_index, highest)

    def open_newest(self) -> None:
        path = self.segments[-1].path
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.descriptor = os.open(path, flags, 0o600)

    def roll(self) -> None:
        """Start a new segment."""
        self.close()
        number = self.newest + 1
        path = self.folder / f'{LOG_PREFIX}{number:012d}'
        self.segments.append(Segment(path, number))
        self.open_newest()
        sync_folder(self.folder)

    def remove_covered(self, index: int) -> None:
        """Remove the oldest segments that a snapshot covers fully."""
        covered = 0
        for segment in self.segments[:-1]:
            if segment.last_index > index:
                break
            covered += 1
        self.remove_first(covered)

    def remove_older(self) -> None:
        """Remove all but the newest segment."""
        self.remove_first(len(self.segments) - 1)

    def remove_first(self, count: int) -> None:
        """Remove the oldest segments."""
        if count <= 0:
            return
        for segment in self.segments[:count]:
            segment.path.unlink(missing_ok=True)
        del self.segments[:count]
        sync_folder(self.folder)

    def close(self) -> None:
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
