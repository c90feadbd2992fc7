"""Snapshots: their bytes, which are the same on disk and on the wire."""

import dataclasses
import json
import struct

from crc32c import crc32c

from cyclamenlift.replication.voters import Configuration

HEAD = struct.Struct('!II')
CHUNK_BYTES = 256 * 1024


class SnapshotError(ValueError):
    """The bytes are no whole snapshot."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The machine's state after the entry ``index``.

    ``stamp_unix_ms`` is the time stamp of that entry; ``data`` is what the
    machine returned.
    """

    index: int
    term: int
    stamp_unix_ms: int
    configuration: Configuration | None
    data: bytes = dataclasses.field(repr=False)

    def encode(self) -> bytes:
        """Return checksum, header length, header (JSON) and data."""
        header = json.dumps(self.header(), sort_keys=True).encode()
        body = header + self.data
        return HEAD.pack(crc32c(body), len(header)) + body

    def header(self) -> dict:
        configuration = self.configuration
        return {
            'index': self.index,
            'term': self.term,
            'stamp_unix_ms': self.stamp_unix_ms,
            'configuration_index': configuration.index if configuration else 0,
            'storage_ids': configuration.storage_ids if configuration else {},
            'addresses': configuration.addresses if configuration else {},
        }

    @classmethod
    def decode(cls, payload: bytes) -> 'Snapshot':
        """Read a snapshot; raise SnapshotError when it is not whole."""
        if len(payload) < HEAD.size:
            raise SnapshotError('too short')
        checksum, header_length = HEAD.unpack_from(payload)
        body = payload[HEAD.size :]
        if crc32c(body) != checksum:
            raise SnapshotError('the checksum differs')
        header = json.loads(body[:header_length])
        storage_ids = header['storage_ids']
        configuration = Configuration(
            header['configuration_index'],
            storage_ids,
            addresses=header.get('addresses', {}),
        )
        return cls(
            index=header['index'],
            term=header['term'],
            stamp_unix_ms=header['stamp_unix_ms'],
            configuration=configuration if storage_ids else None,
            data=body[header_length:],
        )
