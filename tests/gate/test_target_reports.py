"""The gate's account of what its target says of itself."""

import structlog

from tests.gate.builders import GateBench


def test_a_declared_limit_is_logged_when_it_appears_changes_and_ends():
    # Guards against an excess that no log line can explain.
    bench = GateBench()
    with structlog.testing.capture_logs() as lines:
        for limit in ('25.3', '25.3', '2.1', ''):
            headers = [('x-limit', limit)] if limit else []
            bench.gate.reports.note_answer(headers, bench.gate.now())
    told = [(line['event'], line['calls_per_second']) for line in lines]
    assert told == [
        ('target_limited', 25.3),
        ('target_limited', 2.1),
        ('target_limit_ended', None),
    ]
    assert [line['before'] for line in lines] == [None, 25.3, 2.1]


def test_an_unreadable_limit_is_logged_and_changes_nothing():
    # Guards against a swallowed error, and a limit ended by one.
    bench = GateBench()
    bench.gate.reports.note_answer([('x-limit', '25.3')], bench.gate.now())
    with structlog.testing.capture_logs() as lines:
        bench.gate.reports.note_answer([('x-limit', '-1')], bench.gate.now())
    assert [line['event'] for line in lines] == ['target_report_unreadable']
    assert bench.gate.reports.calls_per_second == 25.3
