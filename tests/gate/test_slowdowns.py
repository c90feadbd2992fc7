"""Learning slowdowns from the pace that the target reports."""

import random

import pytest

from cyclamenlift.gate.slowdowns import INITIAL_EXCESS
from cyclamenlift.gate.slowdowns import INITIAL_LENGTHS
from cyclamenlift.gate.slowdowns import PaceRetention
from cyclamenlift.gate.slowdowns import SlowdownHistory
from cyclamenlift.gate.slowdowns import WorkProgress

SLOW = 700
USUAL = 100


def note_slowdowns(
    slowdowns: SlowdownHistory, length: float, gap: float, count: int
):
    """Record slowdowns at regular intervals; return the time of the end."""
    now = 0.0
    for _ in range(count):
        slowdowns.note(USUAL, now)
        now += gap
        slowdowns.note(SLOW, now)
        now += length
    slowdowns.note(USUAL, now)
    return now


def test_first_slowdown_has_the_default_duration():
    slowdowns = SlowdownHistory()
    assert slowdowns.remaining(1.0) == 0.0
    slowdowns.note(SLOW, 1.0)
    assert slowdowns.remaining(1.0) == pytest.approx(INITIAL_LENGTHS[0])
    assert slowdowns.remaining(1.3) == pytest.approx(INITIAL_LENGTHS[0] - 0.3)


def test_duration_of_slowdowns_is_learned():
    slowdowns = SlowdownHistory()
    now = note_slowdowns(slowdowns, 0.2, 1.0, 40)
    slowdowns.note(SLOW, now)
    assert slowdowns.remaining(now) == pytest.approx(0.2)
    assert slowdowns.remaining(now + 0.15) == pytest.approx(0.05)


def test_longest_slowdown_is_expected_to_last_as_long_again():
    slowdowns = SlowdownHistory()
    slowdowns.note(SLOW, 0.0)
    assert slowdowns.remaining(10.0) == pytest.approx(10.0)


def test_cold_target_is_in_no_slowdown():
    slowdowns = SlowdownHistory()
    slowdowns.note(200, 0.0)
    assert slowdowns.since is None
    assert slowdowns.remaining(1.0) == 0.0


def test_slowdown_with_unobserved_end_is_not_recorded():
    slowdowns = SlowdownHistory()
    slowdowns.note(SLOW, 0.0)
    slowdowns.reset_current()
    slowdowns.note(USUAL, 30.0)
    assert list(slowdowns.lengths) == list(INITIAL_LENGTHS)


def test_risk_grows_with_the_age_of_the_figure():
    slowdowns = SlowdownHistory()
    note_slowdowns(slowdowns, 0.5, 1.5, 10)
    risks = [slowdowns.risk(0.66, age, 20.0) for age in (0.0, 0.02, 0.08)]
    assert risks[0] == 0.0
    assert risks == sorted(risks)
    # About one call in twenty is seven times as slow.
    assert risks[2] == pytest.approx(0.08 / 1.5 * 0.66 * 6.0, rel=0.1)


def test_risk_falls_for_a_target_without_slowdowns():
    slowdowns = SlowdownHistory()
    slowdowns.note(USUAL, 0.0)
    assert slowdowns.risk(0.66, 0.08, 1.0) > 0.05
    assert slowdowns.risk(0.66, 0.08, 60.0) == pytest.approx(
        0.08 / 21.0 * 0.66 * INITIAL_EXCESS
    )


def test_progress_counts_work_at_the_pace_of_each_moment():
    progress = WorkProgress()
    progress.note(USUAL, 0.0)
    progress.note(SLOW, 1.0)
    assert progress.until(1.7) == pytest.approx(1.1)
    progress.note(USUAL, 1.7)
    assert progress.until(2.0) == pytest.approx(1.4)


def changed_calls(seed: int, keeps: bool):
    """Yield the relative work of calls under both hypotheses.

    The calls begin before a slowdown, and their times vary by a third, like
    those of real calls. Work of 0.5 s begins 0.1 to 0.4 s before a slowdown of
    0.5 s with a seventh of the speed.
    """
    rng = random.Random(seed)
    for _ in range(60):
        work = 0.5 * rng.lognormvariate(0.0, 0.3)
        before = rng.uniform(0.1, 0.4)
        if work <= before:
            continue
        rest = work - before
        followed = before + (rest * 7 if rest * 7 < 0.5 else rest + 0.43)
        seconds = work if keeps else followed
        slow = min(0.5, max(0.0, seconds - before))
        yield seconds / 0.5, (seconds - slow + slow / 7) / 0.5


@pytest.mark.parametrize('seed', range(5))
@pytest.mark.parametrize('keeps', [True, False])
def test_whether_calls_keep_their_pace_is_learned(seed, keeps):
    keeping = PaceRetention()
    assert keeping.is_retained
    for by_keeping, by_following in changed_calls(seed, keeps):
        keeping.note(by_keeping, by_following)
    assert keeping.is_retained is keeps
