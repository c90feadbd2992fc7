"""Segments: the files of the log, each a run of records.

A later entry with the index of an earlier one replaces it and all after
it, so cutting the log is only ever an append.
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
from cyclamenlift.replication.folder import damaged
from cyclamenlift.replication.folder import failed
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
    """One file; ``last_index`` is the highest index it ever held."""

    path: pathlib.Path
    number: int
    last_index: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class UnsureTail:
    """A segment whose bytes from ``durable_size`` on may be on the disk."""

    path: pathlib.Path
    durable_size: int


def sync_tail(path: pathlib.Path) -> None:
    """Make durable what a process that was killed had only written.

    Its entries are about to be counted as held here, and a loss of power
    after that must not take them away.
    """
    with path.open('r+b') as file:
        os.fsync(file.fileno())


class Segments:
    """All segments of a folder; the newest one is written."""

    def __init__(self, folder: pathlib.Path):
        self.folder = folder
        self.segments: list[Segment] = []
        self.descriptor = -1
        self.unsure: UnsureTail | None = None

    # -- reading ----------------------------------------------------------

    def read(self, required: int) -> Result[list[LogEntry], Problem]:
        """Return all entries as written, after cutting a torn tail.

        The segment numbered ``required`` must be there.
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
            # Names that a killed process had changed but not made durable.
            sync_folder(self.folder)
        except OSError as error:
            return failed(self.folder, error)
        if required and required not in {s.number for s in self.segments}:
            return damaged(self.folder, f'segment {required} is missing')
        return Success(entries)

    def read_segment(
        self, path: pathlib.Path, is_last: bool
    ) -> Result[list[LogEntry], Problem]:
        try:
            if is_last:
                sync_tail(path)
            data = path.read_bytes()
        except OSError as error:
            return failed(path, error)
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
                return damaged(path, f'no whole record at byte {offset}')
            try:
                self.cut_tail(path, offset, len(data))
            except OSError as error:
                return failed(path, error)
        number = int(path.name.removeprefix(LOG_PREFIX))
        highest = max((e.index for e in entries), default=0)
        self.segments.append(Segment(path, number, highest))
        return Success(entries)

    def cut_tail(self, path: pathlib.Path, offset: int, size: int) -> None:
        """Cut a write that a crash left unfinished; it was never synced."""
        LOG.warning(
            'torn_tail_cut',
            code=int(ResultCode.STORAGE_TORN_TAIL),
            path=str(path),
            bytes=size - offset,
        )
        with path.open('r+b') as file:
            file.truncate(offset)
            os.fsync(file.fileno())

    def cut_unsure(self) -> None:
        """Cut a write that failed: what is left of it is not known.

        Raises OSError while the disk still refuses.
        """
        if self.unsure is None:
            return
        with self.unsure.path.open('r+b') as file:
            file.truncate(self.unsure.durable_size)
            os.fsync(file.fileno())
        self.unsure = None

    # -- writing (raises OSError) -----------------------------------------

    @property
    def newest(self) -> int:
        """Return the number of the newest segment, 0 if there is none."""
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
            self.unsure = UnsureTail(self.segments[-1].path, durable)
            raise
        highest = max(e.index for e in entries)
        newest = self.segments[-1]
        newest.last_index = max(newest.last_index, highest)

    def open_newest(self) -> None:
        path = self.segments[-1].path
        flags = os.O_WRONLY | os.O_APPEND | os.O_CREAT
        self.descriptor = os.open(path, flags, 0o600)

    def roll(self) -> None:
        """Begin a new segment."""
        self.close()
        number = self.newest + 1
        path = self.folder / f'{LOG_PREFIX}{number:012d}'
        self.segments.append(Segment(path, number))
        self.open_newest()
        sync_folder(self.folder)

    def drop_covered(self, index: int) -> None:
        """Remove the oldest segments, as far as a snapshot covers them."""
        while len(self.segments) > 1 and self.segments[0].last_index <= index:
            self.segments.pop(0).path.unlink(missing_ok=True)
        sync_folder(self.folder)

    def drop_older(self) -> None:
        """Remove all but the newest segment."""
        while len(self.segments) > 1:
            self.segments.pop(0).path.unlink(missing_ok=True)
        sync_folder(self.folder)

    def close(self) -> None:
        if self.descriptor >= 0:
            os.close(self.descriptor)
            self.descriptor = -1
