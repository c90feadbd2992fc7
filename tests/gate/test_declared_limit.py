"""A target gets no more calls than the limit that it declares.

Guards against a target in need that says in its responses how many calls a
second it takes from all instances together, and gets as many as before.
"""

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.cold_start import ColdRate
from cyclamenlift.gate.declared_limit import DeclaredLimit
from cyclamenlift.gate.declared_limit import MIN_CALLS_PER_SECOND
from cyclamenlift.gate.start_limits import StartLimits
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from tests.gate.simulation import allowed_in_span
from tests.gate.simulation import GateInTime
from tests.gate.simulation import GRACE_SECONDS
from tests.gate.simulation import SPAN_SECONDS

LIMIT = 'x-limit'
DECLARED_AT = 4.0
END = 20.0


def limited(
    limit: str, on_page: bool, calls_per_second: float, seed: int = 1
) -> GateInTime:
    """Run a gate whose target declares a limit after some seconds."""
    bench = GateInTime(seed=seed)
    bench.load(calls_per_second, END)
    bench.time.run_until(DECLARED_AT)
    bench.target.say(LIMIT, limit, on_page)
    bench.time.run_until(END)
    return bench


@pytest.mark.parametrize('on_page', [True, False])
@pytest.mark.parametrize('limit', ['25.3', '10.0', '2.1', '0.3', '0'])
def test_a_target_gets_no_more_than_it_declares(limit, on_page):
    # Guards against a declared limit that nobody reads.
    bench = limited(limit, on_page, calls_per_second=60.0)
    most = bench.target.most_in_span(DECLARED_AT + GRACE_SECONDS)
    assert most <= allowed_in_span(float(limit))


def test_a_limited_target_gets_what_it_takes():
    # Guards against a limited target that is left idle.
    bench = limited('10.0', True, calls_per_second=60.0)
    assert bench.target.arrivals(DECLARED_AT, END) >= 0.95 * 10.0 * 16.0


@pytest.mark.parametrize('on_page', [True, False])
@pytest.mark.parametrize('limit', ['10.0', '2.1', '0'])
def test_full_use_returns_when_the_limit_ends(limit, on_page):
    # Guards against a target held to a limit that it no longer names. With
    # one call in ten seconds only the next answer may tell.
    bench = limited(limit, on_page, calls_per_second=60.0)
    bench.target.say(LIMIT, None, on_page)
    rate = max(float(limit), MIN_CALLS_PER_SECOND)
    heard = 1.5 if on_page else 1.0 / rate + 1.0
    bench.load(60.0, END + heard + 2.0)
    bench.time.run_until(END + heard + 2.0)
    usual = bench.target.arrivals(1.0, 3.0)
    again = bench.target.arrivals(END + heard, END + heard + 2.0)
    assert again >= 0.8 * usual


def test_a_page_that_never_names_a_limit_does_not_end_one():
    # Guards against pages that alternate with the answers that name it.
    bench = limited('2.1', False, calls_per_second=60.0)
    assert bench.health.requests_sent > 10
    assert bench.gate.state.start_limits.declared.calls_per_second == 2.1


@pytest.mark.parametrize('on_page', [True, False])
@pytest.mark.parametrize('limit', [10.0, 2.1, 0.3])
@pytest.mark.parametrize('gap', [0.0, 0.3, 1.2])
def test_a_limit_outlives_the_gate(limit, on_page, gap):
    # Guards against a daemon that is killed beside a limited target: entries
    # that were told stay bound, and the new gate has heard no answer yet.
    bench = GateInTime(slots=18, work=0.8)
    bench.load(60.0, END)
    bench.time.run_until(DECLARED_AT)
    bench.target.say(LIMIT, str(limit), on_page)
    for restart in (8.0, 9.0, 10.0, 14.0):
        bench.time.run_until(restart)
        bench.process.alive = False
        bench.time.run_until(restart + gap)
        bench.restart_gate()
    bench.time.run_until(END)
    most = bench.target.most_in_span(DECLARED_AT + GRACE_SECONDS)
    assert most <= allowed_in_span(limit)
    assert bench.target.arrivals(16.0, END) >= 0.8 * limit * 4.0 - 1


def test_the_most_urgent_get_the_few_calls_that_a_target_takes():
    # Guards against first come, first served where most are turned away.
    bench = GateInTime(seed=2)
    bench.target.say(LIMIT, '10.0', on_page=True)
    bench.time.run_until(1.0)
    bench.load(8.0, END, rank=0)
    bench.load(60.0, END, rank=2)
    bench.time.run_until(END)
    urgent = bench.ranks[0] & bench.answered()
    assert len(urgent) >= 0.9 * len(bench.ranks[0])


def test_refused_callers_are_told_when_the_target_takes_another_call():
    # Guards against a caller that comes back while nothing has changed, and
    # against one that waits until its deadline to be refused.
    bench = limited('2.1', True, calls_per_second=60.0)
    late = [m for m in bench.refused() if m.code == ResultCode.TARGET_LIMITED]
    assert len(late) > 0.8 * len(bench.refused())
    assert min(m.retry_after_ms for m in late) >= 300


def test_refused_callers_are_told_to_return_one_after_the_other():
    # Guards against callers that return together, to be refused together.
    known = declared(2.0)
    known.note_sent('first', 1.0)
    told = [known.return_wait(1.1, known.wait(1.1)) for _ in range(6)]
    assert told[:3] == pytest.approx([0.4, 0.9, 1.4])
    assert told[3:] == pytest.approx([1.4] * 3)
    assert known.return_wait(3.0, known.wait(3.0)) == pytest.approx(0.0)


@pytest.mark.parametrize(
    'cold_rate, limit, code',
    [
        (1.0, 50.0, ResultCode.TARGET_COLD),
        (50.0, 1.0, ResultCode.TARGET_LIMITED),
    ],
)
def test_the_stricter_of_both_limits_holds(cold_rate, limit, code):
    # Guards against a cold target whose limit replaces its cold rate.
    limits = StartLimits()
    limits.cold.set_rate(ColdRate(cold_rate, 3.0))
    limits.begin_incarnation(0.0)
    limits.cold.note_page(3.0, 0.0, 0.0)
    limits.declared.note_answer(limit, 0.0, 0.0)
    sent = 0
    while not limits.wait(1.0):
        limits.promise(sent)
        limits.note_sent(sent, 1.0)
        sent += 1
    assert sent == 1
    assert limits.refusal_code(1.0, 0) is code


def test_uploads_count_from_when_they_have_a_slot():
    # Guards against bodies that arrive together and are all sent then.
    bench = GateInTime()
    bench.target.say(LIMIT, '2.0', on_page=True)
    bench.time.run_until(1.0)
    numbers = [bench.call(length=60_000) for _ in range(12)]
    for number in numbers:
        chunk = BodyChunk(number, b'x' * 60_000, True)
        bench.gate.on_body_chunk(bench.gate_end, chunk)
    bench.time.run_until(1.9)
    assert len(bench.target.calls) <= 2


def test_a_target_in_need_is_not_asked_for_its_pace_by_each_call():
    # Guards against many requests for the health page in place of the calls.
    bench = limited('2.1', True, calls_per_second=60.0)
    asked = bench.health.requests_sent
    bench.load(60.0, END + 5.0)
    bench.time.run_until(END + 5.0)
    assert bench.health.requests_sent - asked <= 5.0 * 6


def declared(limit: float) -> DeclaredLimit:
    known = DeclaredLimit()
    known.note_answer(limit, 0.0, 1.0)
    return known


def test_an_answer_that_is_read_late_ends_no_limit():
    # Guards against answers read in another order than they were written.
    known = declared(10.0)
    assert not known.note_answer(None, 0.9, 1.1)
    assert not known.note_answer(25.0, 0.9, 1.2)
    assert known.calls_per_second == 10.0
    assert known.note_answer(2.1, 0.9, 1.3)
    assert known.note_answer(25.0, 1.4, 1.5)
    assert known.note_answer(None, 1.6, 1.7)
    assert known.calls_per_second is None


def test_another_incarnation_has_no_limit():
    # Guards against a limit that is carried over to the next target.
    known = declared(10.0)
    known.begin_incarnation()
    assert not known.wait(2.0)


def test_what_the_target_says_goes_before_what_entries_remember():
    # Guards against an entry that brings an old limit back.
    known = declared(10.0)
    known.note_answer(None, 2.0, 2.1)
    assert not known.note_hearsay(10.0)
    assert known.calls_per_second is None


def test_the_first_answer_ends_a_limit_that_only_entries_remember():
    # Guards against a limit that each call of an entry renews.
    known = DeclaredLimit()
    assert known.note_hearsay(2.1)
    assert not known.note_hearsay(2.1)
    assert known.note_answer(None, 1.0, 1.2)
    assert not known.note_hearsay(2.1)


def test_an_answer_that_names_a_limit_starts_no_call_above_it():
    # Guards against waiting calls that start for the load in an answer before
    # the limit in the same answer is read.
    bench = GateInTime(slots=2, work=1.0)
    bench.time.run_until(1.0)
    for _ in range(6):
        bench.call(objective=4.0, deadline=5.0)
    bench.time.run_until(1.1)
    begun = len(bench.target.calls)
    assert len(bench.gate.state.queue) >= 3
    bench.gate.set_slots(6)
    headers = [('x-load', '2,0,6,100'), (LIMIT, '0.5')]
    bench.gate.reports.note_answer(headers, 1.1)
    assert len(bench.target.calls) <= begun + 1


def test_waiting_calls_start_as_soon_as_a_limit_is_raised():
    # Guards against calls that wait for the time of the limit before.
    bench = GateInTime()
    bench.target.say(LIMIT, '0.5', on_page=True)
    bench.time.run_until(1.0)
    for _ in range(4):
        bench.call(objective=20.0, deadline=21.0)
    bench.time.run_until(1.2)
    waiting = len(bench.gate.state.queue)
    assert waiting >= 2
    bench.gate.reports.note_answer([(LIMIT, '5.0')], 1.2)
    bench.target.say(LIMIT, '5.0', on_page=True)
    bench.time.run_until(1.02 + 0.2 * waiting)
    assert len(bench.target.calls) == 1 + waiting


@hypothesis.given(
    limit=strategies.floats(0.05, 40.0),
    gaps=strategies.lists(strategies.floats(0.0, 0.4), max_size=200),
)
def test_no_span_holds_more_than_is_allowed(limit, gaps):
    # Guards against a window that lets twice as many pass around its edge.
    known = declared(limit)
    now = 1.0
    sent = []
    for number, gap in enumerate(gaps):
        now += gap
        if not known.wait(now):
            known.promise(number)
            known.note_sent(number, now)
            sent.append(now)
    for begin in sent:
        inside = [at for at in sent if begin <= at < begin + SPAN_SECONDS]
        assert len(inside) <= allowed_in_span(limit)
