"""The load generator: timing and classification of calls."""

import asyncio
import json

import pytest

from cyclamenlift.standins.answers import AnswerFacts
from cyclamenlift.standins.answers import build_answer
from cyclamenlift.standins.client import HttpResponse
from cyclamenlift.standins.load import classify_answer
from cyclamenlift.standins.load import run_load
from cyclamenlift.standins.load import sha256_of
from cyclamenlift.standins.summary import CallClass
from cyclamenlift.standins.summary import CallKind
from cyclamenlift.standins.summary import Summary
from tests.standins.builders import ask
from tests.standins.builders import build_call
from tests.standins.builders import build_load
from tests.standins.builders import running_target

MATCHING = build_answer(AnswerFacts('r1', 't1', 0, ''), 40)
MISMATCHED = build_answer(AnswerFacts('r2', 't1', 0, ''), 40)
UPLOADED = build_answer(AnswerFacts('r1', 't1', 2, sha256_of(b'ab')), 0)


@pytest.mark.parametrize(
    ('status', 'code', 'body', 'expected'),
    [
        (200, 1000, MATCHING, CallClass.ANSWERED),
        (200, 0, MATCHING, CallClass.ANSWERED),
        (200, 1000, MISMATCHED, CallClass.BROKEN),
        (200, 1000, MATCHING[:-1], CallClass.BROKEN),
        (200, 1000, b'', CallClass.BROKEN),
        (200, 1000, MATCHING + b'x', CallClass.BROKEN),
        (500, 1000, b'', CallClass.TARGET_ERROR),
        (503, 2001, b'', CallClass.NOT_RUN),
        (504, 3002, b'', CallClass.UNKNOWN),
        (400, 4000, b'', CallClass.WRONG),
        (404, 0, b'', CallClass.WRONG),
    ],
)
def test_an_answer_is_classified(status, code, body, expected):
    answer = HttpResponse(status, {}, bytearray(body))
    assert classify_answer(build_call(), answer, code) is expected


@pytest.mark.parametrize(
    ('sent', 'expected'),
    [(b'ab', CallClass.ANSWERED), (b'ac', CallClass.BROKEN)],
)
def test_uploaded_body_must_arrive_unchanged(sent, expected):
    answer = HttpResponse(200, {}, bytearray(UPLOADED))
    assert (
        classify_answer(build_call(CallKind.UPLOAD, sent), answer, 0)
        is expected
    )


async def load(faults: dict, **changes) -> Summary:
    async with running_target() as (_, address):
        body = json.dumps(faults).encode()
        await ask(address, 'POST', '/_standin/fault', body)
        return await run_load(build_load(address, **changes))


@pytest.mark.parametrize(
    ('faults', 'expected', 'count'),
    [
        ({}, CallClass.BROKEN, 0),
        ({'cut': 'after_bytes', 'calls': 3}, CallClass.BROKEN, 3),
        ({'cut': 'before_head', 'calls': 3}, CallClass.NO_ANSWER, 3),
        ({'fail_fast': 500, 'calls': 3}, CallClass.TARGET_ERROR, 3),
    ],
)
def test_injected_faults_are_classified(faults, expected, count):
    total = asyncio.run(load(faults)).total
    assert total.classes[expected] == count
    assert total.classes[CallClass.ANSWERED] == total.sent - count > 0


def test_stray_bytes_close_the_connection():
    summary = asyncio.run(load({'stray_bytes': 5, 'calls': 2}))
    assert summary.stray_connections == 2
    assert summary.failures() == 0


def test_mix_contains_keys_duplicates_and_uploads():
    summary = asyncio.run(
        load({}, booking_share=0.5, upload_share=0.2, duplicate_share=1.0)
    )
    booked = summary.kinds[CallKind.BOOKING].sent
    uploads = summary.kinds[CallKind.UPLOAD].sent
    assert booked > 0
    assert uploads == len(summary.uploads_answered) > 0
    assert len(set(summary.keys_answered)) == booked / 2 + uploads


def test_latency_counts_from_the_intended_start():
    """While a target is frozen, later calls wait less than earlier ones."""

    async def run() -> Summary:
        async with running_target() as (service, address):
            service.not_frozen.clear()
            loop = asyncio.get_running_loop()
            loop.call_later(0.4, service.not_frozen.set)
            return await run_load(build_load(address))

    latency = asyncio.run(run()).total.latency
    spread = latency.get_max_value() - latency.get_min_value()
    assert latency.get_total_count() > 0
    assert spread > 100_000


def test_the_same_seed_plans_the_same_calls():
    first, second = (
        asyncio.run(load({}, seed=7, booking_share=0.3)) for _ in range(2)
    )
    assert sorted(first.keys_answered) == sorted(second.keys_answered)
