"""The data folder: validated when it is opened, then written in order."""

import dataclasses
import os
import pathlib

from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.problems import Problem
from cyclamenlift.replication.effects import Persist
from cyclamenlift.replication.effects import PersistEntries
from cyclamenlift.replication.effects import PersistSnapshot
from cyclamenlift.replication.effects import PersistTerm
from cyclamenlift.replication.folder import damaged_failure
from cyclamenlift.replication.folder import io_failure
from cyclamenlift.replication.folder import lock_folder
from cyclamenlift.replication.folder import Metadata
from cyclamenlift.replication.folder import METADATA_NAME
from cyclamenlift.replication.folder import open_metadata
from cyclamenlift.replication.folder import replace_file
from cyclamenlift.replication.folder import SNAPSHOT_NAME
from cyclamenlift.replication.folder import write_replacement
from cyclamenlift.replication.segments import Segments
from cyclamenlift.replication.snapshots import Snapshot
from cyclamenlift.replication.snapshots import SnapshotError
from cyclamenlift.replication.state import RecoveredState
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry


class Storage:
    """An open data folder; ``recovered`` is the state it held.

    Write methods raise OSError. After the first one nothing more may be
    written: it is unknown which part of a failed write the kernel kept.
    """

    def __init__(
        self,
        folder: pathlib.Path,
        lock: int,
        metadata: Metadata,
        segments: Segments,
        recovered: RecoveredState,
    ):
        self.folder = folder
        self.lock = lock
        self.metadata = metadata
        self.segments = segments
        self.recovered = recovered

    def write(self, writes: list[Persist]) -> None:
        """Make a batch of writes durable, in order.

        Consecutive writes of one kind share a sync: entries become one
        record, and of several terms only the last is written.
        """
        position = 0
        while position < len(writes):
            kind = type(writes[position])
            end = position + 1
            while end < len(writes) and type(writes[end]) is kind:
                end += 1
            self.write_run(kind, writes[position:end])
            position = end

    def write_run(self, kind: type, run: list[Persist]) -> None:
        if kind is PersistEntries:
            self.write_entries([e for write in run for e in write.entries])
        elif kind is PersistTerm:
            self.write_term(run[-1])
        else:
            for write in run:
                self.write_snapshot(write)

    def write_entries(self, entries: list[LogEntry]) -> None:
        if not self.segments.newest:
            self.roll()
        self.segments.append(entries)

    def write_term(self, write: PersistTerm) -> None:
        self.write_metadata(term=write.term, voted_for=write.voted_for)

    def write_snapshot(self, write: PersistSnapshot) -> None:
        """Write a snapshot and start a segment behind it.

        One sync of the folder makes both names durable. A crash may keep
        either alone: the snapshot may be newer than the metadata say, and a
        segment that they don't require may exist.
        """
        snapshot = write.snapshot
        write_replacement(self.folder / SNAPSHOT_NAME, snapshot.encode())
        self.roll(snapshot_index=snapshot.index)
        if write.keep_log:
            self.segments.remove_covered(snapshot.index)
        else:
            self.segments.remove_older()

    def roll(self, **changes) -> None:
        """Start a segment and record in the metadata that it must exist."""
        self.segments.roll()
        self.write_metadata(segment=self.segments.newest, **changes)

    def write_metadata(self, **changes) -> None:
        self.metadata = dataclasses.replace(self.metadata, **changes)
        replace_file(self.folder / METADATA_NAME, self.metadata.encode())

    def close(self) -> None:
        self.segments.close()
        if self.lock >= 0:
            os.close(self.lock)
            self.lock = -1


def open_storage(
    folder: pathlib.Path, instance: str
) -> Result[Storage, Problem]:
    """Lock and read a data folder; a Failure carries a repair hint."""
    locked = lock_folder(folder)
    if isinstance(locked, Failure):
        return locked
    lock = locked.unwrap()
    opened = read_folder(folder, instance, lock)
    if isinstance(opened, Failure):
        os.close(lock)
    return opened


def read_folder(
    folder: pathlib.Path, instance: str, lock: int
) -> Result[Storage, Problem]:
    found = open_metadata(folder, instance)
    if isinstance(found, Failure):
        return found
    metadata = found.unwrap()
    read = read_snapshot(folder, metadata)
    if isinstance(read, Failure):
        return read
    snapshot = read.unwrap()
    segments = Segments(folder)
    written = segments.read(metadata.segment)
    if isinstance(written, Failure):
        return written
    replayed = replay(folder, snapshot, written.unwrap())
    if isinstance(replayed, Failure):
        return replayed
    recovered = RecoveredState(
        storage_id=metadata.storage_id,
        term=metadata.term,
        voted_for=metadata.voted_for,
        snapshot=snapshot,
        entries=tuple(replayed.unwrap()),
    )
    storage = Storage(folder, lock, metadata, segments, recovered)
    return remove_replaced_log(storage, written.unwrap())


def read_snapshot(
    folder: pathlib.Path, metadata: Metadata
) -> Result[Snapshot | None, Problem]:
    path = folder / SNAPSHOT_NAME
    if not path.exists():
        if metadata.snapshot_index:
            return damaged_failure(path, 'the snapshot is missing')
        return Success(None)
    try:
        snapshot = Snapshot.decode(path.read_bytes())
    except (OSError, SnapshotError, ValueError) as error:
        return damaged_failure(path, str(error))
    if snapshot.index < metadata.snapshot_index:
        return damaged_failure(
            path, 'the snapshot is older than the metadata says'
        )
    return Success(snapshot)


def replay(
    folder: pathlib.Path, snapshot: Snapshot | None, written: list[LogEntry]
) -> Result[list[LogEntry], Problem]:
    """Return the log entries after the snapshot."""
    base = snapshot.index if snapshot else 0
    kept: list[LogEntry] = []
    for entry in written:
        if entry.index <= base:
            kept.clear()
            continue
        last = kept[-1].index if kept else base
        if entry.index > last + 1:
            detail = f'entry {entry.index} follows entry {last}'
            return damaged_failure(folder, detail)
        del kept[entry.index - base - 1 :]
        kept.append(entry)
    return Success([] if log_was_replaced(snapshot, written) else kept)


def log_was_replaced(
    snapshot: Snapshot | None, written: list[LogEntry]
) -> bool:
    """Return whether an installed snapshot replaced this log.

    A crash may occur after a snapshot was installed and before the old log
    was removed. The terms then differ at the snapshot's index.
    """
    term = None
    for entry in written:
        if snapshot and entry.index <= snapshot.index:
            term = entry.term if entry.index == snapshot.index else None
    return term is not None and term != snapshot.term


def remove_replaced_log(
    storage: Storage, written: list[LogEntry]
) -> Result[Storage, Problem]:
    """Remove a replaced log that a crash left behind."""
    if not log_was_replaced(storage.recovered.snapshot, written):
        return Success(storage)
    try:
        storage.roll()
        storage.segments.remove_older()
    except OSError as error:
        return io_failure(storage.folder, error)
    return Success(storage)
