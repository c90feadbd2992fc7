"""Targets that are cold after a start get no more calls than they bear.

Guards against a metastable failure: all targets of a service restart at once,
each bears a third of its usual calls while it is cold, ends when it gets more,
comes back cold and gets them again. The load that was harmless before keeps
the service down.
"""

import collections
import heapq
import random

import hypothesis
from hypothesis import strategies
import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.cold_start import ColdRate
from cyclamenlift.gate.cold_start import ColdStartLimit
from cyclamenlift.gate.cold_start import NO_LIMIT
from cyclamenlift.gate.cold_start import WINDOW_SECONDS
from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Verdict
from cyclamenlift.http.target_reports import TargetLoad
from tests.gate.builders import GateBench
from tests.gate.builders import look_up

RATE = ColdRate(8.5, 3.0, 1.5, 8.0)
BEARS = 8.5 * 1.5 + 8.0
# Rounding of times in the reference.
TICK = 1e-9


def cold_limit(rate: ColdRate = RATE) -> ColdStartLimit:
    limit = ColdStartLimit()
    limit.set_rate(rate)
    limit.begin_incarnation(0.0)
    return limit


def most_in_a_second(times: list[float]) -> int:
    """Return the most of these times that lie within one second."""
    return max(
        (
            sum(1 for t in times if start - TICK <= t < start + 1.0 - TICK)
            for start in times
        ),
        default=0,
    )


@hypothesis.given(
    gaps=strategies.lists(
        strategies.floats(0.0, 0.4, allow_nan=False), max_size=150
    )
)
def test_no_second_holds_more_than_a_cold_target_bears(gaps):
    # Guards against a window that starts anew each second: twice as many
    # calls as a target bears then fall around its edge.
    limit = cold_limit()
    limit.note_page(1000.0, 0.0, 0.0)
    now = 0.0
    sent = []
    refused = []
    for number, gap in enumerate(gaps):
        now += gap
        if limit.wait(now):
            refused.append(now)
            continue
        limit.promise(number)
        limit.note_sent(number, now)
        sent.append(now)
    assert most_in_a_second(sent) <= RATE.max_calls <= BEARS
    for instant in refused:
        before = [t for t in sent if instant - 1.0 < t <= instant]
        assert len(before) >= RATE.max_calls


@pytest.mark.parametrize('ahead', [0, 1, 15, 16, 40])
def test_the_time_to_wait_is_the_one_after_which_a_call_may_be_sent(ahead):
    # Guards against callers told to return when the window is still full.
    limit = cold_limit()
    for number in range(RATE.max_calls):
        limit.note_sent(number, 0.01 * number)
    now = 0.2
    for _ in range(ahead):
        now += limit.wait(now)
        limit.note_sent('ahead', now)
    due = now + limit.wait(now)
    told = cold_limit()
    for number in range(RATE.max_calls):
        told.note_sent(number, 0.01 * number)
    assert 0.2 + told.wait(0.2, ahead) == pytest.approx(due)
    assert not limit.wait(due + TICK)


def test_calls_with_a_slot_count_before_they_are_sent():
    # Guards against uploads that are all sent when their bodies have come.
    limit = cold_limit()
    for number in range(RATE.max_calls):
        limit.promise(number)
    assert limit.wait(0.0) > 0.0
    limit.withdraw(0)
    assert not limit.wait(0.0)


def test_a_target_of_unknown_warmth_counts_as_cold():
    # Guards against a restarted daemon that floods a target still cold.
    limit = cold_limit()
    assert limit.is_cold(2.9)
    assert not limit.is_cold(3.0)


def test_a_delayed_announcement_does_not_overrule_the_page():
    # Guards against a heartbeat sent while the target was still warm.
    limit = cold_limit()
    limit.note_page(2.0, 0.99, 1.0)
    limit.note_announcement(0.0, 1.5)
    assert limit.is_cold(1.6)


def test_a_target_that_turns_cold_unnoticed_gets_what_a_cold_one_bears():
    # Guards against a burst between two looks at the health page.
    limit = cold_limit()
    limit.note_page(0.0, 0.0, 0.0)
    sent = 0
    now = 0.1
    while not limit.wait(now) and now < 0.9:
        limit.note_sent(sent, now)
        sent += 1
        now += 0.01
    assert sent == RATE.max_calls
    assert limit.needs_report(now)
    limit.note_page(0.0, now, now)
    assert not limit.wait(now)


def test_calls_count_on_while_the_known_incarnation_changes_back_and_forth():
    # Guards against a delayed announcement of an old incarnation, which the
    # page corrects: the target got calls before and gets them after.
    limit = cold_limit()
    limit.note_page(2.5, 0.0, 0.0)
    for number in range(RATE.max_calls):
        limit.note_sent(number, 0.1)
    limit.begin_incarnation(0.2)
    limit.begin_incarnation(0.3)
    limit.note_page(2.2, 0.3, 0.3)
    assert limit.wait(0.4) == pytest.approx(0.7)


def test_an_announcement_does_not_vouch_for_a_predecessor():
    # Guards against a heartbeat sent while the target was still warm.
    limit = cold_limit()
    limit.follow_predecessor(10.0)
    limit.note_announcement(0.0, 10.4)
    assert limit.wait(10.4) == pytest.approx(0.6)


def test_a_gate_that_starts_again_counts_what_its_predecessor_may_have_sent():
    # Guards against twice what a cold target bears in the second in which its
    # daemon is killed and started again.
    limit = cold_limit(NO_LIMIT)
    limit.follow_predecessor(10.0)
    limit.note_page(1.5, 10.39, 10.4)
    # The document, which has the rate, comes after the first page.
    limit.set_rate(RATE)
    assert limit.wait(10.4) == pytest.approx(0.6)
    assert not limit.wait(11.0)


def test_a_target_that_started_with_its_gate_is_used_at_once():
    # Guards against a second without calls after a restart of everything.
    limit = cold_limit()
    limit.follow_predecessor(10.0)
    limit.note_page(2.6, 10.39, 10.4)
    assert not limit.wait(10.4)


def test_a_warm_target_is_used_at_once_by_a_gate_that_has_just_started():
    # Guards against a second without calls after each restart of a daemon.
    limit = cold_limit()
    limit.follow_predecessor(10.0)
    limit.note_page(0.0, 10.39, 10.4)
    assert not limit.wait(10.4)


def test_without_a_rate_nothing_is_limited_or_counted():
    # Guards against costs for services that declare no rate.
    limit = cold_limit(NO_LIMIT)
    for number in range(1000):
        limit.promise(number)
        limit.note_sent(number, 1.0)
    assert not limit.wait(1.0)
    assert not limit.window.sent


class PageBench(GateBench):
    """A gate whose target has a rate while it is cold, and its page."""

    def __init__(self):
        super().__init__()
        self.gate.state.start_limits.cold.set_rate(RATE)
        self.health = HealthCheck(self.gate, self.target, settings=None)
        self.health.status = 200

    def look(self, cold_ms: str, age: float = 0.0) -> None:
        """Answer a look at the health page that began ``age`` s ago."""
        self.health.request_sent_at = self.gate.now() - age
        self.health.on_head(
            200,
            [
                ('x-name', 'i-1'),
                ('x-load', '0,0,8'),
                ('x-cold', cold_ms),
            ],
            0,
        )


def test_a_gate_refuses_what_its_cold_target_does_not_bear():
    # Guards against calls begun at a cold target above its rate.
    bench = PageBench()
    bench.look('2500')
    for number in range(40):
        bench.send_call(number)
    assert len(bench.target.requests) <= RATE.max_calls
    refused = [m for m in bench.outcomes if m.code == ResultCode.TARGET_COLD]
    waiting = len(bench.gate.state.queue)
    assert len(bench.target.requests) + len(refused) + waiting <= 40
    for refusal in refused:
        assert 0 < refusal.retry_after_ms


def test_a_warm_target_is_asked_before_it_gets_more():
    # Guards against warm targets held to the rate of cold ones, and against
    # not asking whether they have become cold.
    bench = PageBench()
    bench.gate.set_slots(60)
    bench.look('0', age=0.1)
    for number in range(RATE.max_calls + 1):
        bench.send_call(number)
    assert len(bench.target.requests) == RATE.max_calls
    assert bench.queries > 0
    bench.look('0')
    assert len(bench.target.requests) == RATE.max_calls + 1


def test_an_announcement_of_another_incarnation_is_cold_until_told():
    # Guards against what was known of the target before its restart.
    bench = PageBench()
    bench.look('0')
    bench.gate.announce(
        Announcement('i-2', 'prices', 8, warm_up_seconds=3.0, sequence=1)
    )
    assert bench.gate.state.start_limits.cold.is_cold(bench.gate.now())


SLOTS = 6
WORK = 0.045
TARGETS = 12
CALLS_PER_SECOND = 25.0 * TARGETS
OBJECTIVE = 0.20
DEADLINE = 0.60
COLD_SECONDS = 3.0
DOWN_SECONDS = 1.0
COLD_PACE = 200
RESTART = 5.0
END = 20.0
GATES_ASKED = 8


class ColdTarget:
    """A target that ends when it gets too many calls while it is cold."""

    def __init__(self, rate: ColdRate):
        self.rate = rate
        self.warm_at = 0.0
        self.ends = 0
        self.recent: collections.deque[float] = collections.deque()
        self.up = True
        self.state = GateState(SLOTS)
        self.state.start_limits.cold.set_rate(rate)
        self.begin(0.0, 0.0)

    def begin(self, now: float, cold: float) -> None:
        self.warm_at = now + cold
        self.up = True
        self.recent.clear()
        state = GateState(SLOTS)
        state.start_limits.cold.set_rate(self.rate)
        state.start_limits.cold.begin_incarnation(now)
        state.start_limits.cold.note_page(cold, now, now)
        state.note_target_load(self.load(now), now)
        self.state = state

    def load(self, now: float) -> TargetLoad:
        pace = COLD_PACE if now < self.warm_at else 100
        return TargetLoad(len(self.state.running), 0, SLOTS, pace)

    def bears(self, now: float) -> bool:
        """Count a call; return whether the target survives it."""
        self.recent.append(now)
        while self.recent[0] <= now - WINDOW_SECONDS:
            self.recent.popleft()
        return now >= self.warm_at or len(self.recent) <= BEARS


class RestartOfAll:
    """Event-driven simulation of a service whose targets restart at once."""

    def __init__(self, rate: ColdRate, seed: int):
        self.rng = random.Random(seed)
        self.targets = [ColdTarget(rate) for _ in range(TARGETS)]
        self.heap: list = []
        self.number = 0
        self.came = collections.Counter()
        self.served = collections.Counter()

    def push(self, at: float, step, *details) -> None:
        self.number += 1
        heapq.heappush(self.heap, (at, self.number, step, details))

    def run(self) -> None:
        self.push(0.0, self.come)
        self.push(RESTART, self.restart_all)
        while self.heap:
            now, _, step, details = heapq.heappop(self.heap)
            if now > END:
                return
            step(now, *details)

    def restart_all(self, now: float) -> None:
        for target in self.targets:
            target.begin(now, COLD_SECONDS)

    def come(self, now: float) -> None:
        self.push(now + self.rng.expovariate(CALLS_PER_SECOND), self.come)
        self.came[int(now)] += 1
        up = [t for t in self.targets if t.up]
        asked = self.rng.sample(up, min(GATES_ASKED, len(up)))
        asked.sort(key=lambda t: len(t.state.running) + len(t.state.queue))
        request = look_up(self.number, now, OBJECTIVE, DEADLINE)
        for target in asked:
            state = target.state
            cold = max(0.0, target.warm_at - now)
            state.start_limits.cold.note_page(cold, now, now)
            state.note_target_load(target.load(now), now)
            admission = state.admit_routed(request, now)
            if admission.verdict is Verdict.START:
                self.begin(now, target, state, request)
                return
            if admission.verdict is Verdict.QUEUED:
                wait = max(0.001, state.start_limits.cold.wait(now))
                self.push(now + wait, self.dequeue, target, state)
                return

    def begin(self, now: float, target, state, request) -> None:
        state.start_limits.cold.note_sent(request.key, now)
        if not target.bears(now):
            target.up = False
            target.ends += 1
            self.push(now + DOWN_SECONDS, self.come_back, target)
            return
        pace = target.load(now).pace_percent / 100
        work = WORK * pace * self.rng.uniform(0.7, 1.3)
        self.push(now + work, self.end, target, state, request, work)

    def come_back(self, now: float, target) -> None:
        target.begin(now, COLD_SECONDS)

    def end(self, now: float, target, state, request, work) -> None:
        if state is not target.state or not target.up:
            return
        if now <= request.useful_deadline:
            self.served[int(request.useful_deadline - OBJECTIVE)] += 1
        state.finish(request.key, work, False, now)
        self.dequeue(now, target, state)

    def dequeue(self, now: float, target, state) -> None:
        if state is not target.state or not target.up:
            return
        requests = dict(state.queue)
        for key in state.start_queued(now).started:
            self.begin(now, target, state, requests[key])

    def share(self, second: int) -> float:
        return self.served[second] / max(1, self.came[second])


@pytest.mark.parametrize('seed', range(4))
def test_a_service_whose_targets_restart_at_once_is_back_in_4_s(seed):
    # Guards against targets that end again and again under the usual load.
    service = RestartOfAll(RATE, seed)
    service.run()
    assert not sum(target.ends for target in service.targets)
    for second in range(int(RESTART) + 4, int(END) - 1):
        assert service.share(second) >= 0.9


def test_the_same_service_stays_down_without_a_limit():
    # Shows that the simulated load does keep unprotected targets down.
    service = RestartOfAll(NO_LIMIT, seed=1)
    service.run()
    assert sum(target.ends for target in service.targets) > TARGETS
    assert service.share(int(RESTART) + 8) < 0.9
