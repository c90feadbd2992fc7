"""Open-loop load generator: ``python -m cyclamenlift.standins.load``.

Calls start at the times of a Poisson process, independent of responses. Each
call is timed from its intended start, so that a slow response does not hide
the delay of the calls behind it (coordinated omission). Every response is
checked to be complete and to belong to its request.
"""

import asyncio
import dataclasses
import hashlib
import json
import random
import sys

import fire

from cyclamenlift.core.numbers import read_unsigned
from cyclamenlift.standins.answers import AnswerFault
from cyclamenlift.standins.answers import check_answer
from cyclamenlift.standins.answers import read_first_line
from cyclamenlift.standins.client import HttpResponse
from cyclamenlift.standins.client import Pool
from cyclamenlift.standins.client import ResponseLost
from cyclamenlift.standins.loops import run_precisely
from cyclamenlift.standins.summary import CallClass
from cyclamenlift.standins.summary import CallKind
from cyclamenlift.standins.summary import CallRecord
from cyclamenlift.standins.summary import Summary
from cyclamenlift.standins.summary import to_microseconds

GRACE_SECONDS = 2.0
RESULT_HEADER = 'cyclamenlift-result'
PATHS = {CallKind.READ: '/prices', CallKind.BOOKING: '/bookings'}
PATHS[CallKind.UPLOAD] = '/uploads'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """Parameters of a load; shares are of all calls, the rest are reads.

    ``duplicate_share`` of the bookings are sent twice at the same time with
    the same key, the second time to another address if there is one.
    """

    addresses: tuple[str, ...]
    service: str = 'prices'
    rate: float = 50.0
    seconds: float = 10.0
    timeout_ms: int = 2000
    upload_timeout_ms: int = 30_000
    booking_share: float = 0.0
    upload_share: float = 0.0
    duplicate_share: float = 0.0
    upload_bytes: int = 1_000_000
    answer_bytes: int = 256
    seed: int = 1
    prefix: str = 'r'


@dataclasses.dataclass(frozen=True, slots=True)
class PlannedCall:
    """One call that is ready to be sent."""

    kind: CallKind
    request_id: str
    key: str
    body: bytes
    address: str
    intended: float


class Sender:
    """Sends the load of one plan and collects its summary."""

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.filler = self.rng.randbytes(plan.upload_bytes)
        self.summary = Summary()
        self.pools = {a: Pool(a) for a in plan.addresses}
        self.call_count = 0
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> Summary:
        """Send calls for the planned time, then wait for all responses."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        intended = started
        while True:
            intended += self.rng.expovariate(self.plan.rate)
            if intended - started > self.plan.seconds:
                break
            pause = intended - loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            for call in self.plan_calls(intended):
                self.start(call)
        if self.tasks:
            await asyncio.wait(self.tasks)
        self.summary.seconds = loop.time() - started
        for pool in self.pools.values():
            self.summary.connections_opened += pool.opened
            self.summary.stray_connections += pool.unsolicited
            pool.close()
        return self.summary

    def start(self, call: PlannedCall) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.send(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def plan_calls(self, intended: float) -> list[PlannedCall]:
        """Draw the next call, together with its duplicate if it has one."""
        self.call_count += 1
        plan = self.plan
        drawn = self.rng.random()
        kind = CallKind.READ
        if drawn < plan.booking_share:
            kind = CallKind.BOOKING
        elif drawn < plan.booking_share + plan.upload_share:
            kind = CallKind.UPLOAD
        name = f'{plan.prefix}-{plan.seed}-{self.call_count}'
        key = '' if kind is CallKind.READ else f'key-{name}'
        body = b''
        if kind is CallKind.BOOKING:
            body = json.dumps({'booking': name}).encode()
        elif kind is CallKind.UPLOAD:
            body = name.encode() + self.filler[len(name) :]
        address = self.rng.choice(plan.addresses)
        calls = [PlannedCall(kind, name, key, body, address, intended)]
        may_repeat = kind is CallKind.BOOKING
        if may_repeat and self.rng.random() < plan.duplicate_share:
            others = [a for a in plan.addresses if a != address]
            other = self.rng.choice(others or plan.addresses)
            calls.append(PlannedCall(kind, name, key, body, other, intended))
        return calls

    async def send(self, call: PlannedCall) -> None:
        """Send one call and record its outcome."""
        loop = asyncio.get_running_loop()
        lateness_us = to_microseconds(loop.time() - call.intended)
        self.summary.lateness.record_value(lateness_us)
        pool = self.pools[call.address]
        seconds = self.timeout_ms(call.kind) / 1000.0 + GRACE_SECONDS
        answer = None
        class_without_answer = CallClass.NO_ANSWER
        try:
            connection = await pool.acquire()
        except OSError:
            connection = None
        if connection is not None:
            try:
                answer = await connection.call(self.encode(call), seconds)
            except ResponseLost as error:
                if error.some_received:
                    class_without_answer = CallClass.BROKEN
            pool.release(connection)
        elapsed = loop.time() - call.intended
        self.summary.add(
            build_record(call, answer, class_without_answer, elapsed)
        )

    def timeout_ms(self, kind: CallKind) -> int:
        if kind is CallKind.UPLOAD:
            return self.plan.upload_timeout_ms
        return self.plan.timeout_ms

    def encode(self, call: PlannedCall) -> bytes:
        """Encode the HTTP request of a call."""
        method = 'GET' if call.kind is CallKind.READ else 'POST'
        path = PATHS[call.kind]
        lines = [
            f'{method} {path}?size={self.plan.answer_bytes} HTTP/1.1',
            f'Host: {self.plan.service}',
            f'X-Request-Id: {call.request_id}',
            f'Cyclamenlift-Timeout-Ms: {self.timeout_ms(call.kind)}',
        ]
        if call.key:
            lines.append(f'Idempotency-Key: {call.key}')
        if method == 'POST':
            lines.append(f'Content-Length: {len(call.body)}')
        head = '\r\n'.join(lines) + '\r\n\r\n'
        return head.encode() + call.body


def build_record(
    call: PlannedCall,
    answer: HttpResponse | None,
    class_without_answer: CallClass,
    seconds: float,
) -> CallRecord:
    """Return the record of a call.

    ``class_without_answer`` is its class if there was no response.
    """
    if answer is None:
        return CallRecord(
            call.kind, class_without_answer, 0, 0, seconds, call.key
        )
    text = answer.headers.get(RESULT_HEADER, '')
    code = read_unsigned(text) or 0
    record = CallRecord(
        call.kind,
        classify_answer(call, answer, code),
        code,
        answer.status,
        seconds,
        call.key,
    )
    if record.call_class is CallClass.ANSWERED:
        line = read_first_line(answer.body) or {}
        record.target = str(line.get('target', ''))
        record.sha256 = str(line.get('received_sha256', ''))
    return record


def classify_answer(
    call: PlannedCall, answer: HttpResponse, code: int
) -> CallClass:
    """Classify a response by its result code, then by its body.

    A response without a result code came directly from a target.
    """
    code_group = code // 1000
    if code_group == 2:
        return CallClass.NOT_RUN
    if code_group == 3:
        return CallClass.UNKNOWN
    if code_group > 3 or 400 <= answer.status < 500:
        return CallClass.WRONG
    if answer.status >= 500:
        return CallClass.TARGET_ERROR
    if check_answer(answer.body, call.request_id) is not AnswerFault.NONE:
        return CallClass.BROKEN
    if call.kind is CallKind.UPLOAD:
        line = read_first_line(answer.body) or {}
        if line.get('received_sha256') != sha256_of(call.body):
            return CallClass.BROKEN
    return CallClass.ANSWERED


def sha256_of(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


async def run_load(plan: LoadPlan) -> Summary:
    """Send the load of ``plan`` and return its summary."""
    return await Sender(plan).run()


def parse_addresses(value) -> tuple[str, ...]:
    """Parse ``a:1,b:2`` or a sequence of addresses.

    >>> parse_addresses('127.0.0.1:1,127.0.0.1:2')
    ('127.0.0.1:1', '127.0.0.1:2')
    """
    parts = value.split(',') if isinstance(value, str) else value
    return tuple(str(part).strip() for part in parts if part)


def main(
    addresses: str,
    service: str = 'prices',
    rate: float = 50.0,
    seconds: float = 10.0,
    timeout_ms: int = 2000,
    booking_share: float = 0.0,
    upload_share: float = 0.0,
    duplicate_share: float = 0.0,
    upload_bytes: int = 1_000_000,
    seed: int = 1,
    json_output: bool = False,
) -> None:
    """Send calls to entry addresses and print a summary.

    Args:
        addresses: Entries (or targets), host:port, separated by commas.
        service: Value of the Host header.
        rate: Mean calls per second of the Poisson process.
        seconds: Time during which calls are started.
        timeout_ms: Timeout of the caller, sent in a header.
        booking_share: Share of bookings, each with an idempotency key.
        upload_share: Share of uploads.
        duplicate_share: Share of bookings sent twice with the same key.
        upload_bytes: Size of an upload.
        seed: Seed of the arrival times and the mix of calls.
        json_output: Print the JSON on one line instead of indented.
    """
    plan = LoadPlan(
        addresses=parse_addresses(addresses),
        service=service,
        rate=rate,
        seconds=seconds,
        timeout_ms=timeout_ms,
        booking_share=booking_share,
        upload_share=upload_share,
        duplicate_share=duplicate_share,
        upload_bytes=upload_bytes,
        seed=seed,
    )
    value = run_precisely(run_load(plan)).as_json()
    indent = None if json_output else 2
    sys.stdout.write(json.dumps(value, indent=indent) + '\n')


if __name__ == '__main__':
    fire.Fire(main)
