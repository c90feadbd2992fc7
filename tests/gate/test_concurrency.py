"""The concurrency limit of a target is learned from its calls.

Guards against running too many or too few calls at once. More calls than slots
arrive for seconds. Some targets take 1.7 times as long for every call while
more than eight tenths of their 15 slots are in use, others don't. Service
times vary by a third. With 15 slots in use the first kind has the throughput
of 9.
"""

import random

import pytest

from cyclamenlift.gate.concurrency import ConcurrencyLimiter
from cyclamenlift.gate.concurrency import TRIAL_INTERVAL_SECONDS
from cyclamenlift.gate.state import GateState
from cyclamenlift.http.target_reports import TargetLoad

SLOTS = 15
WORK = {'look-up': 0.060, 'order': 0.078, 'list': 0.150}
SPREAD = 0.33


class Target:
    """A saturated target: as many calls run as the limit allows."""

    def __init__(self, knee: float, slower: float, slots: int = SLOTS):
        self.state = GateState(slots)
        self.knee = knee * slots
        self.slower = slower
        self.rng = random.Random(7)
        self.now = 0.0

    def answer(self, calls: int, most: int = 10**6) -> list[int]:
        """Answer ``calls`` calls; return the concurrency of each."""
        rooms = []
        for _ in range(calls):
            running = min(self.state.concurrency_limit, most)
            rooms.append(running)
            route = self.rng.choice(sorted(WORK))
            seconds = WORK[route] * self.rng.lognormvariate(0.0, SPREAD)
            if running > self.knee:
                seconds *= self.slower
            self.now += seconds / running
            self.state.note_work(route, seconds, running - 1, self.now)
        return rooms


@pytest.mark.parametrize('slots', [6, 13, 15, 18, 40])
def test_limit_reaches_the_best_throughput_under_contention(slots):
    target = Target(0.8, 1.7, slots)
    target.answer(400)
    rooms = target.answer(2000)
    best = int(0.8 * slots)
    assert rooms.count(best) > 0.9 * len(rooms)


@pytest.mark.parametrize('slots', [6, 13, 15, 18, 40])
def test_limit_reaches_all_slots_without_contention(slots):
    target = Target(2.0, 1.0, slots)
    rooms = target.answer(3000)
    assert rooms.index(slots) < 250
    assert rooms.count(slots) > 0.85 * len(rooms)


def test_contention_below_the_initial_share_is_detected():
    target = Target(0.6, 2.0)
    target.answer(100, most=9)
    target.answer(600)
    rooms = target.answer(1000)
    assert rooms.count(9) > 0.9 * len(rooms)


def test_no_trial_starts_during_a_slowdown():
    target = Target(0.8, 1.7)
    target.answer(7)
    for _ in range(30):
        load = TargetLoad(0, 0, SLOTS, 400)
        target.state.note_target_load(load, target.now)
        assert set(target.answer(10)) == {12}


def test_cold_target_without_contention_gets_its_slots_soon():
    """In the first seconds after a start every caller is back at once."""
    target = Target(2.0, 1.0)
    rooms = []
    for _ in range(30):
        load = TargetLoad(0, 0, SLOTS, 200)
        target.state.note_target_load(load, target.now)
        rooms += target.answer(5)
    assert rooms.index(13) <= 60
    assert rooms.index(SLOTS) <= 110


def test_limit_rises_again_when_contention_ends():
    target = Target(0.8, 1.7)
    target.answer(400)
    assert target.state.performance.limiter.chosen == 12
    target.slower = 1.0
    begun = target.now
    while target.state.performance.limiter.chosen < SLOTS:
        target.answer(50)
        assert target.now - begun < 3 * TRIAL_INTERVAL_SECONDS


def test_band_includes_its_upper_bound():
    crowding = ConcurrencyLimiter(SLOTS)
    assert crowding.is_uncontended(12.0)
    assert not crowding.is_uncontended(13.0)
    assert crowding.contention_factor(15.0) == 1.0


def test_nested_calls_do_not_count_as_contention():
    state = GateState(SLOTS)
    for _ in range(60):
        state.note_work('order', 0.078, 5, 0.0)
        state.note_work('order', 0.178, 12, 0.0, nested=0.100)
    assert state.concurrency_limit > 12


def test_call_during_a_pace_change_is_no_sample():
    state = GateState(SLOTS)
    state.note_target_load(TargetLoad(3, 0, SLOTS, 100), 1.0)
    state.note_work('list', 0.150, 3, 1.1)
    assert not state.performance.work.has_samples('list', 1)
    state.note_work('list', 0.150, 3, 1.2)
    assert state.performance.work.has_samples('list', 1)


def test_work_measured_on_a_cold_target_is_normalized():
    state = GateState(SLOTS)
    state.note_target_load(TargetLoad(3, 0, SLOTS, 200), 1.0)
    for step in range(20):
        state.note_target_load(TargetLoad(3, 0, SLOTS, 200), 2.0 + step)
        state.note_work('list', 0.300, 3, 2.0 + step)
    assert state.performance.work.seconds('list') == pytest.approx(0.150)
