"""Daemons that were frozen or down while the configuration changed."""

import json
import signal

import pytest

from cyclamenlift.standins.fleet import request_json
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from tests.system.builders import call
from tests.system.builders import document
from tests.system.builders import make_fleet
from tests.system.builders import publish
from tests.system.builders import WAIT_SECONDS

CHANGES = 200
ACCEPTED = 5000


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


def publish_many(fleet, first: int, count: int) -> None:
    """Publish changes in sequence through the current leader."""
    for base in range(first, first + count):
        change = {
            'change_id': f'many-{base}',
            'base_version': base,
            'document': json.dumps(document(deadline_ms=1000 + base)),
        }
        wait_until(
            lambda change=change: any(
                (
                    request_json(c.admin, '/api/publish', 'POST', change) or {}
                ).get('code')
                == ACCEPTED
                for c in fleet.controls
            ),
            WAIT_SECONDS,
            f'change {base} is accepted',
        )


@pytest.mark.parametrize(
    'number, changes',
    [(signal.SIGSTOP, 5), (signal.SIGKILL, CHANGES)],
    ids=['frozen', 'killed and started after 200 changes'],
)
def test_daemon_that_missed_changes_catches_up(fleet, number, changes):
    make_fleet(fleet, 2)
    publish(fleet, document(), 0, 'c1')
    victim = fleet.daemons[0]
    victim.running.send_signal(number)
    publish_many(fleet, 1, changes)
    if number == signal.SIGKILL:
        victim.running.process.wait(WAIT_SECONDS)
        fleet.restart(victim)
    else:
        victim.running.send_signal(signal.SIGCONT)
    fleet.wait_for_version(changes + 1, len(fleet.daemons))
    wait_until(lambda: victim.status()['confirmed'], WAIT_SECONDS, 'confirmed')
    assert victim.status()['config_version'] == changes + 1
    assert call(victim.entry)[0] == 200
