"""Measure membership with real sockets: ``python -m bench.gossip_sockets``.

Many members share one event loop and process, which makes a hundred
affordable. The period is shortened; bytes and processor time are per period,
which is what a member with a period of 1 s spends in a second.
"""

import json
import random
import sys
import time

import fire

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.membership.budget import IP_UDP_BYTES
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.tasks import Membership

PERIOD = 0.25
JOIN_SECONDS = 30.0
WARM_PERIODS = 80
MEASURED_PERIODS = 40


class MemberGroup:
    """Members on one event loop, and the cost of all of them."""

    def __init__(self, count: int) -> None:
        self.root = build_root()
        self.members: list[Membership] = []
        self.seeds: list[Address] = []
        for number in range(count):
            self.start(number)

    def start(self, number: int) -> None:
        settings = MembershipSettings(
            instance=f'instance-{number:04d}',
            data_centre=f'centre-{number % 8}',
            cluster='bench',
            listen=Address('127.0.0.1', 0),
            seeds=tuple(self.seeds),
            period=PERIOD,
            peer_address='127.0.0.1:7100',
            service_name=f'service-{number % 91:02d}',
            slots=20,
            target_name=f'target-{number:04d}',
        )
        member = Membership(self.root, settings, random.Random(number))
        address = member.start()
        if len(self.seeds) < 3:
            self.seeds.append(address)
        self.members.append(member)

    def all_joined(self) -> bool:
        count = len(self.members)
        return all(len(m.members()) == count for m in self.members)

    def total_cost(self) -> tuple[float, float]:
        """Return bytes, with headers, and CPU seconds so far."""
        total = 0
        for member in self.members:
            counters = member.counters
            packets = counters.packets_in + counters.packets_out
            total += counters.bytes_in + counters.bytes_out
            total += packets * IP_UDP_BYTES
        return total, time.process_time()

    def measure(self, done) -> None:
        """Join, warm up and measure; then call ``done`` with the figures."""
        started_at = time.monotonic()
        baseline: dict[str, float] = {}

        def wait_for_join() -> None:
            elapsed = time.monotonic() - started_at
            if self.all_joined():
                baseline['joined'] = elapsed
                self.call_after_periods(WARM_PERIODS, start_measuring)
            elif elapsed < JOIN_SECONDS:
                self.root.scheduler.after(0.05, wait_for_join)
            else:
                done(None)

        def start_measuring() -> None:
            baseline['bytes'], baseline['cpu'] = self.total_cost()
            self.call_after_periods(MEASURED_PERIODS, finish)

        def finish() -> None:
            total, cpu = self.total_cost()
            share = len(self.members) * MEASURED_PERIODS
            done(
                {
                    'members': len(self.members),
                    'joined_s': round(baseline['joined'], 2),
                    'bytes': round((total - baseline['bytes']) / share),
                    'cpu_ms': round(1000 * (cpu - baseline['cpu']) / share, 3),
                }
            )

        wait_for_join()

    def call_after_periods(self, periods: int, callback) -> None:
        self.root.scheduler.after(periods * PERIOD, callback)

    def close(self) -> None:
        for member in self.members:
            member.stop()


def main(sizes: str = '25,50,75,100') -> None:
    """Print one JSON line for each number of members.

    Args:
        sizes: Numbers of members, separated by commas.
    """
    size_list = sizes if isinstance(sizes, tuple) else str(sizes).split(',')
    for size in size_list:
        group = MemberGroup(int(size))

        def done(value, group=group) -> None:
            sys.stdout.write(json.dumps(value) + '\n')
            sys.stdout.flush()
            group.close()
            group.root.stop()

        group.root.scheduler.after(0.0, lambda: group.measure(done))
        group.root.run()


if __name__ == '__main__':
    fire.Fire(main)
