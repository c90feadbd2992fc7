"""Fleets, monitors and checks for the network partition tests."""

import contextlib
import itertools
import json
import pathlib
import tempfile
import threading
import time

from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import own_loopback_ip
from cyclamenlift.standins.fleet import request_json
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.paths import RelayPaths
from tests.system.builders import call
from tests.system.builders import in_background
from tests.system.builders import runs_of
from tests.system.builders import WAIT_SECONDS

ANSWERED_CODES = (ResultCode.ANSWERED, ResultCode.ANSWERED_FROM_RECORD)
FINAL_CODES = {*ANSWERED_CODES, ResultCode.CLAIM_UNKNOWN}
POLL_SECONDS = 0.1


@contextlib.contextmanager
def relayed_fleet():
    """Yield a fleet whose processes connect to each other through relays."""
    paths = RelayPaths(own_loopback_ip())
    with tempfile.TemporaryDirectory(prefix='cyclamenlift-') as name:
        fleet = Fleet(pathlib.Path(name), paths=paths)
        try:
            yield fleet
        finally:
            fleet.close()
            paths.close()


def wait_for_leader(fleet: Fleet, among: set[str] | None = None):
    """Wait until two or more instances of ``among`` agree on its leader."""
    names = among or {c.name for c in fleet.controls}

    def agreed():
        found = [c.status() for c in fleet.controls if c.name in names]
        leaders = [s['replica']['leader'] for s in found if s]
        best = max(leaders, key=leaders.count, default='')
        if best in names and leaders.count(best) >= 2:
            return best
        return None

    name = wait_until(agreed, WAIT_SECONDS, f'a leader among {names}')
    return next(c for c in fleet.controls if c.name == name)


def other_controls(fleet: Fleet, leader) -> set[str]:
    return {c.name for c in fleet.controls} - {leader.name}


def publish_once(control, value: dict, base: int, change: str) -> int:
    """Publish through one console; return the result code, 0 if none came."""
    body = {
        'change_id': change,
        'base_version': base,
        'document': json.dumps(value),
        'operator_name': 'test',
    }
    answer = request_json(control.admin, '/api/publish', 'POST', body)
    return answer['code'] if answer else 0


def publish_until_accepted(fleet, names, value, base, change) -> None:
    """Publish through each of ``names`` until one accepts the change."""
    consoles = [c for c in fleet.controls if c.name in names]

    def accepted() -> bool:
        codes = [publish_once(c, value, base, change) for c in consoles]
        return ResultCode.CHANGE_ACCEPTED in codes

    wait_until(accepted, WAIT_SECONDS, f'{change} is accepted')


def read_document(control) -> dict | None:
    return request_json(control.admin, '/api/document')


class VersionMonitor:
    """Polls versions of daemons and confirmed reads of control instances."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.versions: dict[str, list[int]] = {}
        self.confirmed: list[tuple[int, str]] = []
        self.stopping = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.stopping.wait(POLL_SECONDS):
            for daemon in self.fleet.daemons:
                self.record_version(daemon)
            for control in self.fleet.controls:
                self.record_read(control)

    def record_version(self, daemon) -> None:
        status = daemon.status()
        if status is not None:
            seen = self.versions.setdefault(daemon.running.name, [])
            seen.append(status['version'])

    def record_read(self, control) -> None:
        answer = read_document(control)
        if answer and answer['confirmed']:
            self.confirmed.append((answer['current_version'], control.name))

    def stop(self) -> None:
        """Stop polling and check that no version went backwards."""
        self.stopping.set()
        self.thread.join(WAIT_SECONDS)
        for name, seen in self.versions.items():
            assert seen == sorted(seen), name
        # Reads are sequential and each is confirmed after its request, so a
        # lower version after a higher one is a stale read.
        numbers = [version for version, _ in self.confirmed]
        assert numbers == sorted(numbers), self.confirmed


@contextlib.contextmanager
def monitored_versions(fleet: Fleet):
    monitor = VersionMonitor(fleet)
    try:
        yield monitor
    finally:
        monitor.stop()


def is_answered(codes: list[int]) -> bool:
    return any(code in ANSWERED_CODES for code in codes)


class BookingClient:
    """Books keys in sequence, retrying each until its outcome is final.

    Each key is sent through two entries at once, so that every attempt
    competes with the claim of another daemon. ``violations`` lists broken
    guarantees.
    """

    def __init__(self, fleet: Fleet, name: str):
        self.fleet = fleet
        self.name = name
        self.entries = itertools.cycle([d.entry for d in fleet.daemons])
        self.stopping = threading.Event()
        self.codes: dict[str, list[int]] = {}
        self.violations: list[str] = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        for number in itertools.count():
            if self.stopping.is_set():
                return
            self.book(f'{self.name}-{number}')

    def book(self, key: str) -> None:
        """Send one key through pairs of entries until an outcome is final."""
        codes = self.codes.setdefault(key, [])
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            for found in self.send_twice(key):
                if isinstance(found, OSError):
                    self.violations.append(f'{key}: {found!r} after {codes}')
                    return
                codes.append(found[1])
            if FINAL_CODES.intersection(codes):
                return
            # If every outcome is "not run", no target may have run the key.
            if all(is_not_run(c) for c in codes) and runs_of(self.fleet, key):
                self.violations.append(f'{key}: ran, but {codes}')
            time.sleep(POLL_SECONDS)
        self.violations.append(f'{key}: no final outcome in {codes}')

    def send_twice(self, key: str) -> list:
        """Return the result of each of two concurrent calls, or its error."""
        pending = [
            in_background(
                call, next(self.entries), 'POST', '/bookings', b'{}', key
            )
            for _ in range(2)
        ]
        return [result() for result in pending]

    def answered(self) -> int:
        """Return how many keys have been answered."""
        found = list(self.codes.values())
        return sum(1 for codes in found if is_answered(codes))

    def stop(self) -> None:
        self.stopping.set()
        self.thread.join(2 * WAIT_SECONDS)


def wait_for_bookings(clients: list[BookingClient], count: int) -> None:
    """Wait until ``count`` more keys have been answered."""
    goal = sum(b.answered() for b in clients) + count
    wait_until(
        lambda: sum(b.answered() for b in clients) >= goal,
        WAIT_SECONDS,
        f'{count} more bookings',
    )


def find_violations(fleet: Fleet, codes: dict[str, list[int]]) -> list[str]:
    """Return the keys whose run counts contradict their result codes."""
    violations = []
    for key, seen in codes.items():
        runs = runs_of(fleet, key)
        if runs > 1 or (is_answered(seen) and runs != 1):
            violations.append(f'{key}: {runs} runs, {seen}')
    return violations
