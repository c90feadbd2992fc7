"""Headers that the entry adds to every answer."""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.http.response import RESULT_HEADER


def answer_headers(code: ResultCode) -> list[tuple[str, str]]:
    """Return the headers that every answer carries.

    >>> answer_headers(ResultCode.ANSWERED)
    [('Cyclamenlift-Result', '1000')]
    """
    return [(RESULT_HEADER, str(int(code)))]
