"""State of the edit form: its document, base version and change id."""

import dataclasses
import json
import uuid

from returns.result import Success

from cyclamenlift.console.forms import Fields
from cyclamenlift.console.forms import FormError
from cyclamenlift.console.forms import list_at
from cyclamenlift.console.forms import value_from_fields
from cyclamenlift.console.views import blank_operation
from cyclamenlift.console.views import blank_service
from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.events.publish_report import FieldProblem
from cyclamenlift.events.request_models import Publication
from cyclamenlift.models.document import document_from_text
from cyclamenlift.models.document import document_from_value
from cyclamenlift.models.document import document_to_bytes

CONTROL_FIELDS = (
    'action',
    'base_version',
    'change_id',
    'operator_name',
    'document_text',
    'kept_parts',
)
# Document parts without form fields: a hidden field carries them unchanged.
# ``source`` is left out, because an edited document differs from its source.
KEPT_PARTS = ('routes', 'caller_limits', 'accounts')


@dataclasses.dataclass(slots=True)
class Draft:
    """Submitted or initial state of the edit form.

    ``change_id`` is kept while the same change is sent again, so that a
    retry after a lost answer does not apply the change twice.
    """

    value: dict
    base_version: int = 0
    change_id: str = ''
    operator_name: str = ''
    action: str = ''
    document_text: str = ''
    problems: tuple[FieldProblem, ...] = ()

    def kept_parts(self) -> str:
        """Return the document parts without form fields, as JSON."""
        kept = {k: self.value[k] for k in KEPT_PARTS if self.value.get(k)}
        return json.dumps(kept)

    def assign_change_id(self) -> None:
        """Assign a new change id, so that the next submit is a new change."""
        self.change_id = str(uuid.uuid4())

    def publication(self) -> Publication:
        """Return the change; raise ValueError if its id is malformed."""
        return Publication(
            document=json.dumps(self.value),
            base_version=self.base_version,
            change_id=self.change_id,
            operator_name=self.operator_name,
        )

    def check(self) -> bool:
        """Validate without publishing; keep the errors for the form."""
        return self.apply_result(document_from_value(self.value))

    def load_text(self) -> bool:
        """Replace the value with the document in ``document_text``."""
        return self.apply_result(document_from_text(self.document_text))

    def apply_result(self, result) -> bool:
        if isinstance(result, Success):
            document = result.unwrap()
            self.value = json.loads(document_to_bytes(document))
            self.problems = ()
            return True
        self.set_problems(
            tuple(FieldProblem(p.where, p.detail) for p in result.failure())
        )
        return False

    def set_problems(self, problems: tuple[FieldProblem, ...]) -> None:
        """Keep the errors, except those of a list that follow from its items.

        A list whose items are all invalid is also reported as too short.
        """
        paths = [problem.path for problem in problems]
        self.problems = tuple(
            problem
            for problem in problems
            if not any(path.startswith(f'{problem.path}[') for path in paths)
        )

    def edit_rows(self) -> bool:
        """Add or remove a row; return False if ``action`` is neither."""
        verb, _, position = self.action.partition(':')
        numbers = [read_unsigned(part) for part in position.split('.')]
        indexes = [number for number in numbers if number is not None]
        services = self.value.setdefault('services', [])
        if verb == 'add-service':
            services.append(blank_service())
        elif verb == 'remove-service' and indexes:
            remove_row(services, indexes[0])
        elif verb == 'add-operation' and indexes:
            if indexes[0] < len(services):
                rows = list_at(services, indexes[0], 'operations')
                services[indexes[0]]['operations'] = rows
                rows.append(blank_operation())
        elif verb == 'remove-operation' and len(indexes) == 2:
            rows = list_at(self.value, 'services', indexes[0], 'operations')
            remove_row(rows, indexes[1])
        else:
            return False
        return True


def parse_kept_parts(text: str) -> dict:
    """Parse the hidden ``kept_parts`` field; raise FormError."""
    try:
        kept = json.loads(text or '{}')
    except ValueError as error:
        raise FormError('kept_parts is not valid JSON') from error
    if not isinstance(kept, dict) or not set(kept) <= set(KEPT_PARTS):
        raise FormError('kept_parts has unknown document parts')
    return kept


def remove_row(rows: list, index: int) -> None:
    if index < len(rows):
        del rows[index]


def draft_from_fields(fields: Fields) -> Draft:
    """Build a draft from form fields; raise FormError."""
    control_values = {
        name: text for name, text in fields if name in CONTROL_FIELDS
    }
    document_fields = [
        field for field in fields if field[0] not in CONTROL_FIELDS
    ]
    base_version = control_values.get('base_version', '')
    base_number = read_unsigned(base_version)
    if base_number is None:
        raise FormError('base_version is not a whole number')
    value = value_from_fields(document_fields)
    value.update(parse_kept_parts(control_values.get('kept_parts', '')))
    draft = Draft(value, base_number)
    draft.change_id = control_values.get('change_id', '')[:128]
    draft.operator_name = control_values.get('operator_name', '')[:128]
    draft.action = control_values.get('action', '')
    draft.document_text = control_values.get('document_text', '')
    services = draft.value.get('services', [])
    if not isinstance(services, list) or not all(
        isinstance(service, dict) for service in services
    ):
        raise FormError('services is not a list of objects')
    return draft
