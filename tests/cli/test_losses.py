"""``losses``: output and exit status of the command."""

from cyclamenlift.cli.program import run


def test_losses_are_printed_by_time_and_wrong_usage_is_refused(
    tmp_path, capsys
):
    log = tmp_path / 'a.log'
    log.write_text(
        '{"event": "call_not_answered", "code": 2003, "status": 503, '
        '"timestamp": "2026-01-01T00:00:00Z"}\n'
    )
    assert run(['losses', str(log), '--seconds=4']) == 0
    assert '2003:1' in capsys.readouterr().out
    assert run(['losses', str(log), '--seconds=0']) == 2
    assert run(['losses', str(tmp_path / 'none')]) == 2
    assert run(['losses']) == 1
    assert '4009' in capsys.readouterr().err
