"""Generate the reference pages from the code: ``python -m tools.reference``.

A test checks that the committed pages match the code.
"""

import pathlib
import types
import typing

import annotated_types
import pydantic

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import PREFIX
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.models.document import EventDocument
from cyclamenlift.models.document import ObjectiveModel
from cyclamenlift.models.document import OperationModel
from cyclamenlift.models.document import ServiceModel
from cyclamenlift.models.routes import CallerLimitsModel
from cyclamenlift.models.routes import RouteModel
from cyclamenlift.models.routes import ShareModel

DOCS = pathlib.Path(__file__).parents[1] / 'docs'
GENERATED_NOTE = 'This page is made by `python -m tools.reference`.\n'

CODES_HEAD = """# Result codes

Every answer carries `Cyclamenlift-Result: <code>`. The thousands say what
may be done next.

| range | meaning |
|---|---|
| 1xxx | answered |
| 2xxx | **not run**: safe to try again |
| 3xxx | **outcome unknown**: ask with the same `Idempotency-Key` |
| 4xxx | the request is wrong; it was not run |
| 5xxx | operators' changes |
| 6xxx | settings and documents |
| 7xxx | storage |
| 8xxx | frames between processes |

"""

SETTINGS_HEAD = """# Settings

A setting is a flag (`--slots=6`) or an environment variable
(`CYCLAMENLIFT_SLOTS=6`); the flag wins. Lists are given with commas.
`cyclamenlift check` lists every wrong one at once.

"""

DOCUMENT_HEAD = """# The event document

One YAML or JSON document is the whole configuration. Fields that are not
listed here are refused. Units stand in the names.

"""


def codes_page() -> str:
    rows = [
        '| code | name | HTTP | title | what to do |',
        '|---|---|---|---|---|',
    ]
    for code in ResultCode:
        info = describe(code)
        rows.append(
            f'| {int(code)} | {code.name} | {info.status or "-"} '
            f'| {info.title} | {info.hint} |'
        )
    return CODES_HEAD + GENERATED_NOTE + '\n' + '\n'.join(rows) + '\n'


def settings_page() -> str:
    parts = [SETTINGS_HEAD, GENERATED_NOTE]
    for title, kind in (
        ('Daemon', DaemonSettings),
        ('Control instance', ControlSettings),
    ):
        parts.append(f'\n## {title}\n\n')
        parts.append('| flag | variable | default | limits | meaning |\n')
        parts.append('|---|---|---|---|---|\n')
        for name, field in kind.model_fields.items():
            parts.append(
                f'| `--{name}` | `{PREFIX}{name.upper()}` '
                f'| {format_default(field)} | {format_constraints(field)} '
                f'| {field.description} |\n'
            )
    return ''.join(parts)


def document_page() -> str:
    parts = [DOCUMENT_HEAD, GENERATED_NOTE]
    for title, kind in (
        ('Event', EventDocument),
        ('services[]', ServiceModel),
        ('services[].operations[]', OperationModel),
        ('services[].objective', ObjectiveModel),
        ('routes[]', RouteModel),
        ('routes[].shares[]', ShareModel),
        ('caller_limits', CallerLimitsModel),
    ):
        parts.append(f'\n## {title}\n\n| field | default | limits ')
        parts.append('| meaning |\n|---|---|---|---|\n')
        for name, field in kind.model_fields.items():
            parts.append(
                f'| `{name}` | {format_default(field)} '
                f'| {format_constraints(field)} | {field.description} |\n'
            )
    parts.append(
        '\nA call that matches no operation counts as idempotent for GET, '
        'HEAD and\nOPTIONS only.\n'
    )
    return ''.join(parts)


def format_default(field) -> str:
    """Return a field's default as a table cell."""
    if field.is_required():
        return 'required'
    value = field.default
    if value in ('', ()):
        return 'none'
    if isinstance(value, pydantic.BaseModel):
        return f'`{value.model_dump_json()}`'
    if isinstance(value, tuple):
        value = ','.join(value)
    return f'`{value}`'


def format_constraints(field) -> str:
    """Return the constraints of a field's value as a table cell."""
    found = [format_bound(item) for item in field.metadata]
    kind = field.annotation
    if typing.get_origin(kind) is typing.Literal:
        found.append(', '.join(f'`{v}`' for v in typing.get_args(kind)))
    elif kind is bool:
        found.append('`true`, `false`')
    elif isinstance(kind, types.GenericAlias | types.UnionType):
        found.append('a list')
    return '; '.join(text for text in found if text)


def format_bound(item) -> str:
    if isinstance(item, annotated_types.Ge):
        return f'from {item.ge}'
    if isinstance(item, annotated_types.Gt):
        return f'over {item.gt}'
    if isinstance(item, annotated_types.Le):
        return f'to {item.le}'
    if isinstance(item, annotated_types.Lt):
        return f'under {item.lt}'
    return ''


PAGES = {
    'result-codes.md': codes_page,
    'reference/settings.md': settings_page,
    'reference/event-document.md': document_page,
}


def main() -> None:
    for name, render in PAGES.items():
        (DOCS / name).write_text(render())


if __name__ == '__main__':
    main()
