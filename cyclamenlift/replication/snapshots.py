"""Snapshot encoding, the same on disk and on the wire."""

import dataclasses
import json
import struct

from crc32c import crc32c

from cyclamenlift.replication.voters import Configuration

HEAD = struct.Struct('!II')
CHUNK_BYTES = 256 * 1024


class SnapshotError(ValueError):
    """An encoded snapshot is incomplete or damaged."""


@dataclasses.dataclass(frozen=True, slots=True)
class Snapshot:
    """The state machine's state after the entry ``index``.

    ``stamp_unix_ms`` is the time stamp of that entry; ``data`` is the
    serialized state.
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
        """Decode a snapshot; raise SnapshotError if it is damaged."""
        if len(payload) < HEAD.size:
            raise SnapshotError('the snapshot is shorter than its header')
        checksum, header_length = HEAD.unpack_from(payload)
        body = payload[HEAD.size :]
        if crc32c(body) != checksum:
            raise SnapshotError('the checksum of the snapshot does not match')
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
