"""Overload of a target that has just started.

Guards against admitting calls that will be late. After a restart of all
instances every caller is back at once, while targets take twice as long for
three seconds. Calls of 60 ms, plus or minus a third, each useful for 200 ms,
arrive at random at up to twice the rate that twelve of 15 slots can serve
then. Half of the calls that are admitted at the last moment at which the mean
call would be in time are late, while shorter queues keep the slots as busy.
"""

import heapq
import random

import pytest

from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Verdict
from cyclamenlift.http.target_reports import TargetLoad
from tests.gate.builders import look_up

SLOTS = 15
ROOM = 12
WORK = 0.060
COLD = 2.0
SPREAD = 0.33
OBJECTIVE = 0.200
DEADLINE = 0.500
SECONDS = 20.0


class Overload:
    """Event-driven simulation of one gate and its target."""

    def __init__(self, times_what_fits: float, seed: int):
        self.rng = random.Random(seed)
        self.rate = times_what_fits * ROOM / (COLD * WORK)
        self.state = GateState(SLOTS)
        self.heap = []
        self.number = 0
        self.busy = 0.0
        self.in_time = 0
        self.late = 0
        self.refused = 0

    def run(self) -> None:
        heapq.heappush(self.heap, (0.0, 0, 'come', None))
        while self.heap:
            now, _, what, detail = heapq.heappop(self.heap)
            if now > SECONDS:
                return
            if what == 'come':
                self.come(now)
            elif what == 'wait over':
                if self.state.withdraw(detail):
                    self.refused += 1
            else:
                self.end(now, *detail)

    def push(self, instant: float, what: str, detail) -> None:
        self.number += 1
        heapq.heappush(self.heap, (instant, self.number, what, detail))

    def come(self, now: float) -> None:
        self.push(now + self.rng.expovariate(self.rate), 'come', None)
        key = (self.number, now)
        request = look_up(key, now, OBJECTIVE, DEADLINE)
        admission = self.state.admit_routed(request, now)
        if admission.verdict is Verdict.START:
            self.begin(key, now)
        elif admission.verdict is Verdict.REFUSED:
            self.refused += 1
        else:
            self.push(admission.latest_start, 'wait over', key)

    def begin(self, key, now: float) -> None:
        seconds = COLD * WORK * self.rng.lognormvariate(0.0, SPREAD)
        mark = self.state.occupancy.mark(now)
        self.push(now + seconds, 'end', (key, seconds, mark))

    def end(self, now: float, key, seconds: float, mark) -> None:
        load = TargetLoad(len(self.state.running), 0, SLOTS, 200)
        self.state.note_target_load(load, now)
        beside = self.state.occupancy.mean_since(mark, now) - 1.0
        self.state.note_work('look-up', seconds, beside, now)
        self.busy += seconds
        if now - key[1] <= OBJECTIVE:
            self.in_time += 1
        else:
            self.late += 1
        for started in self.state.finish(key, seconds, False, now).started:
            self.begin(started, now)


@pytest.mark.parametrize('seed', range(5))
def test_overload_admits_calls_in_time_and_keeps_slots_busy(seed):
    overload = Overload(2.0, seed)
    overload.run()
    served = overload.in_time + overload.late
    assert overload.late < 0.2 * served
    assert overload.busy > 0.95 * ROOM * SECONDS


@pytest.mark.parametrize('seed', range(5))
def test_few_calls_are_refused_below_capacity(seed):
    overload = Overload(0.6, seed)
    overload.run()
    assert overload.refused < 0.05 * overload.in_time
    assert overload.late < 0.1 * overload.in_time
