"""A whole gate in virtual time, with a target that answers.

The gate, its timers and its health check run as in a daemon; only the clock
and the connection to the target are simulated.
"""

import collections
from collections.abc import Callable
import dataclasses
import heapq
import itertools
import random

from cyclamenlift.gate.health import HealthCheck
from cyclamenlift.gate.tasks import Gate
from cyclamenlift.routing.statements import TargetStatements
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews
from cyclamenlift.wire.gen.protocol.ttypes import Refused
from tests.runtime.builders import platform_like_dialect

MICROSECONDS = 1_000_000
HEALTH_PATH = '/health'
PAGE_SECONDS = 0.001
INSTANCE = 'instance-1'
# How long after a limit was first declared it is counted, and in which span.
GRACE_SECONDS = 3.0
SPAN_SECONDS = 4.0


class Timer:
    """A callback that runs unless it is cancelled first."""

    def __init__(self, callback: Callable[[], None]):
        self.callback = callback
        self.cancelled = False

    def cancel(self) -> None:
        self.cancelled = True


class VirtualTime:
    """A scheduler whose clock jumps from one timer to the next."""

    def __init__(self) -> None:
        self.clock = self
        self.time = 0.0
        self.numbers = itertools.count()
        self.heap: list[tuple[float, int, Timer]] = []

    def now(self) -> float:
        return self.time

    def unix_ms(self) -> int:
        # 0 stands for an unknown time.
        return int(self.time * 1000) + 1

    def at(self, deadline: float, callback) -> Timer:
        timer = Timer(callback)
        due = max(self.time, deadline)
        heapq.heappush(self.heap, (due, next(self.numbers), timer))
        return timer

    def after(self, seconds: float, callback) -> Timer:
        return self.at(self.time + seconds, callback)

    def every(self, seconds: float, callback) -> None:
        def step() -> None:
            callback()
            self.after(seconds, step)

        self.after(seconds, step)

    def run_until(self, end: float) -> None:
        while self.heap and self.heap[0][0] <= end:
            due, _, timer = heapq.heappop(self.heap)
            self.time = due
            if not timer.cancelled:
                timer.callback()
        self.time = end


class ProcessTime:
    """The scheduler of one process: its timers end with it."""

    def __init__(self, time: VirtualTime):
        self.clock = time
        self.time = time
        self.alive = True

    def at(self, deadline: float, callback) -> Timer:
        return self.time.at(deadline, lambda: self.run(callback))

    def after(self, seconds: float, callback) -> Timer:
        return self.at(self.time.now() + seconds, callback)

    def every(self, seconds: float, callback) -> None:
        self.time.every(seconds, lambda: self.run(callback))

    def run(self, callback) -> None:
        if self.alive:
            callback()


@dataclasses.dataclass
class HealthSettings:
    """The settings that the health check reads."""

    health_seconds: float = 0.08
    health_timeout_seconds: float = 1.0
    health_path: str = HEALTH_PATH
    service: str = 'prices'


class TargetRequestInProgress:
    """A request at the simulated target."""

    sent = True
    pending = 0

    def __init__(self, target: 'AnsweringTarget', request, listener):
        self.target = target
        self.request = request
        self.listener = listener
        self.timer: Timer | None = None

    def send_body(self, _data: bytes, last: bool) -> None:
        if last and self.timer is None:
            self.timer = self.target.begin(self)

    def answer(self) -> None:
        headers = self.target.headers(self.request.path)
        self.listener.on_head(200, headers, 0)
        self.listener.on_end()

    def cancel(self) -> None:
        if self.timer is not None:
            self.timer.cancel()

    def resume(self) -> None:
        """Do nothing: responses have no body."""


class AnsweringTarget:
    """A target that answers each call after its work.

    ``says`` are the fields of its responses to calls, ``page_says`` those of
    its health page; ``calls`` are the times at which calls arrived.
    """

    def __init__(self, time: VirtualTime, slots: int, work: float, seed: int):
        self.time = time
        self.slots = slots
        self.work = work
        self.rng = random.Random(seed)
        self.open: set[TargetRequestInProgress] = set()
        self.name = 'i-1'
        self.says: dict[str, str] = {}
        self.page_says: dict[str, str] = {}
        self.calls: list[float] = []
        self.running = 0

    def request(self, request, listener) -> TargetRequestInProgress:
        return TargetRequestInProgress(self, request, listener)

    def begin(self, call: TargetRequestInProgress) -> Timer:
        if call.request.path == HEALTH_PATH:
            return self.time.after(PAGE_SECONDS, call.answer)
        self.calls.append(self.time.now())
        self.running += 1
        self.open.add(call)
        work = self.work * self.rng.uniform(0.7, 1.3)
        return self.time.after(work, lambda: self.end(call))

    def end(self, call: TargetRequestInProgress) -> None:
        self.running -= 1
        self.open.discard(call)
        call.answer()

    def drop_calls(self) -> None:
        """Stop the calls of a process that has ended."""
        for call in self.open:
            call.cancel()
        self.running -= len(self.open)
        self.open.clear()

    def headers(self, path: str) -> list[tuple[str, str]]:
        said = self.page_says if path == HEALTH_PATH else self.says
        return [
            ('x-proof', 'p'),
            ('x-name', self.name),
            ('x-load', f'{self.running},0,{self.slots},100'),
            *said.items(),
        ]

    def say(self, name: str, value: str | None, on_page: bool) -> None:
        """Begin or end to state a field in all responses."""
        for fields in (self.says, self.page_says) if on_page else (self.says,):
            fields.pop(name, None)
            if value is not None:
                fields[name] = value

    def close_idle(self) -> None:
        """Do nothing: there are no connections."""

    def has_connections(self) -> bool:
        return True

    def arrivals(self, begin: float, end: float) -> int:
        return sum(1 for at in self.calls if begin <= at < end)

    def most_in_span(self, begin: float) -> int:
        """Return the most calls in any span that begins after ``begin``."""
        starts = [at for at in self.calls if at >= begin]
        return max(
            (self.arrivals(at, at + SPAN_SECONDS) for at in starts), default=0
        )


class GateInTime:
    """A gate with its target, and an entry that sends calls to it."""

    def __init__(self, slots: int = 6, work: float = 0.025, seed: int = 1):
        self.time = VirtualTime()
        self.target = AnsweringTarget(self.time, slots, work, seed)
        self.rng = random.Random(seed)
        self.numbers = itertools.count(1)
        self.outcomes: list = []
        # The numbers of all calls by rank.
        self.ranks: dict[int, set[int]] = collections.defaultdict(set)
        # What the entry was told of the target; survives the gate.
        self.statements = TargetStatements()
        self.start_gate()

    def start_gate(self) -> None:
        """Start a gate that knows nothing, in place of the one before."""
        self.process = ProcessTime(self.time)
        self.gate = Gate(
            self.process,
            self.target,
            'prices',
            self.target.slots,
            platform_like_dialect(),
        )
        self.health = HealthCheck(self.gate, self.target, HealthSettings())
        self.entry_end, self.gate_end = local_link_pair(iter(range(1, 9)))
        for kind in (Refused, Cancelled, Broken, AnswerStart):
            self.entry_end.subscribe(
                kind, lambda _link, message: self.on_outcome(message)
            )
        for kind in (Credit, LoadNews):
            self.entry_end.subscribe(kind, lambda _link, _message: None)
        self.health.start()

    def on_outcome(self, message) -> None:
        self.outcomes.append(message)
        if message.load is None:
            return
        if message.load.statement is not None:
            self.statements.note(INSTANCE, message.load.statement)
        elif isinstance(message, AnswerStart):
            self.statements.forget(INSTANCE)

    def restart_gate(self) -> None:
        """Kill the gate's process and start another one."""
        self.process.alive = False
        self.target.drop_calls()
        self.start_gate()
        started_at = self.time.now()
        self.gate.state.start_limits.follow_predecessor(started_at)

    def call(
        self,
        rank: int = 0,
        objective: float = 0.5,
        deadline: float = 1.2,
        nested: bool = False,
        length: int = 0,
    ) -> int:
        """Send a call to the gate; return its number."""
        number = next(self.numbers)
        self.ranks[rank].add(number)
        start = CallStart(
            call_id=number,
            service_name='prices',
            method='GET',
            path='/',
            headers=[],
            time_left_us=int(deadline * MICROSECONDS),
            body_length=length,
            body=b'',
            body_complete=not length,
            idempotent=not length,
            depth=0,
            trace_id=f'c-{number}',
            rank=rank,
            objective_left_us=int(objective * MICROSECONDS),
            route_name=f'look-up-{rank}',
            nested=nested,
            statement=self.statements.find(INSTANCE),
        )
        self.gate.on_call_start(self.gate_end, start)
        return number

    def load(self, calls_per_second: float, until: float, **call) -> None:
        """Let calls arrive at random from now on."""

        def step() -> None:
            if self.time.now() >= until:
                return
            self.call(**call)
            gap = self.rng.expovariate(calls_per_second)
            self.time.after(gap, step)

        self.time.after(self.rng.expovariate(calls_per_second), step)

    def answered(self) -> set[int]:
        return {m.call_id for m in self.outcomes if isinstance(m, AnswerStart)}

    def refused(self) -> list[Refused]:
        return [m for m in self.outcomes if isinstance(m, Refused)]


def allowed_in_span(calls_per_second: float) -> float:
    """Return the most calls that a target may get in a span.

    Half as many again as it declared, and five.
    """
    return 1.5 * calls_per_second * SPAN_SECONDS + 5
