"""Targets with few slots right after a restart of all of them.

Guards against slots that stay idle while callers are refused: all targets of a
service come back at once and take twice as long, so more than two of their
three slots are wanted all the time, and nothing is known of them yet.
"""

import heapq
import random

import pytest

from cyclamenlift.gate.concurrency import ConcurrencyLimiter
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Verdict
from cyclamenlift.http.target_reports import TargetLoad
from tests.gate.builders import look_up

SLOTS = 3
WORK = 0.060
COLD_PACE = 200
# Calls that want a slot at a time, of three.
LOAD = 2.2
OBJECTIVE = 0.300
DEADLINE = 0.800
SECONDS = 3.0
GATES = 12


class ColdGate:
    """Event-driven simulation of one gate in its first seconds."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.rate = LOAD / (WORK * COLD_PACE / 100)
        self.state = GateState(SLOTS)
        self.state.note_target_load(TargetLoad(0, 0, SLOTS, COLD_PACE), 0.0)
        self.heap = []
        self.number = 0
        self.came = 0
        # Calls that were queued or refused while a slot was free.
        self.turned_away_beside_idle = 0

    def push(self, at: float, step, *details) -> None:
        self.number += 1
        heapq.heappush(self.heap, (at, self.number, step, details))

    def run(self) -> None:
        self.push(0.0, self.come)
        while self.heap:
            now, _, step, details = heapq.heappop(self.heap)
            step(now, *details)

    def come(self, now: float) -> None:
        if now > SECONDS:
            return
        self.push(now + self.rng.expovariate(self.rate), self.come)
        self.came += 1
        key = (self.number, now)
        admission = self.state.admit_routed(
            look_up(key, now, OBJECTIVE, DEADLINE), now
        )
        if admission.verdict is Verdict.START:
            self.begin(now, key)
            return
        self.turned_away_beside_idle += len(self.state.running) < SLOTS
        if admission.verdict is Verdict.QUEUED:
            self.push(admission.latest_start, self.give_up, key)

    def give_up(self, _now: float, key) -> None:
        self.state.withdraw(key)

    def begin(self, now: float, key) -> None:
        seconds = WORK * COLD_PACE / 100 * self.rng.uniform(0.7, 1.3)
        self.push(now + seconds, self.end, key, seconds)

    def end(self, now: float, key, seconds: float) -> None:
        running = len(self.state.running)
        load = TargetLoad(running, 0, SLOTS, COLD_PACE)
        self.state.note_target_load(load, now)
        for started in self.state.finish(key, seconds, False, now).started:
            self.begin(now, started)


@pytest.mark.parametrize('seed', range(4))
def test_no_slot_is_idle_while_callers_are_refused(seed):
    came = turned_away = 0
    for number in range(GATES):
        gate = ColdGate(100 * seed + number)
        gate.run()
        came += gate.came
        turned_away += gate.turned_away_beside_idle
    assert came > 500
    assert not turned_away


@pytest.mark.parametrize('slots', range(1, 5))
def test_all_of_few_slots_are_used_at_first(slots):
    # Guards against rounding that idles a third of three slots.
    assert ConcurrencyLimiter(slots).limit(0.0) == slots
