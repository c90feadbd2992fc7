"""Responses to operators, serialized as JSON.

Every report contains the result code and the name of the instance that
answered, so that clients can tell instances apart.
"""

import dataclasses

import pydantic_core

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.evacuations import EvacuationRecord
from cyclamenlift.events.state import VersionRecord
from cyclamenlift.replication.queries import ReplicaStatus


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentReport:
    """One version of the document; ``document`` is its canonical JSON.

    ``confirmed`` means that a majority had confirmed ``current_version`` at
    the time of the answer.
    """

    code: ResultCode
    instance: str
    version: int = 0
    current_version: int = 0
    confirmed: bool = False
    document: str = ''
    leader: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class EvacuationReport:
    """The evacuated data centres and the revision of this state."""

    code: ResultCode
    instance: str
    revision: int
    confirmed: bool
    evacuated: tuple[EvacuationRecord, ...]
    data_centres: tuple[str, ...]
    leader: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryReport:
    """The version records, newest first."""

    code: ResultCode
    instance: str
    current_version: int
    confirmed: bool
    versions: tuple[VersionRecord, ...]
    leader: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ControlReport:
    """The state of one control instance."""

    code: ResultCode
    kind: str
    instance: str
    data_centre: str
    software: str
    version: int
    claims: int
    ledger_time_ms: int
    replica: ReplicaStatus
    evacuated: tuple[str, ...] = ()


@dataclasses.dataclass(frozen=True, slots=True)
class StorageReport:
    """The outcome of a storage replacement."""

    code: ResultCode
    instance: str
    detail: str = ''
    leader: str = ''


def report_to_json(report) -> bytes:
    """Serialize a report as JSON."""
    return pydantic_core.to_json(report)
