"""What operators get back: data classes that go out as JSON.

Every report carries the code of its result and the name of the instance
that answered, so that a client learns whom it talked to.
"""

import dataclasses

import pydantic_core

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.events.state import VersionRecord
from cyclamenlift.replication.queries import ReplicaStatus


@dataclasses.dataclass(frozen=True, slots=True)
class FieldProblem:
    """One error of a document: the field's path and the reason."""

    path: str
    detail: str


@dataclasses.dataclass(frozen=True, slots=True)
class PublishReport:
    """What became of a change.

    ``version`` is the version it made, 0 if none; ``leader`` names who
    should be asked instead, where that is known.
    """

    code: ResultCode
    instance: str
    version: int = 0
    current_version: int = 0
    detail: str = ''
    leader: str = ''
    problems: tuple[FieldProblem, ...] = ()

    def summary(self) -> str:
        """Return the first error, or the detail of a change without any."""
        if not self.problems:
            return self.detail
        first = self.problems[0]
        return f'{first.path} {first.detail}'.strip()


@dataclasses.dataclass(frozen=True, slots=True)
class DocumentReport:
    """One version of the document; ``document`` is its canonical JSON.

    ``confirmed`` says that a majority confirmed ``current_version`` when
    this was answered.
    """

    code: ResultCode
    instance: str
    version: int = 0
    current_version: int = 0
    confirmed: bool = False
    document: str = ''
    leader: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class HistoryReport:
    """The newest versions first."""

    code: ResultCode
    instance: str
    current_version: int
    confirmed: bool
    versions: tuple[VersionRecord, ...]
    leader: str = ''


@dataclasses.dataclass(frozen=True, slots=True)
class ControlReport:
    """State of one control instance."""

    code: ResultCode
    kind: str
    instance: str
    data_centre: str
    software: str
    version: int
    claims: int
    ledger_time_ms: int
    replica: ReplicaStatus


@dataclasses.dataclass(frozen=True, slots=True)
class StorageReport:
    """What became of a replacement of a storage."""

    code: ResultCode
    instance: str
    detail: str = ''
    leader: str = ''


def report_to_json(report) -> bytes:
    """Return a report as JSON."""
    return pydantic_core.to_json(report)
