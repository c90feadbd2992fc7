"""What the templates show of a form: fields with labels and errors."""

import dataclasses
from typing import get_args
from typing import get_origin
from typing import Literal

import pydantic

from cyclamenlift.console.forms import rows_at
from cyclamenlift.console.forms import text_at
from cyclamenlift.events.reports import FieldProblem
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import ObjectiveModel
from cyclamenlift.models.document import OperationModel
from cyclamenlift.models.document import ServiceModel

UNITS = {
    '_ms': 'ms',
    '_percent': '%',
    '_per_second': 'per second',
    '_bytes': 'bytes',
}
BASIC = ('name', 'targets', 'data_centres', 'deadline_ms', 'policy')
GROUPS = ('operations', 'objective')
HINTS = {
    'event': 'lower-case letters, digits, dots and dashes',
    'starts_at': 'with its offset, such as 2026-12-02T06:00:00+03:00',
    'ends_at': 'with its offset',
    'targets': 'names or patterns with *, separated by commas',
    'data_centres': 'separated by commas; empty: all',
    'deadline_ms': 'a caller has its answer by then',
    'upload_deadline_ms': 'for requests with a large body',
    'policy': 'how a target is chosen',
    'max_tries': 'tries of a call that was proven not run',
    'retry_budget_percent': 'repeated tries, of all first tries',
    'hedge': 'a second try in parallel for a slow idempotent call',
    'queue_limit': 'calls that wait at one target',
    'probe_budget_per_second': 'at each target; its daemon holds to it alone',
    'ejection_percent': 'of the targets, at most, at one time',
    'slow_start_ms': 'until a fresh target gets its full share',
    'path': 'ends in * for all that begins so',
    'idempotent': 'may run twice without harm',
    'latency_ms': 'a call counts as good up to here',
    'percent': 'of the calls should be good',
}
# Parts of the document that the form shows elsewhere or carries along.
WITHOUT_FIELDS = ('services', 'routes', 'caller_limits', 'source')


@dataclasses.dataclass(frozen=True, slots=True)
class FieldView:
    """One input; ``options`` is empty for a free text."""

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
    """One row of a service's operations."""

    number: int
    fields: tuple[FieldView, ...]


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceView:
    """One service: what is set always, and what seldom."""

    number: int
    title: str
    basic: tuple[FieldView, ...]
    more: tuple[FieldView, ...]
    objective: tuple[FieldView, ...]
    operations: tuple[OperationView, ...]

    @property
    def more_is_wrong(self) -> bool:
        return any(field.error for field in (*self.more, *self.objective))


@dataclasses.dataclass(frozen=True, slots=True)
class FormView:
    """The whole form; ``errors`` are those that belong to no field."""

    head: tuple[FieldView, ...]
    services: tuple[ServiceView, ...]
    errors: tuple[FieldProblem, ...]


class FormBuilder:
    """Builds the view of one document value and its errors."""

    def __init__(self, value: dict, problems: tuple[FieldProblem, ...]):
        self.value = value
        self.problems = problems
        self.errors = {p.path: p.detail for p in problems}
        self.shown: set[str] = set()

    def build(self) -> FormView:
        head = self.fields(EventDocument, '', skip=WITHOUT_FIELDS)
        rows = rows_at(self.value, 'services')
        services = tuple(self.service(n) for n in range(len(rows)))
        left = tuple(p for p in self.problems if p.path not in self.shown)
        return FormView(head, services, left)

    def service(self, number: int) -> ServiceView:
        prefix = f'services[{number}].'
        fields = self.fields(ServiceModel, prefix, skip=GROUPS)
        short = {prefix + name for name in BASIC}
        rows = rows_at(self.value, 'services', number, 'operations')
        return ServiceView(
            number,
            text_at(self.value, f'{prefix}name') or 'new service',
            tuple(field for field in fields if field.path in short),
            tuple(field for field in fields if field.path not in short),
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
        """Return a view of each field of a model."""
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
            text_at(self.value, path),
            HINTS.get(name, ''),
            self.error_at(path),
            options_of(info.annotation),
            info.annotation in (int, float),
        )

    def error_at(self, path: str) -> str:
        """Return the error of a field or of an item in its list."""
        for place, detail in self.errors.items():
            if place == path or place.startswith(path + '['):
                self.shown.add(place)
                return detail
        return ''


def label_of(name: str) -> str:
    """Return a label with its unit.

    >>> label_of('slow_start_ms'), label_of('max_tries')
    ('slow start (ms)', 'max tries')
    """
    for suffix, unit in UNITS.items():
        if name.endswith(suffix):
            return f'{name[: -len(suffix)].replace("_", " ")} ({unit})'
    return name.replace('_', ' ')


def options_of(annotation) -> tuple[str, ...]:
    """Return the choices of a field, none for a free one."""
    if annotation is bool:
        return ('true', 'false')
    if get_origin(annotation) is Literal:
        return get_args(annotation)
    return ()


def blank_service() -> dict:
    """Return a service with the defaults of the document."""
    return {
        'name': '',
        **ServiceModel.model_construct(name='').model_dump(
            mode='json', exclude={'name'}
        ),
    }


def blank_operation() -> dict:
    """Return an operation that may not be repeated."""
    return {'method': 'POST', 'path': '/*', 'idempotent': False}


def blank_document() -> dict:
    """Return the value that an empty form starts from."""
    return {
        'event': '',
        'starts_at': '',
        'ends_at': '',
        'services': [blank_service()],
    }
