"""Bookings during a burst and while the process that handles them fails.

The targets count how often a key ran. The count of a killed target is lost,
so there the test checks that the other target counted none.
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

UNKNOWN_CODES = {
    ResultCode.PEER_LOST,
    ResultCode.TARGET_BROKE_OFF,
    ResultCode.TARGET_ENDED,
    ResultCode.DEADLINE_UNKNOWN,
}
ANSWERED_CODES = {ResultCode.ANSWERED, ResultCode.ANSWERED_FROM_RECORD}
CALLERS = 16
KEYS = 8
CLAIMED_CODES = {ResultCode.CLAIM_UNKNOWN, ResultCode.CLAIM_IN_PROGRESS}


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
def test_booking_on_a_failing_process_is_unknown_and_runs_once(
    fleet, victim, number
):
    make_fleet(fleet, 2, path_ms='/bookings=1000')
    publish(fleet, document(deadline_ms=3000), 0, 'c1')
    entry = entry_of(fleet)
    first = in_background(book, entry)
    (running_on,) = wait_until(
        lambda: [n for n in (0, 1) if runs_at(fleet.targets[n], 'k1')],
        WAIT_SECONDS,
        'the booking runs',
    )
    handles = {
        'daemon': fleet.daemons[running_on],
        'target': fleet.targets[running_on],
    }
    handles[victim].running.send_signal(number)
    code = first()
    assert code in UNKNOWN_CODES
    assert not is_not_run(code)
    assert {book(entry) for _ in range(3)} <= CLAIMED_CODES
    handles[victim].running.send_signal(signal.SIGCONT)
    assert {book(entry) for _ in range(3)} <= CLAIMED_CODES
    assert runs_at(fleet.targets[1 - running_on], 'k1') == 0
    if victim == 'daemon' or number == signal.SIGSTOP:
        assert runs_at(fleet.targets[running_on], 'k1') == 1


def test_burst_of_bookings_beyond_all_slots_runs_each_key_as_reported(fleet):
    """Two callers send each key at once; most calls find no free slot."""
    make_fleet(fleet, 2, slots=1, path_ms='/bookings=60')
    publish(fleet, document(deadline_ms=700, queue_limit=1), 0, 'c1')
    codes_by_key: dict[str, list[int]] = {}

    def send(number: int) -> list[tuple[str, int]]:
        entry = fleet.daemons[number % len(fleet.daemons)]
        keys = [f'k{number // 2}-{n}' for n in range(KEYS)]
        return [(key, book(entry, key)) for key in keys]

    pending = [in_background(send, number) for number in range(CALLERS)]
    for result in pending:
        for key, code in result():
            codes_by_key.setdefault(key, []).append(code)
    for key, codes in codes_by_key.items():
        runs = sum(runs_at(target, key) for target in fleet.targets)
        assert runs <= 1
        if all(is_not_run(code) for code in codes):
            assert runs == 0, (key, codes)
        if ANSWERED_CODES.intersection(codes):
            assert runs == 1, (key, codes)
    all_codes = [code for codes in codes_by_key.values() for code in codes]
    assert ANSWERED_CODES.intersection(all_codes)
    assert any(is_not_run(code) for code in all_codes)
