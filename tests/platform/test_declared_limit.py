"""The real programs keep to the limit that a target declares.

Guards against a target in need that names a limit in each of its answers and
gets as many calls as before, from all instances together.
"""

import http.client
import itertools
import threading
import time

import pytest

from tests.platform.fleet import Fleet
from tests.platform.target_server import TargetServer

CALLS_PER_SECOND = 60.0
LIMIT = 2.1
# A limit is counted from this long after it was first named, in this span.
GRACE_SECONDS = 3.0
SPAN_SECONDS = 4.0
ALLOWED = 1.5 * LIMIT * SPAN_SECONDS + 5


@pytest.fixture
def fleet(tmp_path):
    fleet = Fleet(tmp_path, control=1, daemons=2)
    targets = [
        TargetServer(fleet.targets[host], f'i-{number}')
        for number, host in enumerate(fleet.daemons)
    ]
    yield fleet, targets
    fleet.close()
    for target in targets:
        target.close()


def send_calls(fleet: Fleet, stop: threading.Event) -> list[threading.Thread]:
    """Send calls through all entries until ``stop`` is set."""
    numbers = itertools.count(1)

    def send(address: str) -> None:
        gap = len(fleet.daemons) / CALLS_PER_SECOND
        while not stop.wait(gap):
            threading.Thread(
                target=call, args=(address, next(numbers)), daemon=True
            ).start()

    threads = [
        threading.Thread(target=send, args=(fleet.entries[host],))
        for host in fleet.daemons
    ]
    for thread in threads:
        thread.start()
    return threads


def call(address: str, number: int) -> int:
    """Send one call to an entry; return the status, 0 for none."""
    host, port = address.rsplit(':', 1)
    connection = http.client.HTTPConnection(host, int(port), timeout=2.0)
    headers = {
        'Host': 'a.example',
        'Attempt-Id': f'a-{number}',
        'Deadline-Ms': '1000',
    }
    try:
        connection.request('GET', '/p/1', headers=headers)
        return connection.getresponse().status
    except (OSError, http.client.HTTPException):
        return 0
    finally:
        connection.close()


def run_limited(fleet, limited, faults=lambda: None) -> list[int]:
    """Return the most calls that each target got in a span.

    The targets in ``limited`` declare a limit; ``faults`` runs when it begins
    to count.
    """
    programs, targets = fleet
    programs.publish_first()
    programs.wait_until_served(lambda address: call(address, 0))
    stop = threading.Event()
    threads = send_calls(programs, stop)
    time.sleep(1.0)
    assert all(target.arrivals for target in targets)
    for target in limited:
        target.says['Server-Limit'] = str(LIMIT)
    named_at = time.monotonic()
    time.sleep(GRACE_SECONDS)
    faults()
    time.sleep(SPAN_SECONDS + 0.5)
    stop.set()
    for thread in threads:
        thread.join()
    since = named_at + GRACE_SECONDS
    return [target.most_in(SPAN_SECONDS, since) for target in targets]


def test_a_limit_named_in_answers_holds_for_all_daemons_together(fleet):
    # Guards against a limit that no daemon reads. The other target has room
    # for all calls, so the limited one may get none.
    _programs, targets = fleet
    limited, other = run_limited(fleet, targets[:1])
    assert limited <= ALLOWED
    assert other > ALLOWED


def test_targets_that_are_all_limited_get_what_they_take(fleet):
    # Guards against limited targets that are left idle, or get what the
    # others turn away.
    _programs, targets = fleet
    for most in run_limited(fleet, targets):
        assert 0.5 * LIMIT * SPAN_SECONDS <= most <= ALLOWED


def test_a_limit_holds_while_the_daemon_beside_the_target_restarts(fleet):
    # Guards against a new daemon that has not heard of the limit yet.
    programs, targets = fleet
    beside = programs.daemons[0]

    def restart() -> None:
        programs.kill(beside)
        programs.start(beside, 'daemon')

    limited, other = run_limited(fleet, targets[:1], restart)
    assert limited <= ALLOWED
    assert other > ALLOWED
