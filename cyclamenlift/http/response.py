"""Answers to callers: status lines, heads and the body of an error."""

from http import HTTPStatus
import json

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.headers import FRAMING
from cyclamenlift.http.headers import Headers
from cyclamenlift.http.headers import render_head

CONTINUE = b'HTTP/1.1 100 Continue\r\n\r\n'
LAST_CHUNK = b'0\r\n\r\n'
RESULT_HEADER = 'Cyclamenlift-Result'
DEFAULT_STATUS = 400

STATUS_LINES = {
    int(status): f'HTTP/1.1 {int(status)} {status.phrase}'
    for status in HTTPStatus
}


def status_line(status: int) -> str:
    """Return the first line of an answer.

    >>> status_line(404), status_line(299)
    ('HTTP/1.1 404 Not Found', 'HTTP/1.1 299 Status')
    """
    line = STATUS_LINES.get(status)
    if line is None:
        line = f'HTTP/1.1 {status:d} Status'
    return line


def has_no_body(method: str, status: int) -> bool:
    """Tell whether the standard forbids a body in this answer.

    >>> has_no_body('HEAD', 200), has_no_body('GET', 200)
    (True, False)
    """
    return method == 'HEAD' or status in (204, 304)


def answer_head(status: int, headers: Headers, framing: Headers) -> bytes:
    """Return the head; ``framing`` replaces framing fields in ``headers``.

    Raises HeaderError on a value with a line break.
    """
    fields = [field for field in headers if field[0].lower() not in FRAMING]
    fields.extend(framing)
    return render_head(status_line(status), fields)


def problem_body(problem: Problem) -> bytes:
    """Return the JSON body that explains a problem to a caller.

    >>> from cyclamenlift.core.codes import ResultCode
    >>> json.loads(problem_body(Problem(ResultCode.NOT_FOUND)))['run']
    False
    """
    info = describe(problem.code)
    run: bool | str = False if is_not_run(problem.code) else 'unknown'
    value = {
        'code': int(problem.code),
        'title': info.title,
        'detail': problem.detail,
        'run': run,
        'hint': problem.advice(),
    }
    return json.dumps(value).encode() + b'\n'


def problem_headers(problem: Problem) -> Headers:
    """Return the header fields of an answer that reports a problem."""
    headers = [
        ('Content-Type', 'application/json'),
        (RESULT_HEADER, str(int(problem.code))),
    ]
    if problem.retry_after_ms:
        seconds = -(-problem.retry_after_ms // 1000)
        headers.append(('Retry-After', str(seconds)))
    return headers


def problem_status(problem: Problem) -> int:
    """Return the HTTP status of a problem."""
    return describe(problem.code).status or DEFAULT_STATUS
