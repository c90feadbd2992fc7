"""Classifies target responses by what they prove."""

import enum

from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.headers import Headers

MISDIRECTED = 421
# Status codes that tell a caller that nothing ran. They are passed on only if
# the target confirms that with the corresponding header field.
NOT_RUN_STATUS = frozenset((408, MISDIRECTED, 429, 503))


class AnswerVerdict(enum.Enum):
    """ANSWER: pass it on. REFUSED: the target did not run the call.

    REPLACED: not run either, as a different target answered. UNPROVEN: it may
    have run, and the response can't be passed on.
    """

    ANSWER = 'answer'
    REFUSED = 'refused'
    REPLACED = 'replaced'
    UNPROVEN = 'unproven'


def classify_answer(
    dialect: Dialect, status: int, headers: Headers
) -> AnswerVerdict:
    """Classify a response by its status and header fields.

    In a dialect without proofs every response is passed on. An error without
    proof is passed on too, unless its status would promise that nothing ran.
    """
    if not dialect.proof:
        return AnswerVerdict.ANSWER
    if status == MISDIRECTED:
        return AnswerVerdict.REPLACED
    if find_header(headers, dialect.not_run) is not None:
        return AnswerVerdict.REFUSED
    if status in NOT_RUN_STATUS:
        return AnswerVerdict.UNPROVEN
    if find_header(headers, dialect.proof) is None and status < 400:
        return AnswerVerdict.UNPROVEN
    return AnswerVerdict.ANSWER
