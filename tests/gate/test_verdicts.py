"""What a target's response proves."""

import pytest

from cyclamenlift.gate.verdicts import AnswerVerdict
from cyclamenlift.gate.verdicts import classify_answer
from cyclamenlift.http.dialects import DEFAULT_DIALECT
from tests.runtime.builders import platform_like_dialect

PROOF = ('x-proof', 'p')
NOT_RUN = ('x-not-run', '1')


@pytest.mark.parametrize(
    ('status', 'headers', 'verdict'),
    [
        (200, [PROOF], AnswerVerdict.ANSWER),
        (404, [PROOF], AnswerVerdict.ANSWER),
        (500, [PROOF], AnswerVerdict.ANSWER),
        (500, [], AnswerVerdict.ANSWER),
        (504, [PROOF], AnswerVerdict.ANSWER),
        (200, [], AnswerVerdict.UNPROVEN),
        (302, [], AnswerVerdict.UNPROVEN),
        (503, [], AnswerVerdict.UNPROVEN),
        (429, [PROOF], AnswerVerdict.UNPROVEN),
        (408, [], AnswerVerdict.UNPROVEN),
        (503, [NOT_RUN], AnswerVerdict.REFUSED),
        (429, [NOT_RUN], AnswerVerdict.REFUSED),
        (400, [NOT_RUN], AnswerVerdict.REFUSED),
        (421, [], AnswerVerdict.REPLACED),
    ],
)
def test_only_a_proven_answer_is_passed_on(status, headers, verdict):
    dialect = platform_like_dialect()
    assert classify_answer(dialect, status, headers) is verdict


def test_a_dialect_without_proofs_passes_everything_on():
    for status in (200, 421, 429, 503):
        found = classify_answer(DEFAULT_DIALECT, status, [])
        assert found is AnswerVerdict.ANSWER
