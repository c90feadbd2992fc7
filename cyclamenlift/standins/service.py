"""Behaviour of a stand-in target: slots, service times and reports."""

import asyncio
import collections
import dataclasses
import json
import math
import os
import random
import sys
import time
import urllib.parse

import pydantic

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.standins.answers import AnswerFacts
from cyclamenlift.standins.answers import build_answer
from cyclamenlift.standins.counters import Counters
from cyclamenlift.standins.counters import Upload
from cyclamenlift.standins.faults import Faults
from cyclamenlift.standins.faults import FaultState
from cyclamenlift.standins.faults import LoadReport

MAX_LAG_SECONDS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class TargetPlan:
    """Parameters of a stand-in target; times in milliseconds.

    A call whose path starts with ``end_path`` ends the process ``end_ms``
    after the call began to run; no call does if ``end_path`` is empty.
    """

    name: str = 'target'
    slots: int = 20
    max_connections: int = 260
    queue_limit: int = 10_000
    service_ms: float = 5.0
    sigma: float = 0.5
    path_ms: dict[str, float] = dataclasses.field(default_factory=dict)
    answer_bytes: int = 256
    open_ms: float = 0.0
    seed: int = 1
    end_path: str = ''
    end_ms: float = 40.0


@dataclasses.dataclass(slots=True)
class Request:
    """One request whose body has arrived completely."""

    method: str
    path: str
    headers: dict[str, str]
    body_size: int
    body_sha256: str
    body: bytes

    def query(self, name: str) -> str:
        parsed = urllib.parse.urlsplit(self.path)
        values = urllib.parse.parse_qs(parsed.query).get(name)
        return values[0] if values else ''


@dataclasses.dataclass(slots=True)
class Answer:
    """A response, with the faults to show while sending it."""

    status: int
    body: bytes
    faults: Faults | None = None


def end_process(request: Request) -> None:
    """Exit like a crashing program, after printing the cause."""
    line = {'ended_by': request.path, 'at': time.monotonic()}
    sys.stdout.write(json.dumps(line) + '\n')
    sys.stdout.flush()
    os._exit(1)


class Service:
    """Slots with a FIFO queue, and the pages that the target serves."""

    def __init__(self, plan: TargetPlan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.counters = Counters(plan.name)
        self.faults = FaultState(random.Random(plan.seed + 1))
        self.slots = asyncio.Semaphore(plan.slots)
        self.not_frozen = asyncio.Event()
        self.not_frozen.set()
        self.load_history: collections.deque = collections.deque()

    async def answer(self, request: Request) -> Answer:
        """Answer a request; cancelled if the connection is lost."""
        path = request.path.partition('?')[0]
        if path.startswith('/_standin/'):
            return self.answer_control(request, path)
        await self.not_frozen.wait()
        if path == '/health':
            return self.answer_health()
        if path == '/load':
            return self.answer_load()
        return await self.answer_call(request, path)

    async def answer_call(self, request: Request, path: str) -> Answer:
        faults = self.faults.count_call(path)
        if faults is not None and faults.fail_fast:
            return Answer(faults.fail_fast, b'{"error": "fail fast"}')
        if self.counters.waiting >= self.plan.queue_limit:
            return Answer(503, b'{"error": "shed"}')
        await self.wait_for_slot()
        try:
            await self.run(request, path)
        finally:
            self.counters.running -= 1
            self.slots.release()
            self.record_load()
        facts = AnswerFacts(
            request.headers.get('x-request-id') or request.query('id'),
            self.plan.name,
            request.body_size,
            request.body_sha256,
        )
        size = int(request.query('size') or self.plan.answer_bytes)
        return Answer(200, build_answer(facts, size), faults)

    async def wait_for_slot(self) -> None:
        self.counters.waiting += 1
        self.record_load()
        try:
            await self.slots.acquire()
        except asyncio.CancelledError:
            self.counters.left_waiting += 1
            raise
        finally:
            self.counters.waiting -= 1

    async def run(self, request: Request, path: str) -> None:
        """Hold the slot for the service time; the run is counted first."""
        key = request.headers.get('idempotency-key', '')
        self.counters.count_run(request.method, path, key)
        if request.body_size:
            self.counters.add_upload(
                Upload(path, key, request.body_size, request.body_sha256)
            )
        if self.plan.end_path and path.startswith(self.plan.end_path):
            await asyncio.sleep(self.plan.end_ms / MILLISECONDS)
            end_process(request)
        await asyncio.sleep(self.service_seconds(path))
        await self.not_frozen.wait()

    def service_seconds(self, path: str) -> float:
        """Draw a lognormal service time with the mean of the plan."""
        mean = self.plan.service_ms
        for prefix, value in self.plan.path_ms.items():
            if path.startswith(prefix):
                mean = value
        now = asyncio.get_running_loop().time()
        sigma = self.plan.sigma
        shape = self.rng.gauss(0.0, sigma) - sigma * sigma / 2.0
        service_time = mean * math.exp(shape) / MILLISECONDS
        return service_time * self.faults.slowdown(path, now)

    def answer_health(self) -> Answer:
        self.counters.health_requests += 1
        if self.faults.faults.unhealthy:
            return Answer(503, b'{"healthy": false}')
        return Answer(200, b'{"healthy": true}')

    def answer_load(self) -> Answer:
        self.counters.load_requests += 1
        in_flight, queued = self.reported_load()
        value = {
            'in_flight': in_flight,
            'queued': queued,
            'slots': self.plan.slots,
        }
        return Answer(200, json.dumps(value).encode())

    def reported_load(self) -> tuple[int, int]:
        faults = self.faults.faults
        if faults.load_report is LoadReport.IDLE:
            return 0, 0
        if faults.load_report is LoadReport.HONEST:
            return self.counters.running, self.counters.waiting
        now = asyncio.get_running_loop().time()
        reported_time = now - faults.load_lag_ms / MILLISECONDS
        load = (0, 0)
        for at, in_flight, queued in self.load_history:
            if at > reported_time:
                break
            load = (in_flight, queued)
        return load

    def record_load(self) -> None:
        """Record the load history for lagging reports."""
        if self.faults.faults.load_report is not LoadReport.LAGGING:
            return
        now = asyncio.get_running_loop().time()
        counters = self.counters
        self.load_history.append((now, counters.running, counters.waiting))
        while now - self.load_history[0][0] > MAX_LAG_SECONDS:
            self.load_history.popleft()

    def answer_control(self, request: Request, path: str) -> Answer:
        """Serve the control pages, which are not subject to faults."""
        if path == '/_standin/counters':
            with_keys = request.query('keys') == '1'
            value = self.counters.as_json(self.plan.slots, with_keys)
            return Answer(200, json.dumps(value).encode())
        if path == '/_standin/fault' and request.method == 'POST':
            return self.set_faults(request.body)
        return Answer(404, b'{"error": "no such page"}')

    def set_faults(self, body: bytes) -> Answer:
        try:
            faults = Faults.model_validate_json(body)
        except pydantic.ValidationError as error:
            return Answer(400, error.json(include_url=False).encode())
        self.faults.apply(faults, asyncio.get_running_loop().time())
        if faults.freeze:
            self.not_frozen.clear()
        else:
            self.not_frozen.set()
        return Answer(200, faults.model_dump_json().encode())
