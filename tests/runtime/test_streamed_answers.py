"""Large answers and uploads that pass through a gate that goes silent.

Guards against callers that get neither an answer, or the rest of one, nor an
error, because the entry left the end to a gate that stands still.
"""

import time

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Cancel
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from tests.runtime.builders import answer
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import ScriptedTarget

DEADLINE_MS = 400
# By when a caller has a final answer, in seconds after the deadline.
LATEST_SECONDS = 0.5


@pytest.fixture
def make_path():
    created = []

    def make(body: bytes, **fields) -> CallPathHarness:
        target = ScriptedTarget(answer(body))
        created.append(
            CallPathHarness(
                target.address,
                whole_answer_bytes=1000,
                deadline_ms=DEADLINE_MS,
                **fields,
            )
        )
        return created[-1]

    yield make
    for each in created:
        each.close()


def silent_after(path, size: int) -> list[int]:
    """Let the gate of a path stand still after so many bytes of an answer.

    Its connection stays up. Returns the cancellations that reach it.
    """
    cancelled: list[int] = []
    passed = 0

    def pass_chunk(link, chunk: BodyChunk) -> None:
        nonlocal passed
        passed += len(chunk.data)
        if passed <= size:
            path.calls.on_body_chunk(link, chunk)

    path.network.subscribe(BodyChunk, pass_chunk)
    path.network.subscribe(Broken, lambda _link, _broken: None)
    path.gates[0].network.subscribe(
        Cancel, lambda _link, cancel: cancelled.append(cancel.call_id)
    )
    return cancelled


# Guards against a large answer without an end behind a gate that stands still.
@pytest.mark.parametrize('size', [0, 500_000])
def test_a_streamed_answer_ends_soon_after_the_deadline(make_path, size):
    body = bytes(2_000_000)
    path = make_path(body)
    cancelled = silent_after(path, size)
    began = time.monotonic()
    found = path.ask()
    seconds = time.monotonic() - began
    assert found.status == 0 and len(found.body) < len(body)
    late = seconds - DEADLINE_MS / 1000
    assert 0.0 <= late < LATEST_SECONDS
    assert path.calls.is_idle() and not path.calls.tries
    path.run_until(lambda: cancelled)


# Guards against a keyed call whose caller has left, and that never ends.
def test_a_keyed_call_without_its_caller_ends_after_the_deadline(make_path):
    body = bytes(2_000_000)
    path = make_path(body)
    silent_after(path, 0)
    caller = path.send('POST', '/book', b'{}', Idempotency_Key='k')
    path.run_until(lambda: path.calls.tries)
    path.run_until(lambda: any(call.relay for call in path.calls.open_calls))
    caller.close()
    path.run_until(path.calls.is_idle)
    (ending,) = path.claims.ends
    assert ending.ending == ClaimEnding.UNKNOWN


# Guards against answers that are ready and are cut at the deadline.
def test_the_end_of_an_answer_that_comes_a_little_late_is_delivered(make_path):
    body = bytes(600_000)
    path = make_path(body)

    def pass_chunk(link, chunk: BodyChunk) -> None:
        wait = DEADLINE_MS / 1000 + 0.05 if chunk.last else 0.0
        path.loop.scheduler.after(
            wait, lambda: path.calls.on_body_chunk(link, chunk)
        )

    path.network.subscribe(BodyChunk, pass_chunk)
    found = path.ask()
    assert (found.status, found.body) == (200, body)


# Guards against bytes of a gate that goes on after the answer was broken off.
def test_nothing_follows_an_answer_that_was_broken_off(make_path):
    path = make_path(bytes(2_000_000))
    held = []

    def hold_chunk(link, chunk: BodyChunk) -> None:
        held.append((link, chunk))

    path.network.subscribe(BodyChunk, hold_chunk)
    path.network.subscribe(Broken, lambda _link, _broken: None)
    found = path.ask()
    assert (found.status, found.body[-4:]) == (0, b'\r\n\r\n')
    for part in held:
        path.calls.on_body_chunk(*part)
    assert path.calls.is_idle()


# Guards against a gate that is kept busy by a caller that stops reading.
def test_an_answer_whose_caller_stops_reading_ends_after_the_deadline(
    make_path,
):
    path = make_path(bytes(20_000_000))
    path.send()
    path.run_until(lambda: any(call.relay for call in path.calls.open_calls))
    path.run_until(path.calls.is_idle)
    path.run_until(path.gates[0].is_idle)


# Guards against an upload without an end at a gate that goes silent.
@pytest.mark.parametrize('size', [100, 60_000])
def test_an_upload_to_a_silent_gate_ends_at_the_deadline(make_path, size):
    path = make_path(b'fine')
    path.gates[0].network.subscribe(CallStart, lambda _link, _start: None)
    path.gates[0].network.subscribe(Cancel, lambda _link, _cancel: None)
    began = time.monotonic()
    found = path.ask('POST', '/book', bytes(size), Idempotency_Key='k')
    assert found.result == ResultCode.DEADLINE_UNKNOWN
    assert time.monotonic() - began < DEADLINE_MS / 1000 + LATEST_SECONDS
    assert path.calls.is_idle()
