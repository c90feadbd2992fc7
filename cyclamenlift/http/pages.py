"""Query and form parsing and responses for ``circuits.web`` controllers."""

from collections.abc import Callable
import dataclasses
import json
from typing import TYPE_CHECKING
from urllib.parse import parse_qsl

from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.response import problem_body
from cyclamenlift.http.response import problem_headers
from cyclamenlift.http.response import problem_status

if TYPE_CHECKING:
    from circuits.web.wrappers import Request

MAX_FORM_FIELDS = 20_000
HTML = 'text/html; charset=utf-8'
JSON = 'application/json'


@dataclasses.dataclass(frozen=True, slots=True)
class WebResponse:
    """Response returned by a controller."""

    body: bytes
    status: int = 200
    content_type: str = HTML
    headers: tuple[tuple[str, str], ...] = ()


class Deferred:
    """A response that a controller provides later, once."""

    def __init__(self):
        self.response: WebResponse | None = None
        self.hook: Callable[[WebResponse], None] | None = None

    def resolve(self, response: WebResponse) -> None:
        """Set the response; a second one is ignored."""
        if self.response is None:
            self.response = response
            if self.hook is not None:
                self.hook(response)

    def then(self, hook: Callable[[WebResponse], None]) -> None:
        """Call ``hook`` with the response, immediately if it is set."""
        self.hook = hook
        if self.response is not None:
            hook(self.response)


def parse_query(request: 'Request') -> dict[str, str]:
    """Return the query parameters; the last of equal names wins."""
    return dict(parse_qsl(request.query, max_num_fields=MAX_FORM_FIELDS))


def parse_form(request: 'Request') -> Headers:
    """Return the fields of a URL-encoded form, in order.

    Raises ValueError when the body isn't a valid form.
    """
    return parse_qsl(
        request.content.decode('utf-8'),
        keep_blank_values=True,
        max_num_fields=MAX_FORM_FIELDS,
    )


def json_response(value, status: int = 200, headers=()) -> WebResponse:
    """Return a JSON response."""
    body = json.dumps(value, indent=2).encode() + b'\n'
    return WebResponse(body, status, JSON, tuple(headers))


def problem_response(problem: Problem) -> WebResponse:
    """Return the JSON response that reports a problem."""
    fields = dict(problem_headers(problem))
    kind = fields.pop('Content-Type')
    return WebResponse(
        problem_body(problem),
        problem_status(problem),
        kind,
        tuple(fields.items()),
    )


def send_response(exchange: Exchange, response: WebResponse) -> None:
    """Send a controller's response."""
    headers = [('Content-Type', response.content_type), *response.headers]
    exchange.respond(response.status, headers, response.body)
