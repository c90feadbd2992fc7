"""Quarantine decisions from reports of ended targets."""

import dataclasses

import pytest

from cyclamenlift.quarantine import EndHistory
from cyclamenlift.quarantine import QuarantineStatus
from cyclamenlift.quarantine import Report
from cyclamenlift.quarantine.state import MAX_ANSWERS
from cyclamenlift.quarantine.state import MAX_REPORTS
from tests.quarantine.builders import end
from tests.quarantine.builders import name

CLEAR, SUSPECT = QuarantineStatus.CLEAR, QuarantineStatus.SUSPECT
QUARANTINED = QuarantineStatus.QUARANTINED
MAX_LATER_ENDS = 3
TRIAL_SECONDS = 7200.0


def status(history: EndHistory, text: str, now: float) -> QuarantineStatus:
    return history.assess('prices', name(text), now).status


def after(*reports: Report) -> EndHistory:
    history = EndHistory()
    for report in reports:
        history.add(report, report.at)
    return history


def test_requests_running_at_an_end_are_suspects_for_a_minute():
    history = after(end(10.0, 'bad', 'other'))
    assert status(history, 'bad', 11.0) is SUSPECT
    assert status(history, 'other', 11.0) is SUSPECT
    assert status(history, 'elsewhere', 11.0) is CLEAR
    assert status(history, 'bad', 100.0) is CLEAR


def test_the_only_request_at_two_ends_is_quarantined():
    history = after(end(10.0, 'bad', 'a', 'b'), end(11.0, 'bad', 'c'))
    assert status(history, 'bad', 11.0) is QUARANTINED
    assert [status(history, t, 11.0) for t in 'abc'] == [SUSPECT] * 3


def test_two_requests_at_both_ends_are_not_quarantined_yet():
    history = after(end(10.0, 'bad', 'a'), end(11.0, 'bad', 'a'))
    assert status(history, 'bad', 11.0) is SUSPECT
    history.add(end(12.0, 'bad', 'c'), 12.0)
    assert status(history, 'bad', 12.0) is QUARANTINED
    assert status(history, 'a', 12.0) is SUSPECT


def test_two_ends_an_hour_apart_do_not_quarantine_a_request():
    """It was answered thousands of times elsewhere in between."""
    history = after(end(10.0, 'often', 'a'), end(3600.0, 'often', 'b'))
    assert status(history, 'often', 3600.0) is SUSPECT


def test_a_rare_request_is_quarantined_from_its_third_end():
    history = after(*(end(90.0 * n, 'bad') for n in range(3)))
    assert status(history, 'bad', 181.0) is QUARANTINED


def test_simultaneous_power_losses_quarantine_no_request():
    """The same two requests run at four targets that fail together, thrice."""
    history = EndHistory()
    for round_at in (10.0, 20.0, 30.0):
        for number in range(4):
            at = round_at + 0.004 * number
            history.add(end(at, 'hot', 'long'), at)
        assert status(history, 'hot', round_at + 0.1) is not QUARANTINED
        history.note_answer('prices', name('hot'), round_at + 0.2)
        history.note_answer('prices', name('long'), round_at + 0.9)
    assert status(history, 'hot', 31.0) is CLEAR
    assert status(history, 'long', 31.0) is CLEAR


def test_a_retry_that_ends_a_second_target_is_quarantined_at_once():
    """It began there after the first end, so this is no coincidence."""
    first = end(10.0, 'bad', 'a')
    second = end(10.045, 'bad', begun_at=10.004)
    assert status(after(first, second), 'bad', 10.05) is QUARANTINED


def test_an_answer_before_or_after_an_end_clears_a_request():
    history = EndHistory()
    history.note_answer('prices', name('hot'), 9.0)
    for at in (10.0, 11.0, 12.0):
        history.add(end(at, 'bad', 'hot'), at)
    assert status(history, 'hot', 12.0) is CLEAR
    assert status(history, 'bad', 12.0) is QUARANTINED
    history.add(end(50.0, 'bad', 'late'), 50.0)
    history.note_answer('prices', name('late'), 51.0)
    assert status(history, 'late', 51.0) is CLEAR


def test_an_answered_request_is_reported_if_others_quarantine_it():
    history = EndHistory()
    history.note_answer('prices', name('hot'), 9.0)
    assert history.add(end(10.0, 'hot'), 10.0) == []
    history = after(end(10.0, 'hot'), end(11.0, 'hot'))
    assert history.note_answer('prices', name('hot'), 11.5)
    assert not history.note_answer('prices', name('hot'), 11.6)


def test_a_request_quarantined_at_one_service_needs_one_end_at_another():
    history = after(end(10.0, 'bad'), end(11.0, 'bad'))
    assessment = history.assess('stock', name('bad'), 12.0)
    assert assessment.status is SUSPECT
    there = dataclasses.replace(end(13.0, 'bad', 'x'), service='stock')
    history.add(there, 13.0)
    assessment = history.assess('stock', name('bad'), 13.0)
    assert assessment.status is QUARANTINED
    assert history.assess('stock', name('x'), 13.0).status is SUSPECT


def test_an_answer_of_one_service_does_not_clear_at_another():
    history = after(end(10.0, 'bad'), end(11.0, 'bad'))
    history.note_answer('stock', name('bad'), 12.0)
    assert status(history, 'bad', 12.0) is QUARANTINED


def test_ends_after_a_lift_count_again():
    history = after(end(10.0, 'bad'), end(11.0, 'bad'))
    lifted = Report('l', '', (name('bad'),), 12.0, lifted=True)
    history.add(lifted, 12.0)
    assert status(history, 'bad', 12.0) is CLEAR
    history.add(end(13.0, 'bad'), 13.0)
    assert status(history, 'bad', 13.0) is SUSPECT
    history.add(end(14.0, 'bad'), 14.0)
    assert status(history, 'bad', 14.0) is QUARANTINED


def test_a_repaired_target_serves_the_request_again_after_one_trial():
    history = after(end(10.0, 'bad'), end(11.0, 'bad'))
    assert status(history, 'bad', 40.9) is QUARANTINED
    assert status(history, 'bad', 41.1) is SUSPECT
    history.note_answer('prices', name('bad'), 41.3)
    assert status(history, 'bad', 41.3) is CLEAR


def test_trials_stay_within_three_more_ends_for_two_hours():
    """Each trial ends its target, and the next one begins at once."""
    history = after(end(0.0, 'bad'), end(1.0, 'bad'))
    ends = [0.0, 1.0]
    now = 1.0
    while now < TRIAL_SECONDS:
        if status(history, 'bad', now) is not QUARANTINED:
            ends.append(now)
            history.add(end(now, 'bad'), now)
        now += 0.5
    later = [at for at in ends if at > ends[2] + 3.0]
    assert len(later) <= MAX_LATER_ENDS


@pytest.mark.parametrize('seed', range(3))
def test_memory_is_bounded_under_many_suspects(seed):
    history = EndHistory()
    for number in range(2 * MAX_REPORTS):
        at = number + seed * 0.1
        history.add(end(at, f's{number}', 'x'), at)
        history.note_answer('prices', name(f'n{number}'), at)
    assert len(history.reports) == MAX_REPORTS
    assert len(history.answered_at) <= MAX_ANSWERS
    assert len(history.ends_by_request) <= MAX_REPORTS + 1


def test_the_digest_does_not_depend_on_the_order_of_reports():
    one, other = end(1.0, 'a'), end(2.0, 'b')
    assert after(one, other).digest == after(other, one).digest
    assert after(one).digest != after(other).digest
    history = after(one)
    history.add(one, 1.0)
    assert history.digest == after(one).digest
    history.forget_old(1.0 + 10 * TRIAL_SECONDS)
    assert (history.digest, history.ends_by_request) == (0, {})
