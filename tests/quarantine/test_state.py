"""Quarantine decisions from reports of ended targets."""

import dataclasses

import pytest

from cyclamenlift.quarantine import Evidence
from cyclamenlift.quarantine import Report
from cyclamenlift.quarantine import Standing
from cyclamenlift.quarantine.state import MAX_ANSWERS
from cyclamenlift.quarantine.state import MAX_REPORTS
from tests.quarantine.builders import end
from tests.quarantine.builders import name

CLEAR, SUSPECT = Standing.CLEAR, Standing.SUSPECT
QUARANTINED = Standing.QUARANTINED
ALLOWED_LATER = 3
LONG_DAY = 7200.0


def standing(evidence: Evidence, text: str, now: float) -> Standing:
    return evidence.judge('prices', name(text), now).standing


def after(*reports: Report) -> Evidence:
    evidence = Evidence()
    for report in reports:
        evidence.add(report, report.at)
    return evidence


def test_requests_running_at_an_end_are_suspects_for_a_minute():
    evidence = after(end(10.0, 'bad', 'other'))
    assert standing(evidence, 'bad', 11.0) is SUSPECT
    assert standing(evidence, 'other', 11.0) is SUSPECT
    assert standing(evidence, 'elsewhere', 11.0) is CLEAR
    assert standing(evidence, 'bad', 100.0) is CLEAR


def test_the_only_request_at_two_ends_is_quarantined():
    evidence = after(end(10.0, 'bad', 'a', 'b'), end(11.0, 'bad', 'c'))
    assert standing(evidence, 'bad', 11.0) is QUARANTINED
    assert [standing(evidence, t, 11.0) for t in 'abc'] == [SUSPECT] * 3


def test_two_requests_at_both_ends_are_not_quarantined_yet():
    evidence = after(end(10.0, 'bad', 'a'), end(11.0, 'bad', 'a'))
    assert standing(evidence, 'bad', 11.0) is SUSPECT
    evidence.add(end(12.0, 'bad', 'c'), 12.0)
    assert standing(evidence, 'bad', 12.0) is QUARANTINED
    assert standing(evidence, 'a', 12.0) is SUSPECT


def test_two_ends_an_hour_apart_do_not_quarantine_a_request():
    """It was answered thousands of times elsewhere in between."""
    evidence = after(end(10.0, 'often', 'a'), end(3600.0, 'often', 'b'))
    assert standing(evidence, 'often', 3600.0) is SUSPECT


def test_a_rare_request_is_quarantined_from_its_third_end():
    evidence = after(*(end(90.0 * n, 'bad') for n in range(3)))
    assert standing(evidence, 'bad', 181.0) is QUARANTINED


def test_simultaneous_power_losses_quarantine_no_request():
    """The same two requests run at four targets that fail together, thrice."""
    evidence = Evidence()
    for round_at in (10.0, 20.0, 30.0):
        for number in range(4):
            at = round_at + 0.004 * number
            evidence.add(end(at, 'hot', 'long'), at)
        assert standing(evidence, 'hot', round_at + 0.1) is not QUARANTINED
        evidence.note_answer('prices', name('hot'), round_at + 0.2)
        evidence.note_answer('prices', name('long'), round_at + 0.9)
    assert standing(evidence, 'hot', 31.0) is CLEAR
    assert standing(evidence, 'long', 31.0) is CLEAR


def test_a_retry_that_ends_a_second_target_is_quarantined_at_once():
    """It began there after the first end, so this is no coincidence."""
    first = end(10.0, 'bad', 'a')
    second = end(10.045, 'bad', begun_at=10.004)
    assert standing(after(first, second), 'bad', 10.05) is QUARANTINED


def test_an_answer_before_or_after_an_end_clears_a_request():
    evidence = Evidence()
    evidence.note_answer('prices', name('hot'), 9.0)
    for at in (10.0, 11.0, 12.0):
        evidence.add(end(at, 'bad', 'hot'), at)
    assert standing(evidence, 'hot', 12.0) is CLEAR
    assert standing(evidence, 'bad', 12.0) is QUARANTINED
    evidence.add(end(50.0, 'bad', 'late'), 50.0)
    evidence.note_answer('prices', name('late'), 51.0)
    assert standing(evidence, 'late', 51.0) is CLEAR


def test_an_answered_request_is_reported_if_others_quarantine_it():
    evidence = Evidence()
    evidence.note_answer('prices', name('hot'), 9.0)
    assert evidence.add(end(10.0, 'hot'), 10.0) == []
    evidence = after(end(10.0, 'hot'), end(11.0, 'hot'))
    assert evidence.note_answer('prices', name('hot'), 11.5)
    assert not evidence.note_answer('prices', name('hot'), 11.6)


def test_a_request_quarantined_at_one_service_needs_one_end_at_another():
    evidence = after(end(10.0, 'bad'), end(11.0, 'bad'))
    judgement = evidence.judge('stock', name('bad'), 12.0)
    assert judgement.standing is SUSPECT
    there = dataclasses.replace(end(13.0, 'bad', 'x'), service='stock')
    evidence.add(there, 13.0)
    judgement = evidence.judge('stock', name('bad'), 13.0)
    assert judgement.standing is QUARANTINED
    assert evidence.judge('stock', name('x'), 13.0).standing is SUSPECT


def test_an_answer_of_one_service_does_not_clear_at_another():
    evidence = after(end(10.0, 'bad'), end(11.0, 'bad'))
    evidence.note_answer('stock', name('bad'), 12.0)
    assert standing(evidence, 'bad', 12.0) is QUARANTINED


def test_ends_after_a_lift_count_again():
    evidence = after(end(10.0, 'bad'), end(11.0, 'bad'))
    lifted = Report('l', '', (name('bad'),), 12.0, lifted=True)
    evidence.add(lifted, 12.0)
    assert standing(evidence, 'bad', 12.0) is CLEAR
    evidence.add(end(13.0, 'bad'), 13.0)
    assert standing(evidence, 'bad', 13.0) is SUSPECT
    evidence.add(end(14.0, 'bad'), 14.0)
    assert standing(evidence, 'bad', 14.0) is QUARANTINED


def test_a_repaired_target_serves_the_request_again_after_one_trial():
    evidence = after(end(10.0, 'bad'), end(11.0, 'bad'))
    assert standing(evidence, 'bad', 40.9) is QUARANTINED
    assert standing(evidence, 'bad', 41.1) is SUSPECT
    evidence.note_answer('prices', name('bad'), 41.3)
    assert standing(evidence, 'bad', 41.3) is CLEAR


def test_trials_stay_within_three_more_ends_for_two_hours():
    """Each trial ends its target, and the next one begins at once."""
    evidence = after(end(0.0, 'bad'), end(1.0, 'bad'))
    ends = [0.0, 1.0]
    now = 1.0
    while now < LONG_DAY:
        if standing(evidence, 'bad', now) is not QUARANTINED:
            ends.append(now)
            evidence.add(end(now, 'bad'), now)
        now += 0.5
    later = [at for at in ends if at > ends[2] + 3.0]
    assert len(later) <= ALLOWED_LATER


@pytest.mark.parametrize('seed', range(3))
def test_memory_is_bounded_under_many_suspects(seed):
    evidence = Evidence()
    for number in range(2 * MAX_REPORTS):
        at = number + seed * 0.1
        evidence.add(end(at, f's{number}', 'x'), at)
        evidence.note_answer('prices', name(f'n{number}'), at)
    assert len(evidence.reports) == MAX_REPORTS
    assert len(evidence.answered_at) <= MAX_ANSWERS
    assert len(evidence.against) <= MAX_REPORTS + 1


def test_the_digest_does_not_depend_on_the_order_of_reports():
    one, other = end(1.0, 'a'), end(2.0, 'b')
    assert after(one, other).digest == after(other, one).digest
    assert after(one).digest != after(other).digest
    evidence = after(one)
    evidence.add(one, 1.0)
    assert evidence.digest == after(one).digest
    evidence.forget_old(1.0 + 10 * LONG_DAY)
    assert (evidence.digest, evidence.against) == (0, {})
