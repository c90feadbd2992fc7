"""Counting lost calls from log lines."""

import json

from cyclamenlift.reports.losses import count_by_window
from cyclamenlift.reports.losses import format_table
from cyclamenlift.reports.losses import known_codes
from cyclamenlift.reports.losses import read_lines


def line(second: float, event: str, **fields) -> str:
    stamp = f'2026-01-01T00:00:{second:09.6f}Z'
    record = {'event': event, 'timestamp': stamp, **fields}
    return f'   1.0 somebody {json.dumps(record)}'


def call_end(second: float, code: int, status: int = 200, **fields) -> str:
    event = 'call_answered' if code == 1000 else 'call_not_answered'
    return line(second, event, code=code, status=status, **fields)


def count_lines(*lines: str):
    return count_by_window(read_lines(lines), 2.0)


def test_call_ends_are_counted_by_outcome():
    windows = count_lines(
        call_end(0.0, 1000, milliseconds=10),
        call_end(0.1, 1000, 500),
        call_end(0.2, 2003, 503),
        call_end(0.3, 3002, 504),
        call_end(0.4, 2003, 503, nested=True),
        call_end(0.5, 1000, nested=True),
        line(0.6, 'request_refused', code=2010),
    )
    window = windows[0.0]
    assert window.answered == 1
    assert window.target_errors == 1
    assert window.refused == {2003: 1, 2010: 1}
    assert window.unknown == {3002: 1}
    assert window.nested_failed == 1
    assert known_codes(windows) == [2003, 2010, 3002]


def test_suppressed_lines_are_counted_with_the_next_line():
    windows = count_lines(
        call_end(0.0, 2003, 503), call_end(0.1, 2003, 503, left_out=40)
    )
    assert windows[0.0].refused[2003] == 42


def test_gate_refusals_are_split_into_full_and_slow():
    refused = {'code': 2003, 'room': 12}
    windows = count_lines(
        line(0.0, 'gate_refused', running=12, pace_percent=100, **refused),
        line(0.1, 'gate_refused', running=7, pace_percent=400, **refused),
    )
    window = windows[0.0]
    assert (window.gate_refusals, window.full, window.slow) == (2, 1, 1)


def test_windows_start_at_the_earliest_record():
    windows = count_lines(call_end(7.5, 1000), call_end(3.0, 1000))
    assert sorted(windows) == [0.0, 4.0]
    assert len(format_table(windows)) == 3


def test_lines_that_are_not_log_records_are_skipped():
    assert count_lines('worth 0.5', '{"a": 1}', '{broken', '[]') == {}
