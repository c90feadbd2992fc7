"""Where calls are lost, counted from log lines."""

import json

from cyclamenlift.reports.losses import count_by_window
from cyclamenlift.reports.losses import format_table
from cyclamenlift.reports.losses import known_codes
from cyclamenlift.reports.losses import read_lines


def line(second: float, event: str, **fields) -> str:
    stamp = f'2026-01-01T00:00:{second:09.6f}Z'
    record = {'event': event, 'timestamp': stamp, **fields}
    return f'   1.0 somebody {json.dumps(record)}'


def end(second: float, code: int, status: int = 200, **fields) -> str:
    event = 'call_answered' if code == 1000 else 'call_not_answered'
    return line(second, event, code=code, status=status, **fields)


def counted(*lines: str):
    return count_by_window(read_lines(lines), 2.0)


def test_ends_of_calls_are_told_apart_by_what_became_of_them():
    windows = counted(
        end(0.0, 1000, milliseconds=10),
        end(0.1, 1000, 500),
        end(0.2, 2003, 503),
        end(0.3, 3002, 504),
        end(0.4, 2003, 503, nested=True),
        end(0.5, 1000, nested=True),
        line(0.6, 'request_refused', code=2010),
    )
    window = windows[0.0]
    assert window.answered == 1
    assert window.target_errors == 1
    assert window.refused == {2003: 1, 2010: 1}
    assert window.unknown == {3002: 1}
    assert window.nested_failed == 1
    assert known_codes(windows) == [2003, 2010, 3002]


def test_lines_that_were_left_out_are_counted_with_the_next_one():
    windows = counted(end(0.0, 2003, 503), end(0.1, 2003, 503, left_out=40))
    assert windows[0.0].refused[2003] == 42


def test_refusals_of_gates_tell_whether_they_were_full_or_slow():
    refused = {'code': 2003, 'room': 12}
    windows = counted(
        line(0.0, 'gate_refused', running=12, pace_percent=100, **refused),
        line(0.1, 'gate_refused', running=7, pace_percent=400, **refused),
    )
    window = windows[0.0]
    assert (window.gate_refusals, window.full, window.slow) == (2, 1, 1)


def test_windows_begin_with_the_first_line_whatever_the_order():
    windows = counted(end(7.5, 1000), end(3.0, 1000))
    assert sorted(windows) == [0.0, 4.0]
    assert len(format_table(windows)) == 3


def test_what_is_no_log_line_is_left_out():
    assert counted('worth 0.5', '{"a": 1}', '{broken', '[]') == {}
