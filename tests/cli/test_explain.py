"""``explain``: the timeline of a request from several log files."""

import json

from cyclamenlift.cli.program import run


def line(**fields) -> str:
    return json.dumps({'level': 'info', 'instance': 'i', **fields}) + '\n'


def test_records_are_printed_in_order_of_time(tmp_path, capsys):
    entry = tmp_path / 'entry.log'
    gate = tmp_path / 'gate.log'
    entry.write_text(
        ' 1.2 side-1 '
        + line(
            event='call_not_answered',
            call_id='a',
            code=2003,
            timestamp='2',
            trail=['t1 not_run 2003 4ms'],
        )
        + line(event='call_answered', call_id='b', timestamp='1')
    )
    gate.write_text(
        line(event='gate_refused', call_id='a', code=2003, timestamp='1')
        + line(event='call_answered', call_id='a.7', timestamp='0')
        + 'no JSON about a\n'
    )
    assert run(['explain', 'a', str(entry), str(gate)]) == 0
    output = capsys.readouterr().out.splitlines()
    events = [words.split('|')[0].split()[2] for words in output]
    assert events == ['call_answered', 'gate_refused', 'call_not_answered']
    assert 'the call would wait past its deadline' in output[1]


def test_unknown_request_is_reported_with_its_result_code(tmp_path, capsys):
    log = tmp_path / 'log'
    log.write_text('')
    assert run(['explain', 'a', str(log)]) == 1
    assert '4009' in capsys.readouterr().err


def test_missing_log_file_is_reported_with_its_result_code(tmp_path, capsys):
    assert run(['explain', 'a', str(tmp_path / 'none')]) == 2
    assert '4000' in capsys.readouterr().err


def test_target_ends_under_the_same_request_are_included(tmp_path, capsys):
    log = tmp_path / 'log'
    log.write_text(
        line(event='target_ended', fingerprints=['f1', 'f2'], timestamp='1')
        + line(event='target_ended', fingerprints=['f2'], timestamp='2')
        + line(event='target_ended', fingerprints=['f3'], timestamp='3')
        + line(
            event='call_not_answered',
            call_id='a',
            code=2016,
            fingerprint='f2',
            timestamp='4',
        )
    )
    assert run(['explain', 'a', str(log)]) == 0
    output = capsys.readouterr().out.splitlines()
    events = [words.split('|')[0].split()[2] for words in output]
    assert events == ['target_ended', 'target_ended', 'call_not_answered']
