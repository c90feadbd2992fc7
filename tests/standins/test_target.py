"""Counters and injected faults of a stand-in target."""

import asyncio
import hashlib
import json
import signal
import subprocess
import sys

import pytest

from cyclamenlift.standins.answers import AnswerFault
from cyclamenlift.standins.answers import check_answer
from cyclamenlift.standins.client import HttpResponse
from cyclamenlift.standins.client import ResponseLost
from tests.standins.builders import ask
from tests.standins.builders import connect
from tests.standins.builders import request
from tests.standins.builders import running_target


async def until(condition) -> None:
    """Wait until a condition holds, for at most ten seconds."""
    async with asyncio.timeout(10):
        while not condition():
            await asyncio.sleep(0.005)


def test_calls_runs_and_uploads_are_counted():
    body = b'plan' * 40_000

    async def run() -> dict:
        async with running_target() as (_, address):
            await ask(address, 'GET', '/prices?id=a')
            for _ in range(2):
                await ask(
                    address, 'POST', '/bookings', b'{}', Idempotency_Key='k1'
                )
            await ask(address, 'POST', '/uploads', body, Idempotency_Key='k2')
            await ask(address, 'GET', '/health')
            await ask(address, 'GET', '/load')
            answer = await ask(address, 'GET', '/_standin/counters?keys=1')
            return json.loads(answer.body)

    found = asyncio.run(run())
    assert found['calls'] == {
        'GET /prices': 1,
        'POST /bookings': 2,
        'POST /uploads': 1,
    }
    assert found['runs_by_key'] == {'k1': 2, 'k2': 1}
    assert found['doubled'] == 1
    assert found['uploads'][-1]['sha256'] == hashlib.sha256(body).hexdigest()
    assert found['upload_bytes'] == len(body) + 4
    assert (found['health_requests'], found['load_requests']) == (1, 1)


def test_slots_limit_concurrency_and_abandoned_calls_do_not_run():
    async def run():
        async with running_target(slots=2, service_ms=50.0) as (
            service,
            address,
        ):
            counters = service.counters
            calls = [
                asyncio.create_task(ask(address, 'GET', f'/prices?id={n}'))
                for n in range(5)
            ]
            await until(lambda: counters.running + counters.waiting == 5)
            abandoned = await connect(address)
            abandoned.transport.write(request('POST', '/leaves'))
            await until(lambda: counters.waiting == 4)
            abandoned.close()
            await until(lambda: counters.left_waiting == 1)
            await asyncio.gather(*calls)
            return counters

    counters = asyncio.run(run())
    assert counters.max_running == 2
    assert counters.calls == {'GET /prices': 5}


def test_connections_over_the_limit_are_closed():
    async def run() -> int:
        async with running_target(max_connections=1) as (service, address):
            first = await connect(address)
            await first.call(request('GET', '/prices'), 5.0)
            with pytest.raises(ResponseLost):
                await ask(address, 'GET', '/prices')
            first.close()
            return service.counters.refused_connections

    assert asyncio.run(run()) == 1


@pytest.mark.parametrize(
    ('faults', 'some_received'),
    [
        ({'cut': 'before_head'}, False),
        ({'cut': 'after_head'}, True),
        ({'cut': 'after_bytes', 'cut_bytes': 20}, True),
    ],
)
def test_cut_faults_affect_only_the_next_calls(faults, some_received):
    async def run() -> HttpResponse:
        async with running_target() as (_, address):
            body = json.dumps({**faults, 'calls': 1}).encode()
            await ask(address, 'POST', '/_standin/fault', body)
            with pytest.raises(ResponseLost) as caught:
                await ask(address, 'GET', '/prices')
            assert caught.value.some_received is some_received
            return await ask(address, 'GET', '/prices?id=r')

    answer = asyncio.run(run())
    assert check_answer(bytes(answer.body), 'r') is AnswerFault.NONE


@pytest.mark.parametrize(
    ('faults', 'path', 'status', 'fragment'),
    [
        ({'fail_fast': 500}, '/prices', 500, b'fail fast'),
        ({'fail_fast': 503, 'path': '/other'}, '/prices', 200, b't1'),
        ({'unhealthy': True}, '/health', 503, b'false'),
        ({'load_report': 'idle'}, '/load', 200, b'"in_flight": 0'),
        ({'load_report': 'lagging'}, '/load', 200, b'"in_flight": 0'),
        ({}, '/load', 200, b'"in_flight": 1'),
        ({'no_such_fault': 1}, '/health', 200, b'true'),
    ],
)
def test_faults_can_be_changed_at_runtime(faults, path, status, fragment):
    async def run() -> HttpResponse:
        async with running_target(service_ms=300.0) as (service, address):
            body = json.dumps(faults).encode()
            response = await ask(address, 'POST', '/_standin/fault', body)
            assert response.status == (
                400 if 'no_such_fault' in faults else 200
            )
            if path != '/load':
                return await ask(address, 'GET', path)
            busy = await connect(address)
            busy.transport.write(request('GET', '/prices'))
            await until(lambda: service.counters.running == 1)
            return await ask(address, 'GET', path)

    answer = asyncio.run(run())
    assert answer.status == status
    assert fragment in bytes(answer.body)


def test_frozen_target_answers_after_it_resumes():
    async def run() -> list[bool]:
        async with running_target() as (_, address):
            fault = ('POST', '/_standin/fault')
            await ask(address, *fault, b'{"freeze": true}')
            call = asyncio.create_task(ask(address, 'GET', '/prices'))
            await asyncio.sleep(0.05)
            frozen = call.done()
            await ask(address, *fault, b'{}')
            await call
            return [frozen, call.done()]

    assert asyncio.run(run()) == [False, True]


def test_command_prints_its_address_and_exits_on_a_signal():
    command = [sys.executable, '-m', 'cyclamenlift.standins.target']
    process = subprocess.Popen(
        [*command, '--lifetime=60'], stdout=subprocess.PIPE
    )
    try:
        address = json.loads(process.stdout.readline())['address']
        answer = asyncio.run(ask(address, 'GET', '/prices'))
        assert answer.status == 200
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stdout.close()
