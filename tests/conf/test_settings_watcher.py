"""Detection of changes to a settings file."""

import time

import pytest

from cyclamenlift.conf.settings_watcher import SettingsFile
from cyclamenlift.conf.settings_watcher import SettingsWatcher
from cyclamenlift.core.tasks import build_root
from cyclamenlift.platform.settings import file_stamp
from cyclamenlift.platform.settings import parse_fields
from cyclamenlift.platform.settings import read_fields
from tests.platform.builders import settings_lines

TIMEOUT_SECONDS = 10.0
FILE = SettingsFile(read_fields, file_stamp)


@pytest.fixture
def path(tmp_path, monkeypatch):
    found = tmp_path / 'local.conf'
    found.write_text(settings_lines())
    monkeypatch.setenv('CYCLAMENLIFT_BOOT', str(found))
    return found


def wait_for(root, received: list) -> None:
    end = time.monotonic() + TIMEOUT_SECONDS
    while not received:
        assert time.monotonic() < end, 'the change was not detected in time'
        root.tick(0.01)


def test_change_between_reading_and_watching_is_detected(path):
    """Regression: the watch started with the stamp of the changed file."""
    stamp = file_stamp()
    fields = parse_fields(path.read_text())
    path.write_text(path.read_text() + 'new=1\n')
    root = build_root()
    root._running = True
    received = []
    SettingsWatcher(root, FILE, fields, stamp, received.append)
    wait_for(root, received)
    assert received[0]['new'] == '1'


def test_missing_file_changes_nothing(path):
    stamp = file_stamp()
    fields = parse_fields(path.read_text())
    root = build_root()
    root._running = True
    received = []
    watch = SettingsWatcher(root, FILE, fields, stamp, received.append)
    path.unlink()
    watch.check_file()
    assert received == []
    path.write_text(settings_lines(service='fees'))
    watch.check_file()
    assert received[0]['service'] == 'fees'
