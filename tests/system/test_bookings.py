"""Bookings in a burst, and in the hands of processes that fail.

The targets count how often a key ran. A killed target takes its count
along, so the other one must count nothing.
"""

import signal

import pytest

from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from tests.system.builders import call
from tests.system.builders import document
from tests.system.builders import entry_of
from tests.system.builders import in_background
from tests.system.builders import make_fleet
from tests.system.builders import publish
from tests.system.builders import WAIT_SECONDS

UNKNOWN = {
    ResultCode.PEER_LOST,
    ResultCode.TARGET_BROKE_OFF,
    ResultCode.TARGET_ENDED,
    ResultCode.DEADLINE_UNKNOWN,
}
ANSWERED = {ResultCode.ANSWERED, ResultCode.ANSWERED_FROM_RECORD}
CALLERS = 16
KEYS = 8
STILL_CLAIMED = {ResultCode.CLAIM_UNKNOWN, ResultCode.CLAIM_IN_PROGRESS}


@pytest.fixture
def fleet():
    with temporary_fleet() as made:
        yield made


def runs_at(target, key: str) -> int:
    return target.counters()['runs_by_key'].get(key, 0)


def book(entry, key: str = 'k1') -> int:
    """Book once and return the result code."""
    return call(entry.entry, 'POST', '/bookings', b'{}', key)[1]


@pytest.mark.parametrize('victim', ['daemon', 'target'])
@pytest.mark.parametrize('number', [signal.SIGKILL, signal.SIGSTOP])
def test_booking_at_a_process_that_fails_is_unknown_and_runs_once(
    fleet, victim, number
):
    make_fleet(fleet, 2, path_ms='/bookings=1000')
    publish(fleet, document(deadline_ms=3000), 0, 'c1')
    entry = entry_of(fleet)
    first = in_background(book, entry)
    (at,) = wait_until(
        lambda: [n for n in (0, 1) if runs_at(fleet.targets[n], 'k1')],
        WAIT_SECONDS,
        'the booking runs',
    )
    handles = {'daemon': fleet.daemons[at], 'target': fleet.targets[at]}
    handles[victim].running.send_signal(number)
    code = first()
    assert code in UNKNOWN
    assert not is_not_run(code)
    assert {book(entry) for _ in range(3)} <= STILL_CLAIMED
    handles[victim].running.send_signal(signal.SIGCONT)
    assert {book(entry) for _ in range(3)} <= STILL_CLAIMED
    assert runs_at(fleet.targets[1 - at], 'k1') == 0
    if victim == 'daemon' or number == signal.SIGSTOP:
        assert runs_at(fleet.targets[at], 'k1') == 1


def test_burst_of_bookings_beyond_all_slots_runs_each_key_as_told(fleet):
    """Two callers send each key at once; most find no free slot."""
    make_fleet(fleet, 2, slots=1, path_ms='/bookings=60')
    publish(fleet, document(deadline_ms=700, queue_limit=1), 0, 'c1')
    told: dict[str, list[int]] = {}

    def send(number: int) -> list[tuple[str, int]]:
        entry = fleet.daemons[number % len(fleet.daemons)]
        keys = [f'k{number // 2}-{n}' for n in range(KEYS)]
        return [(key, book(entry, key)) for key in keys]

    waits = [in_background(send, number) for number in range(CALLERS)]
    for wait in waits:
        for key, code in wait():
            told.setdefault(key, []).append(code)
    for key, codes in told.items():
        runs = sum(runs_at(target, key) for target in fleet.targets)
        assert runs <= 1
        if all(is_not_run(code) for code in codes):
            assert runs == 0, (key, codes)
        if ANSWERED.intersection(codes):
            assert runs == 1, (key, codes)
    every = [code for codes in told.values() for code in codes]
    assert ANSWERED.intersection(every)
    assert any(is_not_run(code) for code in every)
