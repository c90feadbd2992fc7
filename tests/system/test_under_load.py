"""Drains, stops and changes while many callers send to real processes."""

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
LEAST_CALLS = 40


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


class Callers:
    """Callers that send until told to stop; each answer is checked."""

    def __init__(self, addresses: list[str], method: str = 'GET'):
        self.method = method
        self.stopping = threading.Event()
        self.counts = [0] * CALLERS
        self.waits = [
            in_background(self.run, n, addresses[n % len(addresses)])
            for n in range(CALLERS)
        ]

    def run(self, number: int, address: str) -> set:
        """Return every kind of ending that was seen."""
        found = set()
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
            found.add((answer[0], check_answer(answer[2], name)))
            self.counts[number] += 1
        return found

    def go_on(self, calls: int = LEAST_CALLS) -> None:
        """Wait until each caller has got some more answers."""
        goals = [count + calls for count in self.counts]
        wait_until(
            lambda: all(c >= g for c, g in zip(self.counts, goals)),
            WAIT_SECONDS,
            'callers get answers',
        )

    def finish(self) -> None:
        """End them; every answer must have been whole and their own."""
        self.stopping.set()
        for wait in self.waits:
            assert wait() == {(200, AnswerFault.NONE)}


def test_target_that_drains_twice_under_load_gets_nothing_new(fleet):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    leaving = fleet.daemons[0]
    callers = Callers([d.entry for d in fleet.daemons])
    callers.go_on()
    assert fleet.targets[0].counters()['runs'] > 0
    for _ in range(2):
        done = fleet.command('drain', f'--addresses={leaving.admin}')
        assert done.returncode == 0
    wait_until(
        lambda: leaving.status()['in_flight'] == 0, WAIT_SECONDS, 'it is idle'
    )
    before = fleet.targets[0].counters()['runs']
    callers.go_on()
    callers.finish()
    assert fleet.targets[0].counters()['runs'] == before
    assert leaving.status()['state'] == 'draining'


def test_daemon_that_stops_under_load_costs_no_answer(fleet):
    """A booking that is cut off could not be sent to another target."""
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
    callers.go_on(2)
    callers.finish()


@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
@pytest.mark.parametrize('victim', ['daemon', 'target'])
def test_process_that_fails_under_load_costs_no_answer(fleet, victim, number):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    callers = Callers([entry_of(fleet).entry])
    callers.go_on()
    handles = {'daemon': fleet.daemons[0], 'target': fleet.targets[0]}
    handles[victim].running.send_signal(number)
    callers.go_on()
    handles[victim].running.send_signal(signal.SIGCONT)
    callers.go_on()
    callers.finish()


def test_change_under_load_is_in_force_and_costs_no_answer(fleet):
    make_fleet(fleet, 3)
    publish(fleet, document(), 0, 'c1')
    callers = Callers([d.entry for d in fleet.daemons])
    callers.go_on()
    for base in (1, 2, 3):
        changed = document(deadline_ms=4000 + base)
        publish(fleet, changed, base, f'c{base + 1}')
    callers.go_on()
    callers.finish()
    assert {d.status()['config_version'] for d in fleet.daemons} == {4}
