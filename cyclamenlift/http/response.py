"""Response heads and error responses."""

from http import HTTPStatus
import json

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.dialects import DEFAULT_DIALECT
from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.headers import FRAMING
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.headers import render_head

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
RESULT_HEADER = 'Cyclamenlift-Result'
DEFAULT_STATUS = 400
RETRY_STATUS = (429, 503, 504)
DEFAULT_RETRY_MS = 100

STATUS_LINES = {
    int(status): f'HTTP/1.1 {int(status)} {status.phrase}'
    for status in HTTPStatus
}


def status_line(status: int) -> str:
    """Return the status line of a response.

    >>> status_line(404), status_line(299)
    ('HTTP/1.1 404 Not Found', 'HTTP/1.1 299 Status')
    """
    line = STATUS_LINES.get(status)
    if line is None:
        line = f'HTTP/1.1 {status:d} Status'
    return line


def forbids_body(method: str, status: int) -> bool:
    """Return whether HTTP forbids a body in this response.

    >>> forbids_body('HEAD', 200), forbids_body('GET', 200)
    (True, False)
    """
    return method == 'HEAD' or status in (204, 304)


def response_head(status: int, headers: Headers, framing: Headers) -> bytes:
    """Return the head; ``framing`` replaces framing fields in ``headers``.

    Raises HeaderError when a value contains a line break.
    """
    fields = [field for field in headers if field[0].lower() not in FRAMING]
    fields.extend(framing)
    return render_head(status_line(status), fields)


def run_status(code: ResultCode) -> str:
    """Return whether the request ran: ``yes``, ``no`` or ``unknown``.

    >>> run_status(ResultCode.DRAINING), run_status(ResultCode.PEER_LOST)
    ('no', 'unknown')
    """
    if is_not_run(code):
        return 'no'
    if code in (ResultCode.ANSWERED, ResultCode.RECORD_TOO_LARGE):
        return 'yes'
    return 'unknown'


def retry_after_ms(problem: Problem) -> int:
    """Return the delay before a retry, 0 where a retry doesn't help."""
    if problem_status(problem) not in RETRY_STATUS:
        return 0
    return problem.retry_after_ms or DEFAULT_RETRY_MS


def problem_body(problem: Problem) -> bytes:
    """Return the JSON body that describes a problem to a caller.

    >>> json.loads(problem_body(Problem(ResultCode.NOT_FOUND)))['run']
    'no'
    """
    value = {
        'code': int(problem.code),
        'title': describe(problem.code).title,
        'detail': problem.detail,
        'run': run_status(problem.code),
        'hint': problem.advice(),
        'retry_after_ms': retry_after_ms(problem),
    }
    return json.dumps(value).encode()


def problem_headers(
    problem: Problem, dialect: Dialect = DEFAULT_DIALECT
) -> Headers:
    """Return the header fields of an error response.

    ``Retry-After`` is in whole seconds, as HTTP requires, unless the
    dialect uses fractions.

    >>> problem_headers(Problem(ResultCode.DRAINING, retry_after_ms=1500))[2:]
    [('Retry-After', '2'), ('Cyclamenlift-Retry-After-Ms', '1500')]
    """
    headers = [
        ('Content-Type', 'application/json'),
        (RESULT_HEADER, str(int(problem.code))),
    ]
    wait = retry_after_ms(problem)
    if wait:
        seconds = str(-(-wait // MILLISECONDS))
        if dialect.fractional_retry:
            seconds = f'{wait / MILLISECONDS:.3f}'
        headers.append(('Retry-After', seconds))
        headers.append(('Cyclamenlift-Retry-After-Ms', str(wait)))
    return headers


def problem_status(problem: Problem) -> int:
    """Return the HTTP status of a problem."""
    return describe(problem.code).status or DEFAULT_STATUS
