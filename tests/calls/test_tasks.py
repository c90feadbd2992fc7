"""Frames are dispatched only to the call and link they belong to."""

import pytest

from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import Refused
from tests.runtime.builders import answer
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import delayed
from tests.runtime.builders import ScriptedTarget

FOREIGN = b'the answer of somebody else'


def answer_frame(number: int) -> AnswerStart:
    size = len(FOREIGN)
    return AnswerStart(number, 200, [], size, FOREIGN, True, None, 0)


@pytest.mark.parametrize(
    ('handler', 'make'),
    [
        ('on_answer_start', answer_frame),
        ('on_refused', lambda n: Refused(n, 2001, '', 0, None)),
        ('on_broken', lambda n: Broken(n, 3000, '', None)),
        ('on_cancelled', lambda n: Cancelled(n, True, None)),
        ('on_body_chunk', lambda n: BodyChunk(n, FOREIGN, True)),
    ],
)
@pytest.mark.parametrize('own_link', [True, False])
def test_frame_for_another_call_or_link_changes_nothing(
    handler, make, own_link
):
    """Covers a wrong number on the right link and the reverse."""
    target = ScriptedTarget(delayed(0.2, answer(b'mine')))
    bed = CallPathHarness(target.address)
    try:
        caller = bed.send()
        bed.run_until(lambda: target.requests)
        (number,) = bed.calls.tries
        (attempt,) = bed.calls.tries[number].tries.open.values()
        link = attempt.link if own_link else object()
        frame = make(number + 1 if own_link else number)
        getattr(bed.calls, handler)(link, frame)
        assert bed.receive(caller).body == b'mine'
    finally:
        bed.close()
        target.close()


def test_answer_after_the_deadline_is_discarded():
    slow = ScriptedTarget(delayed(0.4, answer(b'late')), answer(b'next'))
    bed = CallPathHarness(slow.address, deadline_ms=200, max_tries=1)
    try:
        assert bed.ask().status == 504
        assert bed.ask().body == b'next'
    finally:
        bed.close()
        slow.close()
