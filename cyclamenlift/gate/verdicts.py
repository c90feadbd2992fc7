"""What an answer of the target proves: pure decisions on its head."""

import enum

from cyclamenlift.http.dialects import Dialect
from cyclamenlift.http.headers import find_header
from cyclamenlift.http.headers import Headers

MISDIRECTED = 421
# Statuses that tell a caller that nothing ran. Only a target that says so
# in the field for it may give them.
NOT_RUN_STATUS = frozenset((408, MISDIRECTED, 429, 503))


class AnswerVerdict(enum.Enum):
    """ANSWER: pass it on. REFUSED: the target did not run the call.

    REPLACED: nor did it, being another target than was asked for.
    UNPROVEN: it may have run, and this is no answer to pass on.
    """

    ANSWER = 'answer'
    REFUSED = 'refused'
    REPLACED = 'replaced'
    UNPROVEN = 'unproven'


def judge_answer(
    dialect: Dialect, status: int, headers: Headers
) -> AnswerVerdict:
    """Return what an answer is, by its status and header fields.

    In a dialect without proofs every answer is passed on. An error
    without proof is passed on too, unless its status would promise that
    nothing ran.
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
