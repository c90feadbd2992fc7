"""The edit form as it travels: its document, base version and change id."""

import dataclasses
import json
import uuid

from returns.result import Success

from cyclamenlift.console.forms import Fields
from cyclamenlift.console.forms import FormError
from cyclamenlift.console.forms import rows_at
from cyclamenlift.console.forms import value_from_fields
from cyclamenlift.console.views import blank_operation
from cyclamenlift.console.views import blank_service
from cyclamenlift.events.reports import FieldProblem
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
# Parts without fields of their own: they travel with the form unchanged.
# The source is not among them, for an edited document no longer is it.
KEPT_PARTS = ('routes', 'caller_limits')
MAX_DIGITS = 18


@dataclasses.dataclass(slots=True)
class Draft:
    """One state of the form.

    ``change_id`` stays the same while the same change is sent again, so
    that a lost answer can be asked for once more without a second change.
    """

    value: dict
    base_version: int = 0
    change_id: str = ''
    operator_name: str = ''
    action: str = ''
    document_text: str = ''
    problems: tuple[FieldProblem, ...] = ()

    def kept_parts(self) -> str:
        """Return, as JSON, the parts that the form does not show."""
        kept = {k: self.value[k] for k in KEPT_PARTS if self.value.get(k)}
        return json.dumps(kept)

    def renew(self) -> None:
        """Make the next sending another change."""
        self.change_id = str(uuid.uuid4())

    def publication(self) -> Publication:
        """Return the change; raises ValueError when its id is malformed."""
        return Publication(
            document=json.dumps(self.value),
            base_version=self.base_version,
            change_id=self.change_id,
            operator_name=self.operator_name,
        )

    def check(self) -> bool:
        """Validate without publishing; note the errors."""
        return self.take(document_from_value(self.value))

    def take_text(self) -> bool:
        """Replace the value by the document in ``document_text``."""
        return self.take(document_from_text(self.document_text))

    def take(self, result) -> bool:
        if isinstance(result, Success):
            document = result.unwrap()
            self.value = json.loads(document_to_bytes(document))
            self.problems = ()
            return True
        self.note(
            tuple(FieldProblem(p.where, p.detail) for p in result.failure())
        )
        return False

    def note(self, problems: tuple[FieldProblem, ...]) -> None:
        """Keep the errors, but none of a list that only follows from them.

        A list whose items are all wrong is reported as too short as well.
        """
        paths = [problem.path for problem in problems]
        self.problems = tuple(
            problem
            for problem in problems
            if not any(path.startswith(f'{problem.path}[') for path in paths)
        )

    def edit_rows(self) -> bool:
        """Add or remove a row as ``action`` says; False if it says else."""
        word, _, place = self.action.partition(':')
        numbers = [int(p) for p in place.split('.') if p.isdigit()]
        services = self.value.setdefault('services', [])
        if word == 'add-service':
            services.append(blank_service())
        elif word == 'remove-service' and numbers:
            drop_row(services, numbers[0])
        elif word == 'add-operation' and numbers:
            if numbers[0] < len(services):
                rows = rows_at(services, numbers[0], 'operations')
                services[numbers[0]]['operations'] = rows
                rows.append(blank_operation())
        elif word == 'remove-operation' and len(numbers) == 2:
            rows = rows_at(self.value, 'services', numbers[0], 'operations')
            drop_row(rows, numbers[1])
        else:
            return False
        return True


def read_kept(text: str) -> dict:
    """Return the parts that travelled with a form; raises FormError."""
    try:
        kept = json.loads(text or '{}')
    except ValueError as error:
        raise FormError('the kept parts are no JSON') from error
    if not isinstance(kept, dict) or not set(kept) <= set(KEPT_PARTS):
        raise FormError('the kept parts are none of a document')
    return kept


def drop_row(rows: list, number: int) -> None:
    if number < len(rows):
        del rows[number]


def draft_from_fields(fields: Fields) -> Draft:
    """Return the draft that a form describes; raises FormError."""
    given = {name: text for name, text in fields if name in CONTROL_FIELDS}
    rest = [field for field in fields if field[0] not in CONTROL_FIELDS]
    base = given.get('base_version', '')
    if not (base.isascii() and base.isdigit()) or len(base) > MAX_DIGITS:
        raise FormError('the base version is no whole number')
    value = value_from_fields(rest)
    value.update(read_kept(given.get('kept_parts', '')))
    draft = Draft(value, int(base))
    draft.change_id = given.get('change_id', '')[:128]
    draft.operator_name = given.get('operator_name', '')[:128]
    draft.action = given.get('action', '')
    draft.document_text = given.get('document_text', '')
    services = draft.value.get('services', [])
    if not isinstance(services, list) or not all(
        isinstance(service, dict) for service in services
    ):
        raise FormError('the services are no list')
    return draft
