"""Builders and observers for the tests of silent cuts."""

import contextlib
import itertools
import json
import pathlib
import tempfile
import threading
import time

from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.standins.fleet import ask_json
from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import random_host
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.paths import RelayPaths
from tests.system.builders import call
from tests.system.builders import in_background
from tests.system.builders import runs_of
from tests.system.builders import WAIT_SECONDS

ANSWERS = (ResultCode.ANSWERED, ResultCode.ANSWERED_FROM_RECORD)
ENDS = {*ANSWERS, ResultCode.CLAIM_UNKNOWN}
PAUSE_SECONDS = 0.1


@contextlib.contextmanager
def relayed_fleet():
    """Give a fleet whose processes reach each other through relays."""
    paths = RelayPaths(random_host())
    with tempfile.TemporaryDirectory(prefix='cyclamenlift-') as name:
        fleet = Fleet(pathlib.Path(name), paths=paths)
        try:
            yield fleet
        finally:
            fleet.close()
            paths.close()


def find_leader(fleet: Fleet, among: set[str] | None = None):
    """Wait until a majority of ``among`` names one of it as leader."""
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


def others_of(fleet: Fleet, leader) -> set[str]:
    return {c.name for c in fleet.controls} - {leader.name}


def offer(control, value: dict, base: int, change: str) -> int:
    """Publish at one console alone; return the code, 0 for no answer."""
    body = {
        'change_id': change,
        'base_version': base,
        'document': json.dumps(value),
        'operator_name': 'test',
    }
    answer = ask_json(control.admin, '/api/publish', 'POST', body)
    return answer['code'] if answer else 0


def offer_until_accepted(fleet, names, value, base, change) -> None:
    """Offer a change to each of ``names`` until one has taken it."""
    consoles = [c for c in fleet.controls if c.name in names]

    def taken() -> bool:
        codes = [offer(c, value, base, change) for c in consoles]
        return ResultCode.CHANGE_ACCEPTED in codes

    wait_until(taken, WAIT_SECONDS, f'{change} is accepted')


def shown(control) -> dict | None:
    return ask_json(control.admin, '/api/document')


class VersionWatch:
    """Polls daemons' versions and confirmed reads of control instances."""

    def __init__(self, fleet: Fleet):
        self.fleet = fleet
        self.versions: dict[str, list[int]] = {}
        self.confirmed: list[tuple[int, str]] = []
        self.ended = threading.Event()
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        while not self.ended.wait(PAUSE_SECONDS):
            for daemon in self.fleet.daemons:
                self.note(daemon)
            for control in self.fleet.controls:
                self.note_read(control)

    def note(self, daemon) -> None:
        status = daemon.status()
        if status is not None:
            seen = self.versions.setdefault(daemon.running.name, [])
            seen.append(status['version'])

    def note_read(self, control) -> None:
        answer = shown(control)
        if answer and answer['confirmed']:
            self.confirmed.append((answer['current_version'], control.name))

    def stop(self) -> None:
        """End the polls; no version may have fallen meanwhile."""
        self.ended.set()
        self.thread.join(WAIT_SECONDS)
        for name, seen in self.versions.items():
            assert seen == sorted(seen), name
        # The reads are made one after the other, each confirmed after it
        # was asked, so a lower one after a higher one is a stale read.
        numbers = [version for version, _ in self.confirmed]
        assert numbers == sorted(numbers), self.confirmed


@contextlib.contextmanager
def watched_versions(fleet: Fleet):
    watch = VersionWatch(fleet)
    try:
        yield watch
    finally:
        watch.stop()


def is_answered(codes: list[int]) -> bool:
    return any(code in ANSWERS for code in codes)


class Booker:
    """Books keys one after the other and sends each until it is answered.

    Each key is sent through two entries at once, so that every attempt meets
    the claim of another daemon. ``faults`` lists what must never happen.
    """

    def __init__(self, fleet: Fleet, name: str):
        self.fleet = fleet
        self.name = name
        self.entries = itertools.cycle([d.entry for d in fleet.daemons])
        self.ended = threading.Event()
        self.codes: dict[str, list[int]] = {}
        self.faults: list[str] = []
        self.thread = threading.Thread(target=self.run)
        self.thread.start()

    def run(self) -> None:
        for number in itertools.count():
            if self.ended.is_set():
                return
            self.book(f'{self.name}-{number}')

    def book(self, key: str) -> None:
        """Send one key through two entries at a time until it is answered."""
        codes = self.codes.setdefault(key, [])
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            for found in self.send_twice(key):
                if isinstance(found, OSError):
                    self.faults.append(f'{key}: {found!r} after {codes}')
                    return
                codes.append(found[1])
            if ENDS.intersection(codes):
                return
            # A key whose outcomes are all "not run" has no run.
            if all(is_not_run(c) for c in codes) and runs_of(self.fleet, key):
                self.faults.append(f'{key}: ran, but {codes}')
            time.sleep(PAUSE_SECONDS)
        self.faults.append(f'{key}: no end of {codes}')

    def send_twice(self, key: str) -> list:
        """Return both answers, or the errors instead."""
        waits = [
            in_background(
                call, next(self.entries), 'POST', '/bookings', b'{}', key
            )
            for _ in range(2)
        ]
        return [wait() for wait in waits]

    def answered(self) -> int:
        """Return how many keys have an answer."""
        found = list(self.codes.values())
        return sum(1 for codes in found if is_answered(codes))

    def stop(self) -> None:
        self.ended.set()
        self.thread.join(2 * WAIT_SECONDS)


def wait_for_bookings(bookers: list[Booker], count: int) -> None:
    """Wait until ``count`` more keys are answered."""
    wanted = sum(b.answered() for b in bookers) + count
    wait_until(
        lambda: sum(b.answered() for b in bookers) >= wanted,
        WAIT_SECONDS,
        f'{count} more bookings',
    )


def judge(fleet: Fleet, codes: dict[str, list[int]]) -> list[str]:
    """Return the keys whose runs do not fit their codes."""
    faults = []
    for key, seen in codes.items():
        runs = runs_of(fleet, key)
        if runs > 1 or (is_answered(seen) and runs != 1):
            faults.append(f'{key}: {runs} runs, {seen}')
    return faults
