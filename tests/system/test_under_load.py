"""Drains, shutdowns, failures and changes of real processes under load."""

import signal
import threading

import pytest

from cyclamenlift.standins.answers import AnswerFault
from cyclamenlift.standins.answers import check_answer
from cyclamenlift.standins.fleet import http_request
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from tests.system.builders import document
from tests.system.builders import entry_of
from tests.system.builders import in_background
from tests.system.builders import make_fleet
from tests.system.builders import publish
from tests.system.builders import SERVICE
from tests.system.builders import WAIT_SECONDS

CALLERS = 6
MIN_CALLS = 40


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


class Callers:
    """Concurrent callers that check every answer, until ``finish``."""

    def __init__(self, addresses: list[str], method: str = 'GET'):
        self.method = method
        self.stopping = threading.Event()
        self.counts = [0] * CALLERS
        self.pending = [
            in_background(self.run, n, addresses[n % len(addresses)])
            for n in range(CALLERS)
        ]

    def run(self, number: int, address: str) -> set:
        """Return the distinct pairs of status and answer check."""
        outcomes = set()
        while not self.stopping.is_set():
            name = f'caller-{number}-{self.counts[number]}'
            headers = {
                'Host': SERVICE,
                'X-Request-Id': name,
                'Idempotency-Key': name,
            }
            answer = http_request(
                address, self.method, '/prices', b'', headers
            )
            outcomes.add((answer[0], check_answer(answer[2], name)))
            self.counts[number] += 1
        return outcomes

    def wait_for_calls(self, calls: int = MIN_CALLS) -> None:
        """Wait until each caller has received ``calls`` more answers."""
        goals = [count + calls for count in self.counts]
        wait_until(
            lambda: all(c >= g for c, g in zip(self.counts, goals)),
            WAIT_SECONDS,
            'callers receive answers',
        )

    def finish(self) -> None:
        """Stop; every answer must be complete and match its request."""
        self.stopping.set()
        for result in self.pending:
            assert result() == {(200, AnswerFault.NONE)}


def test_target_drained_twice_under_load_receives_no_new_calls(fleet):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    leaving = fleet.daemons[0]
    callers = Callers([d.entry for d in fleet.daemons])
    callers.wait_for_calls()
    assert fleet.targets[0].counters()['runs'] > 0
    for _ in range(2):
        done = fleet.command('drain', f'--addresses={leaving.admin}')
        assert done.returncode == 0
    wait_until(
        lambda: leaving.status()['in_flight'] == 0, WAIT_SECONDS, 'it is idle'
    )
    before = fleet.targets[0].counters()['runs']
    callers.wait_for_calls()
    callers.finish()
    assert fleet.targets[0].counters()['runs'] == before
    assert leaving.status()['state'] == 'draining'


def test_daemon_shutdown_under_load_loses_no_answer(fleet):
    """A booking cut off midway could not be retried on another target."""
    make_fleet(fleet, 3, path_ms='/prices=1200')
    publish(fleet, document(), 0, 'c1')
    leaving = fleet.daemons[0]
    callers = Callers([entry_of(fleet).entry], 'POST')
    wait_until(
        lambda: leaving.status()['in_flight'] > 0, WAIT_SECONDS, 'it is busy'
    )
    for _ in range(2):
        leaving.running.send_signal(signal.SIGTERM)
    assert leaving.running.process.wait(WAIT_SECONDS) == 0
    callers.wait_for_calls(2)
    callers.finish()


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('victim', ['daemon', 'target'])
def test_process_failure_under_load_loses_no_answer(fleet, victim, number):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    callers = Callers([entry_of(fleet).entry])
    callers.wait_for_calls()
    handles = {'daemon': fleet.daemons[0], 'target': fleet.targets[0]}
    handles[victim].running.send_signal(number)
    callers.wait_for_calls()
    handles[victim].running.send_signal(signal.SIGCONT)
    callers.wait_for_calls()
    callers.finish()


def test_configuration_change_under_load_loses_no_answer(fleet):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    callers = Callers([d.entry for d in fleet.daemons])
    callers.wait_for_calls()
    for base in (1, 2, 3):
        changed = document(deadline_ms=4000 + base)
        publish(fleet, changed, base, f'c{base + 1}')
    callers.wait_for_calls()
    callers.finish()
    assert {d.status()['config_version'] for d in fleet.daemons} == {4}
