"""Targets that end at certain requests, started again by the test."""

import http.client
import json
import threading
import time

from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import free_address
from cyclamenlift.standins.fleet import TargetHandle
from tests.system.builders import call
from tests.system.builders import FAST_GOSSIP
from tests.system.builders import SERVICE

END_PATH = '/end'
DOWN_SECONDS = 2.0
LOOK_SECONDS = 0.02
NOT_ANSWERED = 0


class EndingTargets:
    """Targets with their daemons; one that ended is back after a while."""

    def __init__(self, fleet: Fleet, count: int):
        self.fleet = fleet
        self.handles = [self.start(number) for number in range(count)]
        self.down_until: dict[int, float] = {}
        self.stopped = threading.Event()

    def start(self, number: int) -> TargetHandle:
        name = f'prices-{number}'
        options = {'port': free_address().rpartition(':')[2]}
        target = self.fleet.start_target(
            name,
            SERVICE,
            4,
            service_ms=20,
            seed=number + 1,
            end_path=END_PATH,
            **options,
        )
        self.fleet.start_daemon(
            name,
            f'dc-{number % 2}',
            target,
            health_path='/health',
            gossip_seconds=FAST_GOSSIP,
        )
        return target

    def watch(self) -> None:
        """Start again what ended, until ``stop``."""
        threading.Thread(target=self.look_on, daemon=True).start()

    def look_on(self) -> None:
        while not self.stopped.wait(LOOK_SECONDS):
            for number, target in enumerate(self.handles):
                self.look_at(number, target)

    def look_at(self, number: int, target: TargetHandle) -> None:
        if target.running.alive():
            return
        now = time.monotonic()
        due = self.down_until.setdefault(number, now + DOWN_SECONDS)
        if now >= due and not self.stopped.is_set():
            del self.down_until[number]
            arguments = target.running.process.args[2:]
            target.running = self.fleet.start(target.running.name, arguments)

    def stop(self) -> None:
        self.stopped.set()

    def ends(self) -> list[float]:
        """Return when a request ended a target, oldest first."""
        found = []
        for target in self.handles:
            for line in target.running.log.read_text().splitlines():
                if line.startswith('{"ended_by"'):
                    found.append(json.loads(line)['at'])
        return sorted(found)


class Callers:
    """Sends calls at a steady pace, each in a thread of its own.

    ``results`` holds when each was sent and its status, ``NOT_ANSWERED``
    for a broken connection.
    """

    def __init__(self, entries: list[str], path: str, gap_seconds: float):
        self.entries = entries
        self.path = path
        self.gap_seconds = gap_seconds
        self.results: list[tuple[float, int, int]] = []
        self.threads: list[threading.Thread] = []

    def run(self, seconds: float) -> None:
        """Send calls for ``seconds``, through one entry after the other."""
        until = time.monotonic() + seconds
        number = 0
        while time.monotonic() < until:
            entry = self.entries[number % len(self.entries)]
            thread = threading.Thread(
                target=self.send, args=(entry, number), daemon=True
            )
            thread.start()
            self.threads.append(thread)
            number += 1
            time.sleep(self.gap_seconds)

    def send(self, entry: str, number: int) -> None:
        sent_at = time.monotonic()
        try:
            status, code, _ = call(entry, path=self.path.format(number))
        except (OSError, http.client.HTTPException):
            status, code = NOT_ANSWERED, NOT_ANSWERED
        self.results.append((sent_at, status, code))

    def begin(self, seconds: float) -> threading.Thread:
        thread = threading.Thread(target=self.run, args=(seconds,))
        thread.start()
        return thread

    def join(self) -> None:
        for thread in self.threads:
            thread.join(10.0)

    def served_since(self, begun_at: float) -> float:
        """Return the share of the calls sent since then that succeeded."""
        statuses = [s for at, s, _ in self.results if at >= begun_at]
        return statuses.count(200) / len(statuses)
