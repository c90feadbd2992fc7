"""The event document as the daemons use it: data classes with lookups."""

import dataclasses
import fnmatch

from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import ServiceModel

SAFE_METHODS = ('GET', 'HEAD', 'OPTIONS')
MILLISECONDS = 1000.0


@dataclasses.dataclass(frozen=True, slots=True)
class OperationRule:
    """Whether calls of one method and path may be repeated."""

    method: str
    path: str
    idempotent: bool

    def matches(self, method: str, path: str) -> bool:
        if method != self.method:
            return False
        if self.path.endswith('*'):
            return path.startswith(self.path[:-1])
        return path == self.path


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceRule:
    """One service's limits; times in seconds, shares as fractions."""

    name: str
    targets: tuple[str, ...]
    data_centres: tuple[str, ...]
    call_seconds: float
    upload_seconds: float
    policy: str
    max_tries: int
    retry_share: float
    hedge: bool
    queue_limit: int
    probes_per_second: float
    ejection_share: float
    slow_start_seconds: float
    max_body_bytes: int
    whole_answer_bytes: int
    operations: tuple[OperationRule, ...]
    objective_seconds: float
    objective_share: float

    def is_idempotent(self, method: str, path: str) -> bool:
        """Tell whether a call may run twice without harm."""
        bare = path.partition('?')[0]
        for operation in self.operations:
            if operation.matches(method, bare):
                return operation.idempotent
        return method in SAFE_METHODS

    def allows_target(self, name: str, data_centre: str) -> bool:
        """Tell whether a target may carry this service."""
        if self.data_centres and data_centre not in self.data_centres:
            return False
        return any(fnmatch.fnmatchcase(name, glob) for glob in self.targets)


@dataclasses.dataclass(frozen=True, slots=True)
class EventRules:
    """The document in force, with its version."""

    version: int
    event: str
    starts_unix_ms: int
    ends_unix_ms: int
    services: dict[str, ServiceRule]


def rules_from_document(document: EventDocument, version: int) -> EventRules:
    """Return the inside form of a validated document."""
    return EventRules(
        version=version,
        event=document.event,
        starts_unix_ms=int(document.starts_at.timestamp() * MILLISECONDS),
        ends_unix_ms=int(document.ends_at.timestamp() * MILLISECONDS),
        services={s.name: rule_of(s) for s in document.services},
    )


def rule_of(service: ServiceModel) -> ServiceRule:
    """Return the inside form of one service."""
    return ServiceRule(
        name=service.name,
        targets=service.targets,
        data_centres=service.data_centres,
        call_seconds=service.deadline_ms / MILLISECONDS,
        upload_seconds=service.upload_deadline_ms / MILLISECONDS,
        policy=service.policy,
        max_tries=service.max_tries,
        retry_share=service.retry_budget_percent / 100.0,
        hedge=service.hedge,
        queue_limit=service.queue_limit,
        probes_per_second=service.probe_budget_per_second,
        ejection_share=service.ejection_percent / 100.0,
        slow_start_seconds=service.slow_start_ms / MILLISECONDS,
        max_body_bytes=service.max_body_bytes,
        whole_answer_bytes=service.whole_answer_bytes,
        operations=tuple(
            OperationRule(o.method, o.path, o.idempotent)
            for o in service.operations
        ),
        objective_seconds=service.objective.latency_ms / MILLISECONDS,
        objective_share=service.objective.percent / 100.0,
    )
