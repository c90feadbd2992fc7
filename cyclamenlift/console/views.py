"""View models of the edit form: fields with labels, hints and errors."""

import dataclasses
from typing import get_args
from typing import get_origin
from typing import Literal

import pydantic

from cyclamenlift.console.forms import format_value
from cyclamenlift.console.forms import list_at
from cyclamenlift.console.forms import text_at
from cyclamenlift.events.publish_report import FieldProblem
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import ObjectiveModel
from cyclamenlift.models.document import OMITTED_IF_UNSET
from cyclamenlift.models.document import OperationModel
from cyclamenlift.models.document import ServiceModel

UNITS = {
    '_ms': 'ms',
    '_percent': '%',
    '_per_second': 'per second',
    '_bytes': 'bytes',
}
BASIC_FIELDS = ('name', 'targets', 'data_centres', 'deadline_ms', 'policy')
NESTED_FIELDS = ('operations', 'objective')
HINTS = {
    'event': 'lower-case letters, digits, dots and dashes',
    'starts_at': 'with its offset, such as 2026-12-02T06:00:00+03:00',
    'ends_at': 'with its offset',
    'targets': 'names or patterns with *, separated by commas',
    'data_centres': 'separated by commas; empty: all',
    'deadline_ms': 'time limit for an answer to the caller',
    'upload_deadline_ms': 'for requests with a large body',
    'policy': 'how a target is chosen',
    'max_tries': 'attempts of a call that is known not to have run',
    'retry_budget_percent': 'retries, as a share of first attempts',
    'hedge': 'parallel second attempt of a slow idempotent call',
    'queue_limit': 'waiting calls at each target, at most',
    'probe_budget_per_second': 'at each target, enforced by its daemon',
    'ejection_percent': 'share of targets ejected at a time, at most',
    'slow_start_ms': 'time until a new target gets its full share',
    'cold_start_ms': 'for targets that do not report it themselves',
    'cold_calls_per_second': 'that a cold target bears; 0: no limit',
    'path': 'a trailing * matches every path with this prefix',
    'idempotent': 'safe to run more than once',
    'latency_ms': 'slower calls miss the objective',
    'percent': 'share of calls that should meet the objective',
}
# Document parts that are shown elsewhere in the form or kept unchanged.
SKIPPED_FIELDS = (
    'services',
    'routes',
    'caller_limits',
    'accounts',
    'source',
)


@dataclasses.dataclass(frozen=True, slots=True)
class FieldView:
    """One input field; ``options`` is empty for free text."""

    path: str
    label: str
    text: str
    hint: str = ''
    error: str = ''
    options: tuple[str, ...] = ()
    numeric: bool = False

    @property
    def element_id(self) -> str:
        return 'f-' + self.path.replace('[', '-').replace(']', '')


@dataclasses.dataclass(frozen=True, slots=True)
class OperationView:
    """One operation of a service."""

    number: int
    fields: tuple[FieldView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """One service, with its basic and its advanced settings."""

    number: int
    title: str
    basic: tuple[FieldView, ...]
    advanced: tuple[FieldView, ...]
    objective: tuple[FieldView, ...]
    operations: tuple[OperationView, ...]

    @property
    def advanced_has_errors(self) -> bool:
        return any(field.error for field in (*self.advanced, *self.objective))


@dataclasses.dataclass(frozen=True, slots=True)
class FormView:
    """The whole form; ``errors`` are those without a field of their own."""

    event_fields: tuple[FieldView, ...]
    services: tuple[ServiceView, ...]
    errors: tuple[FieldProblem, ...]


class FormBuilder:
    """Builds the form view of a document value and its errors."""

    def __init__(self, value: dict, problems: tuple[FieldProblem, ...]):
        self.value = value
        self.problems = problems
        self.errors = {p.path: p.detail for p in problems}
        self.shown: set[str] = set()

    def build(self) -> FormView:
        event_fields = self.fields(EventDocument, '', skip=SKIPPED_FIELDS)
        rows = list_at(self.value, 'services')
        services = tuple(self.service(n) for n in range(len(rows)))
        unmatched = tuple(p for p in self.problems if p.path not in self.shown)
        return FormView(event_fields, services, unmatched)

    def service(self, number: int) -> ServiceView:
        prefix = f'services[{number}].'
        fields = self.fields(ServiceModel, prefix, skip=NESTED_FIELDS)
        basic_paths = {prefix + name for name in BASIC_FIELDS}
        rows = list_at(self.value, 'services', number, 'operations')
        return ServiceView(
            number,
            text_at(self.value, f'{prefix}name') or 'new service',
            tuple(field for field in fields if field.path in basic_paths),
            tuple(field for field in fields if field.path not in basic_paths),
            self.fields(ObjectiveModel, f'{prefix}objective.'),
            tuple(self.operation(prefix, n) for n in range(len(rows))),
        )

    def operation(self, prefix: str, number: int) -> OperationView:
        path = f'{prefix}operations[{number}].'
        return OperationView(number, self.fields(OperationModel, path))

    def fields(
        self,
        model: type[pydantic.BaseModel],
        prefix: str,
        skip: tuple[str, ...] = (),
    ) -> tuple[FieldView, ...]:
        """Return the view of each field of a model."""
        return tuple(
            self.field(name, info, prefix)
            for name, info in model.model_fields.items()
            if name not in skip
        )

    def field(self, name: str, info, prefix: str) -> FieldView:
        path = prefix + name
        self.shown.add(path)
        return FieldView(
            path,
            label_of(name),
            self.text(name, info, path),
            HINTS.get(name, ''),
            self.error_at(path),
            options_of(info.annotation),
            info.annotation in (int, float),
        )

    def text(self, name: str, info, path: str) -> str:
        """Return the text of a field, the default of an omitted one."""
        text = text_at(self.value, path)
        if not text and name in OMITTED_IF_UNSET:
            return format_value(info.default)
        return text

    def error_at(self, path: str) -> str:
        """Return the error of a field or of one of its list items."""
        for place, detail in self.errors.items():
            if place == path or place.startswith(path + '['):
                self.shown.add(place)
                return detail
        return ''


def label_of(name: str) -> str:
    """Return the label of a field, with its unit.

    >>> label_of('slow_start_ms'), label_of('max_tries')
    ('slow start (ms)', 'max tries')
    """
    for suffix, unit in UNITS.items():
        if name.endswith(suffix):
            return f'{name[: -len(suffix)].replace("_", " ")} ({unit})'
    return name.replace('_', ' ')


def options_of(annotation) -> tuple[str, ...]:
    """Return the choices of a field, none for free text."""
    if annotation is bool:
        return ('true', 'false')
    if get_origin(annotation) is Literal:
        return get_args(annotation)
    return ()


def blank_service() -> dict:
    """Return a service with the default settings."""
    return {
        'name': '',
        **ServiceModel.model_construct(name='').model_dump(
            mode='json', exclude={'name'}
        ),
    }


def blank_operation() -> dict:
    """Return a new, non-idempotent operation."""
    return {'method': 'POST', 'path': '/*', 'idempotent': False}


def blank_document() -> dict:
    """Return the document value of an empty form."""
    return {
        'event': '',
        'starts_at': '',
        'ends_at': '',
        'services': [blank_service()],
    }
