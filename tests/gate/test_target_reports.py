"""The gate's account of what its target says of itself."""

import structlog

from cyclamenlift.gate.verdicts import AnswerVerdict
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.gate.builders import GateBench


def test_a_declared_limit_is_logged_when_it_appears_changes_and_ends():
    # Guards against an excess that no log line can explain.
    bench = GateBench()
    with structlog.testing.capture_logs() as lines:
        for sent_at, limit in enumerate(('25.3', '25.3', '2.1', '')):
            headers = [('x-limit', limit)] if limit else []
            bench.gate.reports.note_answer(headers, sent_at)
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
        bench.gate.reports.note_answer([('x-limit', '-1')], 1.0)
    assert [line['event'] for line in lines] == ['target_report_unreadable']
    declared = bench.gate.state.start_limits.declared
    assert declared.calls_per_second == 25.3


def test_another_target_at_the_address_says_nothing_of_this_one():
    # Guards against a limit, or a departure, of the target that came after.
    bench = GateBench()
    headers = [('x-limit', '2.0'), ('x-leaving', '1'), ('x-load', '0,0,8,200')]
    bench.gate.reports.note_answer(headers, 1.0, AnswerVerdict.REPLACED)
    state = bench.gate.state
    assert state.start_limits.declared.calls_per_second is None
    assert state.target_state == TargetState.READY
    assert state.pace_percent(0.0) == 200
