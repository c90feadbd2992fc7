"""Final answers of the entry itself: small JSON bodies with a code."""

import json
import math

from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem

RESULT_HEADER = 'Cyclamenlift-Result'
DEFAULT_RETRY_MS = 100
MILLISECONDS = 1000


def answer_headers(code: ResultCode) -> list[tuple[str, str]]:
    """Return the headers that every answer carries."""
    return [(RESULT_HEADER, str(int(code)))]


def run_word(code: ResultCode) -> str:
    """Say whether it was run: ``yes``, ``no`` or ``unknown``.

    >>> run_word(ResultCode.DRAINING), run_word(ResultCode.PEER_LOST)
    ('no', 'unknown')
    """
    if is_not_run(code):
        return 'no'
    if code in (ResultCode.ANSWERED, ResultCode.RECORD_TOO_LARGE):
        return 'yes'
    return 'unknown'


def problem_answer(
    problem: Problem,
) -> tuple[int, list[tuple[str, str]], bytes]:
    """Return status, headers and body for a problem.

    ``Retry-After`` is in whole seconds, as HTTP wants; the body and
    ``Cyclamenlift-Retry-After-Ms`` give the time in milliseconds.
    """
    info = describe(problem.code)
    wait = problem.retry_after_ms or DEFAULT_RETRY_MS
    headers = answer_headers(problem.code)
    headers.append(('Content-Type', 'application/json'))
    if info.status in (429, 503, 504):
        seconds = max(1, math.ceil(wait / MILLISECONDS))
        headers.append(('Retry-After', str(seconds)))
        headers.append(('Cyclamenlift-Retry-After-Ms', str(wait)))
    body = {
        'code': int(problem.code),
        'title': info.title,
        'detail': problem.detail,
        'run': run_word(problem.code),
        'hint': problem.advice(),
        'retry_after_ms': wait if info.status in (429, 503, 504) else 0,
    }
    return info.status, headers, json.dumps(body).encode()
