"""What a gate learns of slow spells from the figures of its target."""

import random

import pytest

from cyclamenlift.gate.spells import FIRST_EXCESS
from cyclamenlift.gate.spells import FIRST_LENGTHS
from cyclamenlift.gate.spells import PaceKeeping
from cyclamenlift.gate.spells import Progress
from cyclamenlift.gate.spells import Spells

SLOW = 700
USUAL = 100


def note_spells(spells: Spells, length: float, gap: float, count: int):
    """Let spells come at even distances; return the instant of the end."""
    now = 0.0
    for _ in range(count):
        spells.note(USUAL, now)
        now += gap
        spells.note(SLOW, now)
        now += length
    spells.note(USUAL, now)
    return now


def test_before_any_spell_was_seen_one_lasts_as_long_as_elsewhere():
    spells = Spells()
    assert spells.left(1.0) == 0.0
    spells.note(SLOW, 1.0)
    assert spells.left(1.0) == pytest.approx(FIRST_LENGTHS[0])
    assert spells.left(1.3) == pytest.approx(FIRST_LENGTHS[0] - 0.3)


def test_the_length_of_spells_is_learned():
    spells = Spells()
    now = note_spells(spells, 0.2, 1.0, 40)
    spells.note(SLOW, now)
    assert spells.left(now) == pytest.approx(0.2)
    assert spells.left(now + 0.15) == pytest.approx(0.05)


def test_a_spell_longer_than_all_others_is_taken_to_go_on():
    spells = Spells()
    spells.note(SLOW, 0.0)
    assert spells.left(10.0) == pytest.approx(10.0)


def test_a_cold_target_is_in_no_spell():
    spells = Spells()
    spells.note(200, 0.0)
    assert spells.since is None
    assert spells.left(1.0) == 0.0


def test_a_spell_whose_end_was_not_seen_teaches_no_length():
    spells = Spells()
    spells.note(SLOW, 0.0)
    spells.lose_sight()
    spells.note(USUAL, 30.0)
    assert list(spells.lengths) == list(FIRST_LENGTHS)


def test_the_older_a_figure_the_more_a_call_risks():
    spells = Spells()
    note_spells(spells, 0.5, 1.5, 10)
    risks = [spells.risk(0.66, age, 20.0) for age in (0.0, 0.02, 0.08)]
    assert risks[0] == 0.0
    assert risks == sorted(risks)
    # About one in twenty is seven times as slow.
    assert risks[2] == pytest.approx(0.08 / 1.5 * 0.66 * 6.0, rel=0.1)


def test_a_target_without_spells_is_soon_trusted():
    spells = Spells()
    spells.note(USUAL, 0.0)
    assert spells.risk(0.66, 0.08, 1.0) > 0.05
    assert spells.risk(0.66, 0.08, 60.0) == pytest.approx(
        0.08 / 21.0 * 0.66 * FIRST_EXCESS
    )


def test_progress_counts_work_at_the_pace_of_each_moment():
    progress = Progress()
    progress.note(USUAL, 0.0)
    progress.note(SLOW, 1.0)
    assert progress.until(1.7) == pytest.approx(1.1)
    progress.note(USUAL, 1.7)
    assert progress.until(2.0) == pytest.approx(1.4)


def changed_calls(seed: int, keeps: bool):
    """Yield either account of calls that began before a spell.

    Their times vary by a third, as those of real calls do. Work of 0.5 s
    begins 0.1 to 0.4 s before a spell of 0.5 s with a seventh of the speed.
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
    keeping = PaceKeeping()
    assert keeping.kept
    for by_keeping, by_following in changed_calls(seed, keeps):
        keeping.note(by_keeping, by_following)
    assert keeping.kept is keeps
