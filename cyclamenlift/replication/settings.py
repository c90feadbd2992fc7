"""Settings of a replica."""

import dataclasses
import pathlib

from cyclamenlift.core.streams import Address
from cyclamenlift.replication.state import SNAPSHOT_BYTES

ELECTION_MS = 600
HEARTBEAT_MS = 100
SNAPSHOT_ENTRIES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Settings of one replica.

    ``peers`` maps every other control instance to its peer address.
    ``election_ms`` is the minimum election timeout; each timeout is random
    between it and its double. ``bootstrap`` lets an empty folder take part
    in forming a new cluster, which needs every instance, or after
    ``founding_seconds`` (0: never) a majority of them; it has no effect in an
    established one. An instance that is not a ``founder`` waits until
    the leader adds it. With ``wanted_voters`` above 0 the leader adds,
    replaces and removes voters by itself, down to that number. A snapshot is
    taken after ``snapshot_entries`` entries or ``snapshot_bytes`` bytes of
    commands. ``own_address`` is the address at which peers reach this
    instance.
    """

    instance: str
    folder: pathlib.Path
    peers: dict[str, Address]
    election_ms: int = ELECTION_MS
    heartbeat_ms: int = HEARTBEAT_MS
    snapshot_entries: int = SNAPSHOT_ENTRIES
    snapshot_bytes: int = SNAPSHOT_BYTES
    bootstrap: bool = False
    founder: bool = True
    own_address: str = ''
    wanted_voters: int = 0
    founding_seconds: float = 0.0
