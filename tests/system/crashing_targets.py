"""Targets that crash on certain requests, and steady-rate callers."""

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

CRASH_PATH = '/end'
DOWN_SECONDS = 2.0
POLL_SECONDS = 0.02
NOT_ANSWERED = 0


class CrashingTargets:
    """Targets with their daemons; restarts a crashed target after a delay."""

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
            end_path=CRASH_PATH,
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

    def supervise(self) -> None:
        """Restart crashed targets in the background until ``stop``."""
        threading.Thread(target=self.run_supervisor, daemon=True).start()

    def run_supervisor(self) -> None:
        while not self.stopped.wait(POLL_SECONDS):
            for number, target in enumerate(self.handles):
                self.restart_when_due(number, target)

    def restart_when_due(self, number: int, target: TargetHandle) -> None:
        if target.running.alive():
            return
        now = time.monotonic()
        restart_at = self.down_until.setdefault(number, now + DOWN_SECONDS)
        if now >= restart_at and not self.stopped.is_set():
            del self.down_until[number]
            arguments = target.running.process.args[2:]
            target.running = self.fleet.start(target.running.name, arguments)

    def stop(self) -> None:
        self.stopped.set()

    def crash_times(self) -> list[float]:
        """Return the times at which a request crashed a target, in order."""
        found = []
        for target in self.handles:
            for line in target.running.log.read_text().splitlines():
                if line.startswith('{"ended_by"'):
                    found.append(json.loads(line)['at'])
        return sorted(found)


class Callers:
    """Sends calls at a fixed interval, each in a thread of its own.

    ``results`` holds the send time, status and result code of each call;
    both are ``NOT_ANSWERED`` if the connection broke.
    """

    def __init__(self, entries: list[str], path: str, interval_seconds: float):
        self.entries = entries
        self.path = path
        self.interval_seconds = interval_seconds
        self.results: list[tuple[float, int, int]] = []
        self.threads: list[threading.Thread] = []

    def run(self, seconds: float) -> None:
        """Send calls for ``seconds``, through the entries in turn."""
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
            time.sleep(self.interval_seconds)

    def send(self, entry: str, number: int) -> None:
        sent_at = time.monotonic()
        try:
            status, code, _ = call(entry, path=self.path.format(number))
        except (OSError, http.client.HTTPException):
            status, code = NOT_ANSWERED, NOT_ANSWERED
        self.results.append((sent_at, status, code))

    def start_in_thread(self, seconds: float) -> threading.Thread:
        thread = threading.Thread(target=self.run, args=(seconds,))
        thread.start()
        return thread

    def join(self) -> None:
        for thread in self.threads:
            thread.join(10.0)

    def success_share_since(self, start_time: float) -> float:
        """Return the share of successes among calls sent since a time."""
        statuses = [s for at, s, _ in self.results if at >= start_time]
        return statuses.count(200) / len(statuses)
