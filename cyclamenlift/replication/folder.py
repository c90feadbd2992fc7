"""The data folder: lock, metadata and atomic file replacement."""

import dataclasses
import errno
import fcntl
import json
import os
import pathlib
import uuid

from crc32c import crc32c
from returns.result import Failure
from returns.result import Result
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

LOCK_NAME = 'lock'
METADATA_NAME = 'metadata.json'
SNAPSHOT_NAME = 'snapshot'
LOG_PREFIX = 'log-'
NEW_SUFFIX = '.new'
REPAIR_HINT = (
    'Stop this instance, move the folder away, start with an empty one, '
    'then replace the storage of this instance on the leader.'
)


@dataclasses.dataclass(frozen=True, slots=True)
class Metadata:
    """Owner and storage id of the folder, current term and vote.

    ``segment`` and ``snapshot_index`` identify files that must exist, so
    that a file removed by hand is detected.
    """

    instance: str
    storage_id: str
    term: int = 0
    voted_for: str = ''
    segment: int = 0
    snapshot_index: int = 0

    def encode(self) -> bytes:
        """Return a line of JSON followed by a line with its checksum."""
        line = json.dumps(dataclasses.asdict(self), sort_keys=True).encode()
        return line + b'\n%08x\n' % crc32c(line)

    @classmethod
    def decode(cls, data: bytes) -> 'Metadata':
        """Decode metadata; raise ValueError if it is damaged."""
        line, _, checksum = data.partition(b'\n')
        if int(checksum, 16) != crc32c(line):
            raise ValueError('the checksum of the metadata does not match')
        return cls(**json.loads(line))


def damaged_failure(path: pathlib.Path, detail: str) -> Failure:
    problem = Problem(
        ResultCode.STORAGE_DAMAGED, detail, str(path), hint=REPAIR_HINT
    )
    return Failure(problem)


def sync_folder(folder: pathlib.Path) -> None:
    """Sync directory entries: created, renamed and removed files."""
    descriptor = os.open(folder, os.O_RDONLY | os.O_DIRECTORY)
    try:
        os.fsync(descriptor)
    finally:
        os.close(descriptor)


def write_all(descriptor: int, data: bytes) -> None:
    view = memoryview(data)
    while view:
        view = view[os.write(descriptor, view) :]


def replace_file(path: pathlib.Path, data: bytes) -> None:
    """Replace a file atomically and durably."""
    write_replacement(path, data)
    sync_folder(path.parent)


def write_replacement(path: pathlib.Path, data: bytes) -> None:
    """Replace a file; durable once the folder is synced.

    Until then a crash leaves the old file or the new one.
    """
    new = path.with_name(path.name + NEW_SUFFIX)
    flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC
    descriptor = os.open(new, flags, 0o600)
    try:
        write_all(descriptor, data)
        os.fsync(descriptor)
    finally:
        os.close(descriptor)
    os.replace(new, path)


def lock_folder(folder: pathlib.Path) -> Result[int, Problem]:
    """Take the folder's exclusive lock; return its file descriptor."""
    try:
        folder.mkdir(parents=True, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT
        descriptor = os.open(folder / LOCK_NAME, flags, 0o600)
    except OSError as error:
        return io_failure(folder, error)
    try:
        fcntl.flock(descriptor, fcntl.LOCK_EX | fcntl.LOCK_NB)
    except OSError as error:
        os.close(descriptor)
        if error.errno not in (errno.EWOULDBLOCK, errno.EACCES):
            return io_failure(folder, error)
        return Failure(Problem(ResultCode.STORAGE_IN_USE, where=str(folder)))
    return Success(descriptor)


def io_failure(path: pathlib.Path, error: OSError) -> Failure:
    return Failure(Problem(ResultCode.STORAGE_FAILED, str(error), str(path)))


def open_metadata(
    folder: pathlib.Path, instance: str
) -> Result[Metadata, Problem]:
    """Read the metadata; a new folder gets a new storage id."""
    path = folder / METADATA_NAME
    if not path.exists():
        return create_metadata(folder, instance)
    try:
        metadata = Metadata.decode(path.read_bytes())
    except (ValueError, TypeError) as error:
        return damaged_failure(path, str(error))
    except OSError as error:
        return io_failure(path, error)
    if metadata.instance != instance:
        detail = f'the folder belongs to instance {metadata.instance!r}'
        problem = Problem(ResultCode.STORAGE_FOREIGN, detail, str(folder))
        return Failure(problem)
    return Success(metadata)


def create_metadata(
    folder: pathlib.Path, instance: str
) -> Result[Metadata, Problem]:
    leftovers = [p for p in folder.iterdir() if is_state_file(p)]
    if leftovers:
        detail = f'{leftovers[0].name} exists but {METADATA_NAME} is missing'
        return damaged_failure(folder, detail)
    metadata = Metadata(instance, str(uuid.uuid4()))
    try:
        replace_file(folder / METADATA_NAME, metadata.encode())
        sync_folder(folder.parent)
    except OSError as error:
        return io_failure(folder, error)
    return Success(metadata)


def is_state_file(path: pathlib.Path) -> bool:
    name = path.name
    return name == SNAPSHOT_NAME or name.startswith(LOG_PREFIX)
