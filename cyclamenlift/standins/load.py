"""Send an open-loop load: ``python -m cyclamenlift.standins.load``.

Calls start at the instants of a Poisson process whatever the answers do,
and each is timed from its intended start, so that a slow answer cannot
hide the wait of the calls behind it. Every answer is checked to be whole
and the caller's own.
"""

import asyncio
import dataclasses
import hashlib
import json
import random
import sys

import fire

from cyclamenlift.standins.answers import AnswerFault
from cyclamenlift.standins.answers import check_answer
from cyclamenlift.standins.answers import read_first_line
from cyclamenlift.standins.client import AnswerLost
from cyclamenlift.standins.client import HttpAnswer
from cyclamenlift.standins.client import Pool
from cyclamenlift.standins.loops import run_precisely
from cyclamenlift.standins.summary import CallClass
from cyclamenlift.standins.summary import CallRecord
from cyclamenlift.standins.summary import Kind
from cyclamenlift.standins.summary import Summary
from cyclamenlift.standins.summary import to_microseconds

GRACE_SECONDS = 2.0
RESULT_HEADER = 'cyclamenlift-result'
PATHS = {Kind.READ: '/prices', Kind.BOOKING: '/bookings'}
PATHS[Kind.UPLOAD] = '/uploads'


@dataclasses.dataclass(frozen=True, slots=True)
class LoadPlan:
    """What to send; shares are of all calls, the rest are reads.

    ``duplicate_share`` of the bookings are sent a second time at once with
    the same key, through another address if there is one.
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
    """One call, ready to send."""

    kind: Kind
    request_id: str
    key: str
    body: bytes
    address: str
    intended: float


class Sender:
    """Runs one plan and keeps its summary."""

    def __init__(self, plan: LoadPlan):
        self.plan = plan
        self.rng = random.Random(plan.seed)
        self.filler = self.rng.randbytes(plan.upload_bytes)
        self.summary = Summary()
        self.pools = {a: Pool(a) for a in plan.addresses}
        self.number = 0
        self.tasks: set[asyncio.Task] = set()

    async def run(self) -> Summary:
        """Send for the time of the plan, then wait for the last answers."""
        loop = asyncio.get_running_loop()
        started = loop.time()
        due = started
        while True:
            due += self.rng.expovariate(self.plan.rate)
            if due - started > self.plan.seconds:
                break
            pause = due - loop.time()
            if pause > 0:
                await asyncio.sleep(pause)
            for call in self.plan_calls(due):
                self.start(call)
        if self.tasks:
            await asyncio.wait(self.tasks)
        self.summary.seconds = loop.time() - started
        for pool in self.pools.values():
            self.summary.connections_opened += pool.opened
            self.summary.stray_connections += pool.stray
            pool.close()
        return self.summary

    def start(self, call: PlannedCall) -> None:
        loop = asyncio.get_running_loop()
        task = loop.create_task(self.send(call))
        self.tasks.add(task)
        task.add_done_callback(self.tasks.discard)

    def plan_calls(self, due: float) -> list[PlannedCall]:
        """Draw the next call, with its duplicate if it has one."""
        self.number += 1
        plan = self.plan
        drawn = self.rng.random()
        kind = Kind.READ
        if drawn < plan.booking_share:
            kind = Kind.BOOKING
        elif drawn < plan.booking_share + plan.upload_share:
            kind = Kind.UPLOAD
        name = f'{plan.prefix}-{plan.seed}-{self.number}'
        key = '' if kind is Kind.READ else f'key-{name}'
        body = b''
        if kind is Kind.BOOKING:
            body = json.dumps({'booking': name}).encode()
        elif kind is Kind.UPLOAD:
            body = name.encode() + self.filler[len(name) :]
        address = self.rng.choice(plan.addresses)
        calls = [PlannedCall(kind, name, key, body, address, due)]
        twice = kind is Kind.BOOKING
        if twice and self.rng.random() < plan.duplicate_share:
            others = [a for a in plan.addresses if a != address]
            other = self.rng.choice(others or plan.addresses)
            calls.append(PlannedCall(kind, name, key, body, other, due))
        return calls

    async def send(self, call: PlannedCall) -> None:
        """Send one call and note how it ended."""
        loop = asyncio.get_running_loop()
        late = to_microseconds(loop.time() - call.intended)
        self.summary.lateness.record_value(late)
        pool = self.pools[call.address]
        seconds = self.timeout_ms(call.kind) / 1000.0 + GRACE_SECONDS
        answer = None
        lost = CallClass.NO_ANSWER
        try:
            connection = await pool.take()
        except OSError:
            connection = None
        if connection is not None:
            try:
                answer = await connection.call(self.encode(call), seconds)
            except AnswerLost as error:
                if error.some_received:
                    lost = CallClass.BROKEN
            pool.give_back(connection)
        taken = loop.time() - call.intended
        self.summary.note(record_of(call, answer, lost, taken))

    def timeout_ms(self, kind: Kind) -> int:
        if kind is Kind.UPLOAD:
            return self.plan.upload_timeout_ms
        return self.plan.timeout_ms

    def encode(self, call: PlannedCall) -> bytes:
        """Return the bytes of the request."""
        method = 'GET' if call.kind is Kind.READ else 'POST'
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


def record_of(
    call: PlannedCall,
    answer: HttpAnswer | None,
    lost: CallClass,
    seconds: float,
) -> CallRecord:
    """Classify a call; ``lost`` is its class when no answer came."""
    if answer is None:
        return CallRecord(call.kind, lost, 0, 0, seconds, call.key)
    text = answer.headers.get(RESULT_HEADER, '')
    code = int(text) if text.isdigit() else 0
    record = CallRecord(
        call.kind,
        class_of(call, answer, code),
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


def class_of(call: PlannedCall, answer: HttpAnswer, code: int) -> CallClass:
    """Return the class of an answer by its code, then by its body.

    An answer without a code came straight from a target.
    """
    thousands = code // 1000
    if thousands == 2:
        return CallClass.NOT_RUN
    if thousands == 3:
        return CallClass.UNKNOWN
    if thousands > 3 or 400 <= answer.status < 500:
        return CallClass.WRONG
    if answer.status >= 500:
        return CallClass.TARGET_ERROR
    if check_answer(answer.body, call.request_id) is not AnswerFault.NONE:
        return CallClass.BROKEN
    if call.kind is Kind.UPLOAD:
        line = read_first_line(answer.body) or {}
        if line.get('received_sha256') != sha256_of(call.body):
            return CallClass.BROKEN
    return CallClass.ANSWERED


def sha256_of(data: bytes) -> str:
    return hashlib.sha256(data).hexdigest()


async def run_load(plan: LoadPlan) -> Summary:
    """Send the load of ``plan``; return what came of it."""
    return await Sender(plan).run()


def parse_addresses(value) -> tuple[str, ...]:
    """Accept ``a:1,b:2`` or a sequence of them.

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
    """Send calls to entry addresses and print what came of them.

    Args:
        addresses: Entries (or targets), host:port, with commas between.
        service: Value of the Host header.
        rate: Calls a second, Poisson.
        seconds: How long calls are started.
        timeout_ms: Time that a caller allows, sent along.
        booking_share: Share of keyed bookings.
        upload_share: Share of uploads.
        duplicate_share: Share of bookings sent twice with one key.
        upload_bytes: Size of an upload.
        seed: Seed of arrivals and mix.
        json_output: Print JSON instead of a few lines.
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
