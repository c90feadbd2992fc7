"""Start, reload and shutdown of the programs as processes."""

import signal

import pytest

from tests.platform.builders import read_until
from tests.platform.builders import settings_lines
from tests.platform.builders import start_program


@pytest.fixture
def settings_file(tmp_path):
    path = tmp_path / 'local.conf'
    path.write_text(settings_lines())
    return path


def test_daemon_survives_a_reload_and_stops_on_request(settings_file):
    """Regression: SIGHUP terminated the process and all its calls."""
    process = start_program('daemon', settings_file)
    try:
        read_until(process, 'daemon_started')
        text = settings_file.read_text()
        settings_file.write_text(text + 'a_new_field=1\n')
        process.send_signal(signal.SIGHUP)
        line = read_until(process, 'settings_reloaded')
        assert 'a_new_field' in line
        assert process.poll() is None
        process.send_signal(signal.SIGTERM)
        assert process.wait(20) == 0
    finally:
        process.kill()
        process.stdout.close()


def test_file_changed_without_a_signal_is_reloaded(settings_file):
    process = start_program('daemon', settings_file)
    try:
        read_until(process, 'daemon_started')
        text = settings_file.read_text()
        settings_file.write_text(text + 'a_new_field=1\n')
        assert 'changed file' in read_until(process, 'settings_reloaded')
    finally:
        process.kill()
        process.stdout.close()


@pytest.mark.parametrize('kind', ['daemon', 'control'])
def test_all_invalid_settings_are_logged_before_startup(kind, tmp_path):
    path = tmp_path / 'local.conf'
    path.write_text('node=x\n')
    process = start_program(kind, path)
    output, _ = process.communicate(timeout=30)
    assert process.returncode == 2
    assert output.count('settings_refused') > 3
