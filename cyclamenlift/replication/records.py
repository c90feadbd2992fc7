"""Log file records: one per sync, with a checksum.

A record holds every entry that one sync made durable, as a thrift
``AppendRequest``. It is written only after the previous record was synced,
so an invalid record is an unfinished last write if, and only if, no valid
record follows it.
"""

from collections.abc import Iterable
import dataclasses
import struct

from crc32c import crc32c

from cyclamenlift.wire.codec import decode_struct
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.gen.protocol.ttypes import AppendRequest
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

MAGIC = b'CLr1'
HEAD = struct.Struct('!4sII')


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """The entries of one record and the offset of the next one."""

    entries: list[LogEntry]
    end: int


def encode_record(entries: Iterable[LogEntry]) -> bytes:
    """Return a record: magic, length, checksum and entries."""
    payload = encode_struct(AppendRequest(entries=list(entries)))
    return HEAD.pack(MAGIC, len(payload), crc32c(payload)) + payload


def read_record(data: bytes, offset: int) -> Record | None:
    """Return the valid record at ``offset``, None if there is none."""
    if len(data) - offset < HEAD.size:
        return None
    magic, length, checksum = HEAD.unpack_from(data, offset)
    start = offset + HEAD.size
    payload = data[start : start + length]
    if magic != MAGIC or len(payload) < length:
        return None
    if crc32c(payload) != checksum:
        return None
    try:
        entries = decode_struct(AppendRequest, payload).entries
    except FrameError:
        return None
    return Record(entries or [], start + length)


def record_follows(data: bytes, offset: int) -> bool:
    """Return whether a valid record begins after ``offset``."""
    found = data.find(MAGIC, offset + 1)
    while found >= 0:
        if read_record(data, found) is not None:
            return True
        found = data.find(MAGIC, found + 1)
    return False
