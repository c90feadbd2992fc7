"""Logging is rate-limited and never blocks on its reader."""

import os
import time

import pytest
import structlog

from cyclamenlift.core.log_rate_limit import BURST_LINES
from cyclamenlift.core.log_rate_limit import LINES_PER_SECOND
from cyclamenlift.core.log_rate_limit import LogRateLimiter
from cyclamenlift.core.log_sink import LogSink
from cyclamenlift.core.log_sink import MAX_BUFFERED_BYTES

LINE = 'x' * 200


@pytest.fixture
def pipe():
    reader, writer = os.pipe()
    yield reader, writer
    os.close(reader)
    os.close(writer)


def read_all(reader: int) -> bytes:
    os.set_blocking(reader, False)
    found = b''
    while True:
        try:
            data = os.read(reader, 65536)
        except BlockingIOError:
            return found
        if not data:
            return found
        found += data


def test_stalled_reader_does_not_block(pipe):
    reader, writer = pipe
    sink = LogSink(writer)
    began = time.monotonic()
    for _ in range(20_000):
        sink.msg(LINE)
    assert time.monotonic() - began < 5.0
    assert sink.buffered_bytes <= MAX_BUFFERED_BYTES
    assert sink.dropped > 0


def test_lines_are_whole_and_ordered_after_a_stall(pipe):
    reader, writer = pipe
    sink = LogSink(writer)
    for number in range(2_000):
        sink.msg(f'{number:06d}{LINE}')
    dropped = sink.dropped
    text = b''
    for _ in range(20):
        text += read_all(reader)
        sink.flush()
    text += read_all(reader)
    lines = text.decode().splitlines()
    numbers = [int(line[:6]) for line in lines if line.endswith(LINE)]
    assert numbers == list(range(2_000 - dropped))
    assert f'"count": {dropped}' in lines[-1]


def test_closed_reader_discards_the_buffer():
    reader, writer = os.pipe()
    os.close(reader)
    sink = LogSink(writer)
    sink.msg(LINE)
    os.close(writer)
    assert sink.buffered_bytes <= len(LINE) + 1


def test_burst_of_one_event_is_counted_instead_of_written():
    now = [0.0]
    budget = LogRateLimiter(lambda: now[0])
    written = 0
    for _ in range(1_000):
        try:
            budget(None, 'info', {'event': 'refused'})
            written += 1
        except structlog.DropEvent:
            continue
    assert written == BURST_LINES
    assert budget(None, 'info', {'event': 'started'}) == {'event': 'started'}
    now[0] += 1.0 / LINES_PER_SECOND
    fields = budget(None, 'info', {'event': 'refused'})
    assert fields['left_out'] == 1_000 - written
