"""Compare the routing policies with real processes.

    python -m bench.policies run --site dundee --out results.jsonl
    python -m bench.policies table --results results.jsonl

Each run starts a new fleet: stand-in targets with slots, daemons (some next
to a target, some as entries only), one control instance, and an open-loop
sender that checks every answer. The policy is a field of the event document.
A fault starts one second into the measured load. The load includes bookings
with a key, so that duplicate and lost ones can be counted at the targets.
"""

import asyncio
import collections
import dataclasses
import itertools
import json
import multiprocessing
import pathlib
import signal
import statistics
import sys

import fire
import psutil

from cyclamenlift.standins.fleet import Fleet
from cyclamenlift.standins.fleet import FleetError
from cyclamenlift.standins.fleet import request_json
from cyclamenlift.standins.fleet import temporary_fleet
from cyclamenlift.standins.fleet import wait_until
from cyclamenlift.standins.load import LoadPlan
from cyclamenlift.standins.load import run_load
from cyclamenlift.standins.loops import run_precisely
from cyclamenlift.standins.summary import CallClass
from cyclamenlift.standins.summary import CallKind
from cyclamenlift.standins.summary import Summary
from demo.document import demo_document

SERVICE = 'prices'
WARM_UP_SECONDS = 1.5
FAULT_AT = 1.0
MEASURED_SECONDS = 5.0
BOOKING_SHARE = 0.02
GOSSIP_SECONDS = 0.3
MAX_ATTEMPTS = 2
IDLE_CHECKS = 20
MAX_CPU_PERCENT = 75.0
MAX_SENDER_LATENESS_MS = 5.0
POLICY_NAMES = (
    'random',
    'round_robin',
    'least_calls',
    'power_of_two',
    'hot_cold',
)


@dataclasses.dataclass(frozen=True, slots=True)
class Site:
    """Sizes of one site; ``load`` is the share of all its slots in use."""

    data_centres: tuple[str, ...]
    targets: int
    entries: int
    slots: int
    service_ms: float
    load: float = 0.6

    def rate(self) -> float:
        return self.load * self.targets * self.slots * 1000 / self.service_ms


SITES = {
    'dundee': Site(('a', 'b', 'c', 'd'), 4, 4, 6, 20.0),
    'addis': Site(('bole', 'kirkos', 'yeka'), 6, 3, 20, 80.0),
}

STRAGGLER = {'straggler_factor': 5.0}
NOISE = {'noise_on_ms': 20, 'noise_off_ms': 180, 'noise_factor': 4}
FAULTS = {
    'even': {},
    'straggler': {0: STRAGGLER},
    'noisy': dict.fromkeys(range(6), NOISE),
    'fail_fast': {0: {'fail_fast': 500}},
    'misleading': {
        0: {'straggler_factor': 3.0, 'load_report': 'idle'},
        1: {'load_report': 'lagging', 'load_lag_ms': 1000},
    },
    'cold_start': {},
    'drain': {},
    'kill': {},
}
COLD_START = {'cold_ms': 4000, 'cold_factor': 8}


@dataclasses.dataclass(frozen=True, slots=True)
class Job:
    """Parameters of one run."""

    site: str
    scenario: str
    policy: str
    run: int
    hedge: bool = True


class FleetRun:
    """One fleet in one scenario."""

    def __init__(self, fleet: Fleet, job: Job):
        self.fleet = fleet
        self.job = job
        self.site = SITES[job.site]

    def data_centre_of(self, number: int) -> str:
        return self.site.data_centres[number % len(self.site.data_centres)]

    def start(self) -> None:
        """Start the fleet; for a cold start, without the first daemon."""
        self.fleet.start_controls(1)
        for number in range(self.site.targets):
            self.fleet.start_target(
                f't{number}',
                SERVICE,
                self.site.slots,
                service_ms=self.site.service_ms,
                seed=self.job.run * 100 + number,
                lifetime=120,
            )
        for number in range(1, self.site.targets):
            self.start_daemon(number)
        if self.job.scenario != 'cold_start':
            self.start_daemon(0)
        for number in range(self.site.entries):
            self.fleet.start_daemon(
                f'entry{number}',
                self.data_centre_of(number),
                gossip_seconds=GOSSIP_SECONDS,
            )
        self.publish()
        try:
            self.fleet.wait_for_version(1, len(self.fleet.daemons))
        except FleetError:
            self.print_daemon_states()
            raise

    def print_daemon_states(self) -> None:
        """Print the status and log of each daemon, if the start failed."""
        for daemon in self.fleet.daemons:
            sys.stderr.write(f'{daemon.running.name}: {daemon.status()}\n')
            sys.stderr.write(daemon.running.log.read_text()[-500:])

    def start_daemon(self, number: int) -> None:
        self.fleet.start_daemon(
            f't{number}',
            self.data_centre_of(number),
            self.fleet.targets[number],
            health_path='/health',
            gossip_seconds=GOSSIP_SECONDS,
        )

    def publish(self) -> None:
        """Publish a document that selects the policy."""
        document = demo_document()
        document['services'] = [
            {
                'name': SERVICE,
                'policy': self.job.policy,
                'hedge': self.job.hedge,
                'deadline_ms': 3000,
                'operations': [{'method': 'POST', 'path': '/bookings'}],
            }
        ]
        path = self.fleet.folder / 'event.json'
        path.write_text(json.dumps(document))

        def accepted() -> bool:
            done = self.fleet.command(
                'event',
                'publish',
                str(path),
                '--base=0',
                '--change_id=bench',
                f'--console={self.fleet.consoles()}',
            )
            return done.returncode == 0

        wait_until(accepted, 30.0, 'the document published')

    def inject_fault(self) -> None:
        """Inject the fault; runs in a thread next to the sender's loop."""
        scenario = self.job.scenario
        for number, faults in FAULTS[scenario].items():
            if number < self.site.targets:
                self.fleet.targets[number].set_faults(**faults)
        if scenario == 'cold_start':
            self.fleet.targets[0].set_faults(**COLD_START)
            self.start_daemon(0)
        elif scenario == 'drain':
            request_json(self.first_daemon().admin, '/drain', 'POST', {})
        elif scenario == 'kill':
            self.first_daemon().running.kill()
            self.fleet.targets[0].running.kill()

    def first_daemon(self):
        return self.fleet.daemons[self.site.targets - 1]

    async def send(self) -> Summary:
        """Warm up, then send the measured load, which the fault interrupts."""
        entries = tuple(
            d.entry
            for d in self.fleet.daemons
            if d.running.name != 't0' and d.running.alive()
        )
        if not entries:
            raise FleetError('no daemon is alive')
        plan = LoadPlan(
            addresses=entries,
            service=SERVICE,
            rate=self.site.rate(),
            seconds=WARM_UP_SECONDS,
            timeout_ms=3000,
            seed=self.job.run,
            prefix='warm',
        )
        await run_load(plan)
        plan = dataclasses.replace(
            plan,
            seconds=MEASURED_SECONDS,
            booking_share=BOOKING_SHARE,
            prefix='run',
        )
        loop = asyncio.get_running_loop()
        loop.call_later(
            FAULT_AT, lambda: loop.run_in_executor(None, self.inject_fault)
        )
        return await run_load(plan)

    def probes(self) -> int:
        """Return the number of probes that reached gates, answered or not."""
        found = 0
        for daemon in self.fleet.daemons:
            status = daemon.status() if daemon.running.alive() else None
            if status is not None:
                found += status.get('probes_answered', 0)
                found += status.get('probes_dropped', 0)
        return found

    def result(self, summary: Summary, probes: int) -> dict:
        """Return a row of results; latency of the look-ups in ms."""
        reads = summary.kinds[CallKind.READ]
        runs: collections.Counter = collections.Counter()
        load_requests = 0
        target_runs = 0
        for target in self.fleet.targets:
            if target.running.alive():
                counters = target.counters()
                runs.update(counters['runs_by_key'])
                load_requests += counters['load_requests']
                target_runs += counters['runs']
        lost = [k for k in summary.keys_answered if not runs[k]]
        known = self.job.scenario != 'kill'
        return {
            **dataclasses.asdict(self.job),
            **reads.as_json()['latency_ms'],
            'sent': summary.total.sent,
            'failed': summary.failures(),
            'classes': {c.value: summary.total.classes[c] for c in CallClass},
            'codes': summary.total.as_json()['codes'],
            'probes': probes,
            'load_requests': load_requests,
            'target_runs': target_runs,
            'doubled': sum(1 for count in runs.values() if count > 1),
            'lost': len(lost) if known else None,
            'by_target': dict(summary.by_target),
            'late_p99': summary.as_json()['lateness_ms']['p99'],
        }


def exit_on_sigterm() -> None:
    """Make a terminated worker close its fleet before it exits."""
    signal.signal(signal.SIGTERM, lambda *_: sys.exit(1))


def wait_for_idle_cpu() -> None:
    """Wait, for IDLE_CHECKS seconds at most, until the CPU is less busy."""
    for _ in range(IDLE_CHECKS):
        if psutil.cpu_percent(1.0) < MAX_CPU_PERCENT:
            return


def run_job(job: Job) -> dict | None:
    """Execute one run in a worker; None if the fleet did not start.

    If the sender itself was late, the result depends more on the machine
    than on the policy, and the run is repeated.
    """
    result = None
    for _ in range(MAX_ATTEMPTS):
        wait_for_idle_cpu()
        try:
            with temporary_fleet('warning') as fleet:
                fleet_run = FleetRun(fleet, job)
                fleet_run.start()
                before = fleet_run.probes()
                summary = run_precisely(fleet_run.send())
                result = fleet_run.result(summary, fleet_run.probes() - before)
            if result['late_p99'] <= MAX_SENDER_LATENESS_MS:
                return result
        except (FleetError, OSError) as error:
            sys.stderr.write(f'{job}: {error}\n')
    return result


def split_names(value) -> tuple[str, ...]:
    """Return a comma-separated list, which ``fire`` may have split."""
    return tuple(value.split(',')) if isinstance(value, str) else value


def run(
    site: str,
    out: str,
    scenarios=tuple(FAULTS),
    policies=POLICY_NAMES,
    runs: int = 5,
    workers: int = 1,
    hedge: bool = True,
) -> None:
    """Execute all runs, round by round; append each result to a file.

    Runs whose results are already in the file are skipped.

    Args:
        site: dundee or addis.
        out: File that gets one JSON line for each run.
        scenarios: Scenarios, separated by commas.
        policies: Policies, separated by commas.
        runs: Number of runs of each scenario and policy.
        workers: Number of concurrent fleets.
        hedge: Whether the event document allows hedged requests.
    """
    jobs = [
        Job(site, scenario, policy, number, hedge)
        for number, scenario, policy in itertools.product(
            range(1, runs + 1), split_names(scenarios), split_names(policies)
        )
    ]
    path = pathlib.Path(out)
    path.parent.mkdir(parents=True, exist_ok=True)
    done = completed_jobs(path)
    jobs = [job for job in jobs if job not in done]
    exit_on_sigterm()
    pool = multiprocessing.Pool(workers, initializer=exit_on_sigterm)
    with pool, path.open('a') as file:
        for result in pool.imap_unordered(run_job, jobs, chunksize=1):
            if result is not None:
                file.write(json.dumps(result) + '\n')
                file.flush()


def completed_jobs(path: pathlib.Path) -> set[Job]:
    """Return the jobs with results in a file, without late senders."""
    if not path.exists():
        return set()
    names = [field.name for field in dataclasses.fields(Job)]
    return {
        Job(**{name: row[name] for name in names})
        for rows in load_results(str(path)).values()
        for row in rows
    }


def load_results(path: str) -> dict[tuple[str, str], list[dict]]:
    """Return rows by scenario and policy, without late senders."""
    found: dict[tuple[str, str], list[dict]] = {}
    for line in pathlib.Path(path).read_text().splitlines():
        row = json.loads(line)
        if row['late_p99'] > MAX_SENDER_LATENESS_MS:
            continue
        found.setdefault((row['scenario'], row['policy']), []).append(row)
    return found


def table(results: str) -> None:
    """Print the medians of all runs as a Markdown table.

    Args:
        results: File that ``run`` wrote.
    """
    output = sys.stdout.write
    output(
        '| scenario | policy | runs | p50 ms | p99 ms (least to most) '
        '| p99.9 ms | failed | probes a call | doubled | lost |\n'
    )
    output('|---|---|---|---|---|---|---|---|---|---|\n')
    for (scenario, policy), rows in load_results(results).items():
        output(f'| {scenario} | {policy} | {len(rows)} | {describe(rows)} |\n')


def describe(rows: list[dict]) -> str:
    """Return the table cells for one scenario and policy."""
    p99 = [row['p99'] for row in rows]

    def median(name: str) -> float:
        return statistics.median(row[name] for row in rows)

    sent = sum(row['sent'] for row in rows)
    failed = sum(row['failed'] for row in rows)
    probes = sum(row['probes'] for row in rows)
    doubled = sum(row['doubled'] for row in rows)
    lost = [row['lost'] for row in rows if row['lost'] is not None]
    cells = (
        f'{median("p50"):.1f}',
        f'{median("p99"):.1f} ({min(p99):.1f} to {max(p99):.1f})',
        f'{median("p999"):.1f}',
        f'{failed} of {sent}',
        f'{probes / sent:.3f}',
        str(doubled),
        str(sum(lost)) if lost else 'not known',
    )
    return ' | '.join(cells)


if __name__ == '__main__':
    fire.Fire({'run': run, 'table': table})
