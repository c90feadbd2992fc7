"""What a replica is told when it is built."""

import dataclasses
import pathlib

from cyclamenlift.core.streams import Address

ELECTION_MS = 600
HEARTBEAT_MS = 100
SNAPSHOT_ENTRIES = 4096


@dataclasses.dataclass(frozen=True, slots=True)
class ReplicaSettings:
    """Names, places and times of one replica.

    ``peers`` names every other control instance with its peer address.
    ``election_ms`` is the shortest time without a leader before an
    election; each wait is drawn between it and its double. ``bootstrap``
    lets an empty folder take part in founding a new cluster, which needs
    every instance; it is harmless in an established one. An instance that
    is no ``founder`` waits until the leader adds it. ``wanted_voters``
    above 0 lets the leader add, replace and remove voters by itself, down
    to that number; ``own_address`` is where the others reach this one.
    """

    instance: str
    folder: pathlib.Path
    peers: dict[str, Address]
    election_ms: int = ELECTION_MS
    heartbeat_ms: int = HEARTBEAT_MS
    snapshot_entries: int = SNAPSHOT_ENTRIES
    bootstrap: bool = False
    founder: bool = True
    own_address: str = ''
    wanted_voters: int = 0
