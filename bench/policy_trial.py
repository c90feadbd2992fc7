"""Simulate the routing policies quickly, without processes.

Entries are real ``RoutingState`` objects; targets are slots with a queue on
an event heap. The simulation reveals weaknesses of routing decisions within
seconds. Its figures are trials, not measurements: ``bench.policies``
measures with processes.

    python -m bench.policy_trial --sites dundee --scenarios straggler
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import math
import multiprocessing
import random
import statistics

import fire

from cyclamenlift.gate.estimates import ErrorShare
from cyclamenlift.gate.estimates import ServiceTime
from cyclamenlift.models.document import document_from_value
from cyclamenlift.models.rules import rules_from_document
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.state import RoutingState
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

SERVICE = 'prices'
FAULT_AT = 2.0
WARM_UP = 1.0
GOSSIP_SECONDS = 1.0
FAILURE_DETECTION_SECONDS = 4.0
MAX_TRIES = 3
UPLOAD_SHARE = 0.01
UPLOAD_WORK_FACTOR = 15.0
QUEUE_LIMIT = 16
POLICY_NAMES = (
    'random',
    'round_robin',
    'least_calls',
    'power_of_two',
    'hot_cold',
)
SCENARIOS = (
    'even',
    'straggler',
    'noisy',
    'fail_fast',
    'misleading',
    'cold_start',
    'drain',
    'kill',
    'uploads',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Sizes of one site; times in seconds."""

    data_centres: int
    entries: int
    targets: int
    slots: int
    cross_centre_delay: float
    service: float = 0.020
    load: float = 0.6
    seconds: float = 8.0

    def rate(self) -> float:
        return self.load * self.targets * self.slots / self.service


SITES = {
    'addis': Site(3, 13, 6, 20, 0.001),
    'addis4': Site(3, 13, 4, 20, 0.001),
    'addis3': Site(3, 13, 3, 20, 0.001),
    'dundee': Site(4, 12, 4, 6, 0.0015),
}


class Target:
    """A target with slots, a bounded queue and injected faults."""

    def __init__(self, number: int, site: Site, rng: random.Random):
        self.number = number
        self.name = f't{number}'
        self.site = site
        self.rng = rng
        self.running = 0
        self.queue: collections.deque = collections.deque()
        self.latency = ServiceTime()
        self.errors = ErrorShare()
        self.factor = 1.0
        self.cold_until = 0.0
        self.noise = False
        self.noisy = False
        self.noise_ends = 0.0
        self.fails_fast = False
        self.misreports_load = False
        self.draining = False
        self.dead = False
        self.calls = 0

    def slowdown(self, now: float) -> float:
        factor = self.factor
        if now < self.cold_until:
            factor *= 1.0 + 7.0 * (self.cold_until - now) / 3.0
        if self.noise:
            while self.noise_ends <= now:
                self.noisy = not self.noisy
                mean = 0.02 if self.noisy else 0.18
                self.noise_ends += self.rng.expovariate(1.0) * mean
            factor *= 4.0 if self.noisy else 1.0
        return factor

    def service_time(self, now: float) -> float:
        random_factor = math.exp(self.rng.gauss(0.0, 0.5) - 0.125)
        return self.site.service * random_factor * self.slowdown(now)

    def figures(self, now: float) -> LoadFigures:
        state = TargetState.DRAINING if self.draining else TargetState.READY
        busy = 0 if self.misreports_load else self.running
        waiting = 0 if self.misreports_load else len(self.queue)
        return LoadFigures(
            busy,
            waiting,
            self.site.slots,
            int(self.latency.mean * 1e6),
            int(self.errors.share(now) * 1000),
            state,
        )


@dataclasses.dataclass(slots=True)
class Call:
    """A call in progress."""

    entry: int
    started_at: float
    tried: frozenset = frozenset()
    tries: int = 0
    work: float = 1.0
    sent: float = 0.0
    target: Target | None = None


class Simulation:
    """A simulation of one policy in one scenario."""

    def __init__(self, site: Site, policy: str, scenario: str, seed: int):
        self.site = site
        self.rng = random.Random(seed)
        self.scenario = scenario
        self.now = 0.0
        self.heap: list = []
        self.sequence = itertools.count()
        self.targets = [
            Target(i, site, random.Random(seed * 100 + i))
            for i in range(site.targets)
        ]
        self.entries = [
            self.build_entry(i, policy) for i in range(site.entries)
        ]
        self.latencies: list[float] = []
        self.failures = 0
        self.calls = 0
        self.probes = 0

    def build_entry(self, number: int, policy: str) -> RoutingState:
        data_centre = self.data_centre_of(number)
        state = RoutingState(data_centre, random.Random(self.rng.random()))
        document = {
            'event': 'trial',
            'starts_at': '2026-01-01T00:00:00Z',
            'ends_at': '2027-01-01T00:00:00Z',
            'services': [{'name': SERVICE, 'policy': policy}],
        }
        parsed = document_from_value(document).unwrap()
        state.set_rules(rules_from_document(parsed, 1))
        for target in self.targets:
            state.note_member(self.build_record(target), 0.0)
        for other in range(self.site.targets, self.site.entries):
            record = MemberRecord(f'e{other}', 1, MemberState.ALIVE)
            record.service_name = ''
            state.note_member(record, 0.0)
        return state

    def data_centre_of(self, number: int) -> str:
        return f'dc{number % self.site.data_centres}'

    def build_record(self, target: Target, **changes) -> MemberRecord:
        record = MemberRecord(
            instance=target.name,
            incarnation=1,
            state=MemberState.ALIVE,
            data_centre=self.data_centre_of(target.number),
            peer_address=f'127.0.0.1:{1000 + target.number}',
            service_name=SERVICE,
            slots=self.site.slots,
            target_state=TargetState.READY,
            target_name='',
        )
        for name, value in changes.items():
            setattr(record, name, value)
        return record

    def schedule(self, when: float, action: Callable, *arguments) -> None:
        item = (when, next(self.sequence), action, arguments)
        heapq.heappush(self.heap, item)

    def run(self) -> None:
        self.schedule(FAULT_AT, self.start_fault)
        self.schedule(0.0, self.start_next_call)
        while self.heap:
            self.now, _, action, arguments = heapq.heappop(self.heap)
            action(*arguments)

    def start_fault(self) -> None:
        """Inject the fault of the scenario, mostly into the first target."""
        first = self.targets[0]
        match self.scenario:
            case 'straggler':
                first.factor = 5.0
            case 'noisy':
                for target in self.targets:
                    target.noise = True
                    target.noise_ends = self.now
            case 'fail_fast':
                first.fails_fast = True
            case 'misleading':
                first.factor = 3.0
                for target in self.targets[::2]:
                    target.misreports_load = True
            case 'cold_start':
                self.announce_state(first, MemberState.LEFT)
                self.schedule(FAULT_AT + 1.0, self.rejoin, first)
            case 'drain':
                first.draining = True
                changes = {'target_state': TargetState.DRAINING}
                self.gossip_record(first, GOSSIP_SECONDS, changes)
            case 'kill':
                self.kill(first)

    def announce_state(self, target: Target, state: MemberState) -> None:
        self.gossip_record(target, 0.0, {'state': state})

    def gossip_record(
        self, target: Target, seconds: float, changes: dict
    ) -> None:
        """Deliver a changed record to each entry within ``seconds``."""
        for entry in self.entries:
            record = self.build_record(target, **changes)
            delay = self.rng.random() * seconds
            self.schedule(self.now + delay, self.deliver_record, entry, record)

    def deliver_record(
        self, entry: RoutingState, record: MemberRecord
    ) -> None:
        entry.note_member(record, self.now)

    def rejoin(self, target: Target) -> None:
        target.cold_until = self.now + 3.0
        self.gossip_record(target, GOSSIP_SECONDS, {'incarnation': 2})

    def kill(self, target: Target) -> None:
        target.dead = True
        while target.queue:
            self.send_answer(target.queue.popleft(), Outcome.LOST)
        self.gossip_record(
            target, FAILURE_DETECTION_SECONDS, {'state': MemberState.DEAD}
        )

    def start_next_call(self) -> None:
        if self.now < self.site.seconds:
            pause = self.rng.expovariate(self.site.rate())
            self.schedule(self.now + pause, self.start_next_call)
        self.calls += self.now >= WARM_UP
        entry = self.rng.randrange(self.site.entries)
        call = Call(entry, self.now)
        if self.scenario == 'uploads' and self.rng.random() < UPLOAD_SHARE:
            call.work = UPLOAD_WORK_FACTOR
        self.send(call)

    def send(self, call: Call) -> None:
        entry = self.entries[call.entry]
        choice = entry.choose(SERVICE, self.now, call.tried)
        if choice is None or call.tries == MAX_TRIES:
            self.finish(call, False)
            return
        call.tries += 1
        call.sent = self.now
        call.target = self.targets[int(choice.instance[1:])]
        call.tried = call.tried | {choice.instance}
        entry.call_started(SERVICE, choice.instance, self.now)
        self.schedule(
            self.now + self.network_delay(call), self.arrive_at_gate, call
        )
        for order in entry.probes_due(SERVICE, self.now):
            self.probes += 1
            probed = self.targets[int(order.instance[1:])]
            arrives_at = self.now + 2 * self.network_delay(call)
            self.schedule(arrives_at, self.deliver_load, entry, probed)

    def network_delay(self, call: Call) -> float:
        near = self.data_centre_of(call.entry) == self.data_centre_of(
            call.target.number
        )
        return 0.0002 if near else 0.0002 + self.site.cross_centre_delay

    def deliver_load(self, entry: RoutingState, target: Target) -> None:
        if not target.dead:
            figures = target.figures(self.now)
            entry.note_load(SERVICE, target.name, figures, self.now)

    def arrive_at_gate(self, call: Call) -> None:
        """Accept, queue or refuse a call at its gate."""
        target = call.target
        if target.dead:
            self.send_answer(call, Outcome.LOST)
        elif target.draining:
            self.send_answer(call, Outcome.REFUSED_DRAINING)
        elif target.fails_fast:
            target.errors.note(True, self.now)
            self.send_answer(call, Outcome.TARGET_ERROR)
        elif target.running < self.site.slots:
            self.start_call(call)
        elif len(target.queue) < QUEUE_LIMIT:
            target.queue.append(call)
        else:
            self.send_answer(call, Outcome.REFUSED_OVERLOAD)

    def start_call(self, call: Call) -> None:
        target = call.target
        target.running += 1
        target.calls += 1
        seconds = call.work * target.service_time(self.now)
        self.schedule(self.now + seconds, self.end_call, call, seconds)

    def end_call(self, call: Call, seconds: float) -> None:
        target = call.target
        target.running -= 1
        target.latency.note(seconds)
        target.errors.note(False, self.now)
        if target.queue:
            self.start_call(target.queue.popleft())
        outcome = Outcome.LOST if target.dead else Outcome.ANSWERED
        self.send_answer(call, outcome)

    def send_answer(self, call: Call, outcome: Outcome) -> None:
        figures = call.target.figures(self.now)
        arrives_at = self.now + self.network_delay(call)
        self.schedule(arrives_at, self.receive_answer, call, outcome, figures)

    def receive_answer(self, call: Call, outcome: Outcome, figures) -> None:
        entry = self.entries[call.entry]
        name = call.target.name
        duration = self.now - call.sent
        if outcome is not Outcome.LOST:
            entry.note_load(SERVICE, name, figures, self.now)
        entry.call_ended(SERVICE, name, outcome, duration, self.now)
        if outcome is Outcome.ANSWERED:
            self.finish(call, True)
        elif outcome is Outcome.TARGET_ERROR:
            self.finish(call, False)
        else:
            self.send(call)

    def finish(self, call: Call, answered: bool) -> None:
        if call.started_at < WARM_UP or call.work > 1.0:
            return
        if answered:
            self.latencies.append(self.now - call.started_at)
        else:
            self.failures += 1


@dataclasses.dataclass(frozen=True, slots=True)
class Row:
    """Result of one run; latency in milliseconds."""

    p50: float
    p99: float
    p999: float
    failures: float
    probes: float


def run_one(job: tuple[str, str, str, int]) -> Row:
    """Run one simulation in a worker process."""
    site, scenario, policy, seed = job
    simulation = Simulation(SITES[site], policy, scenario, seed)
    simulation.run()
    ordered = sorted(simulation.latencies)

    def percentile_ms(share: float) -> float:
        return 1000.0 * ordered[int(share * (len(ordered) - 1))]

    return Row(
        percentile_ms(0.5),
        percentile_ms(0.99),
        percentile_ms(0.999),
        simulation.failures / simulation.calls,
        simulation.probes / simulation.calls,
    )


def split_names(value) -> tuple[str, ...]:
    """Return a comma-separated list, which ``fire`` may have split."""
    return tuple(value.split(',')) if isinstance(value, str) else value


def main(
    sites='addis,dundee',
    scenarios=SCENARIOS,
    policies=POLICY_NAMES,
    seeds: int = 5,
    workers: int = 4,
) -> None:
    """Print the medians of all seeds for each site, scenario and policy."""
    groups = list(
        itertools.product(
            split_names(sites), split_names(scenarios), split_names(policies)
        )
    )
    jobs = [(*group, seed) for group in groups for seed in range(seeds)]
    with multiprocessing.Pool(workers) as pool:
        rows = pool.map(run_one, jobs, chunksize=1)
    print('site scenario policy p50 p99 [least..most] p99.9 failed probes')
    for index, group in enumerate(groups):
        print(*group, describe(rows[index * seeds : (index + 1) * seeds]))


def describe(rows: list[Row]) -> str:
    """Return a line with the medians of several runs."""
    p99 = [row.p99 for row in rows]
    median = {
        name: statistics.median(getattr(row, name) for row in rows)
        for name in ('p50', 'p99', 'p999', 'failures', 'probes')
    }
    return (
        f'{median["p50"]:.1f} {median["p99"]:.1f} '
        f'[{min(p99):.1f}..{max(p99):.1f}] {median["p999"]:.1f} '
        f'{100 * median["failures"]:.3f}% {median["probes"]:.3f}'
    )


if __name__ == '__main__':
    fire.Fire(main)
