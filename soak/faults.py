"""Faults from outside: signals to processes, and operators' changes.

Each is drawn by a seed, takes some time and may overlap with others.
"""

from collections.abc import Callable
import random
import signal
import threading
import time

from cyclamenlift.core.registry import Registry
from cyclamenlift.standins.fleet import Fleet

Fault = Callable[[Fleet, random.Random], None]
FAULTS: Registry[Fault] = Registry('fault')
MAX_SECONDS = 3.0


@FAULTS.register('kill a daemon')
def kill_daemon(fleet: Fleet, rng: random.Random) -> None:
    restart_after(fleet, rng.choice(fleet.daemons), signal.SIGKILL, rng)


@FAULTS.register('stop a daemon')
def stop_daemon(fleet: Fleet, rng: random.Random) -> None:
    restart_after(fleet, rng.choice(fleet.daemons), signal.SIGTERM, rng)


@FAULTS.register('kill a control instance')
def kill_control(fleet: Fleet, rng: random.Random) -> None:
    restart_after(fleet, rng.choice(fleet.controls), signal.SIGKILL, rng)


@FAULTS.register('freeze a daemon')
def freeze_daemon(fleet: Fleet, rng: random.Random) -> None:
    running = rng.choice(fleet.daemons).running
    running.send_signal(signal.SIGSTOP)
    time.sleep(rng.uniform(0.2, MAX_SECONDS))
    running.send_signal(signal.SIGCONT)


def restart_after(fleet: Fleet, handle, number: int, rng) -> None:
    """End a process by a signal and start it again."""
    running = handle.running
    if not running.alive():
        return
    running.send_signal(signal.SIGCONT)
    running.send_signal(number)
    running.process.wait(30.0)
    time.sleep(rng.uniform(0.0, MAX_SECONDS / 2.0))
    if handle.running is running:
        fleet.restart(handle)


class FaultSeries:
    """Runs faults that a seed draws, each in a thread of its own."""

    def __init__(self, fleet: Fleet, rng: random.Random, log: list[str]):
        self.fleet = fleet
        self.rng = rng
        self.log = log
        self.threads: list[threading.Thread] = []

    def run(self, seconds: float) -> None:
        """Begin faults for so long, then wait until all are over."""
        began = time.monotonic()
        while time.monotonic() - began < seconds:
            name = self.rng.choice(sorted(FAULTS))
            fault = FAULTS.get(name)
            seed = self.rng.getrandbits(32)
            self.log.append(f'{time.monotonic() - began:.1f} s: {name}')
            thread = threading.Thread(
                target=fault, args=(self.fleet, random.Random(seed))
            )
            thread.start()
            self.threads.append(thread)
            time.sleep(self.rng.uniform(0.5, MAX_SECONDS))
        for thread in self.threads:
            thread.join(60.0)
