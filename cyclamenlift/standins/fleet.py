"""Starts real processes on loopback for the demo, tests and benches.

Every process is started, watched and ended by its own handle. Addresses lie
on a loopback number made from this process's id, so that fleets of several
runs, and other programs, never meet.
"""

from collections.abc import Iterator
import contextlib
import dataclasses
import http.client
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import tempfile
import time

from cyclamenlift.core.streams import Address
from cyclamenlift.standins.paths import ANYBODY
from cyclamenlift.standins.paths import DirectPaths
from cyclamenlift.standins.paths import Paths

START_SECONDS = 20.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
# Below the range from which the system takes ports by itself (32768 on), and
# above those of well-known services. Each is given once in a process.
FIXED_PORTS = iter(range(10_000, 32_000))


class FleetError(Exception):
    """A process did not start, or a condition did not come true."""


def random_host() -> str:
    """Return a loopback number that belongs to this process alone."""
    pid = os.getpid()
    return f'127.{100 + (pid >> 16) % 100}.{(pid >> 8) & 255}.{pid & 255}'


def free_port(kind: int = socket.SOCK_STREAM) -> str:
    """Return ``host:port`` that is free, each once.

    Its process may bind it seconds later. So it lies below the ports that
    the system hands out by itself: relays, probes and outgoing connections
    on our host number have those and must not take it meanwhile.
    """
    for port in FIXED_PORTS:
        address = Address(random_host(), port)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(tuple(address))
            except OSError:
                continue
        return str(address)
    raise FleetError('no port is left')


def wait_until(condition, seconds: float, what: str):
    """Return the first true value of ``condition``; raise FleetError."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise FleetError(f'not within {seconds:g} s: {what}')


def ask(
    address: str, method: str, path: str, body: bytes = b'', headers=None
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request; return status, headers and body."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        fields = {k.lower(): v for k, v in answer.getheaders()}
        return answer.status, fields, answer.read()
    finally:
        connection.close()


def ask_json(address: str, path: str, method: str = 'GET', value=None):
    """Send one request and return its JSON, None if nobody answers."""
    body = b'' if value is None else json.dumps(value).encode()
    headers = {'Content-Type': 'application/json'}
    try:
        _status, _headers, data = ask(address, method, path, body, headers)
        return json.loads(data)
    except (OSError, ValueError, http.client.HTTPException):
        return None


@dataclasses.dataclass(slots=True)
class Running:
    """One process that a fleet started."""

    name: str
    process: subprocess.Popen
    log: pathlib.Path

    def alive(self) -> bool:
        return self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to exactly this process."""
        if self.alive():
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        self.process.wait(STOP_SECONDS)

    def stop(self, seconds: float = STOP_SECONDS) -> int:
        """Ask it to end; return its exit status."""
        self.send_signal(signal.SIGTERM)
        return self.process.wait(seconds)


@dataclasses.dataclass(slots=True)
class TargetHandle:
    """A stand-in target."""

    running: Running
    address: str
    service: str
    slots: int

    def counters(self) -> dict:
        """Return what the target counted by itself."""
        value = ask_json(self.address, '/_standin/counters?keys=1')
        if value is None:
            raise FleetError(f'{self.running.name} does not count')
        return value

    def fault(self, **faults) -> None:
        """Switch faults on; those not named are off."""
        ask_json(self.address, '/_standin/fault', 'POST', faults)


@dataclasses.dataclass(slots=True)
class DaemonHandle:
    """A daemon with its addresses."""

    running: Running
    entry: str
    peer: str
    admin: str
    gossip: str
    arguments: list[str]

    def status(self) -> dict | None:
        return ask_json(self.admin, '/api/status')


@dataclasses.dataclass(slots=True)
class ControlHandle:
    """A control instance with its addresses."""

    running: Running
    name: str
    peer: str
    admin: str
    data: pathlib.Path
    arguments: list[str]

    def status(self) -> dict | None:
        return ask_json(self.admin, '/api/status')


class Fleet:
    """Processes of one run; ``close`` ends every one of them."""

    def __init__(
        self,
        folder: pathlib.Path,
        log_level: str = 'info',
        paths: Paths | None = None,
    ):
        self.folder = folder
        self.log_level = log_level
        self.paths = paths or DirectPaths()
        self.processes: list[Running] = []
        self.targets: list[TargetHandle] = []
        self.daemons: list[DaemonHandle] = []
        self.controls: list[ControlHandle] = []
        self.seeds: list[str] = []

    # -- starting -----------------------------------------------------------

    def start(self, name: str, arguments: list[str]) -> Running:
        """Start ``python -m ...``; its output goes to a file."""
        log = self.folder / f'{name}.log'
        environment = {
            k: v
            for k, v in os.environ.items()
            if not k.startswith('CYCLAMENLIFT_')
        }
        with log.open('ab') as out:
            process = subprocess.Popen(
                [sys.executable, '-m', *arguments],
                stdin=subprocess.DEVNULL,
                stdout=out,
                stderr=out,
                env=environment,
            )
        running = Running(name, process, log)
        self.processes.append(running)
        return running

    def start_target(
        self, name: str, service: str, slots: int, **options
    ) -> TargetHandle:
        """Start a stand-in target and wait until it listens."""
        arguments = [
            'cyclamenlift.standins.target',
            f'--host={random_host()}',
            f'--name={name}',
            f'--slots={slots}',
        ]
        arguments += [f'--{k}={v}' for k, v in options.items()]
        running = self.start(f'target-{name}', arguments)
        line = wait_until(
            lambda: self.first_json(running), START_SECONDS, f'target {name}'
        )
        target = TargetHandle(running, line['address'], service, slots)
        self.targets.append(target)
        return target

    def first_json(self, running: Running) -> dict | None:
        """Return the first JSON line with an address that it printed."""
        if not running.alive():
            raise FleetError(f'{running.name}: {running.log.read_text()}')
        for line in running.log.read_text().splitlines():
            with contextlib.suppress(ValueError):
                value = json.loads(line)
                if isinstance(value, dict) and 'address' in value:
                    return value
        return None

    def start_controls(self, count: int, **options) -> list[ControlHandle]:
        """Start the control instances of a new cluster."""
        names = [f'control-{n}' for n in range(1, count + 1)]
        peers = {name: free_port() for name in names}
        for name, address in peers.items():
            data = self.folder / name
            admin = free_port()
            arguments = [
                'cyclamenlift',
                'control',
                f'--instance={name}',
                '--data_centre=dc-a',
                f'--data={data}',
                f'--peers={self.peers_of(name, peers)}',
                f'--peer_listen={address}',
                f'--admin_listen={admin}',
                f'--log_level={self.log_level}',
            ]
            arguments += [f'--{k}={v}' for k, v in options.items()]
            running = self.start(name, [*arguments, '--bootstrap=True'])
            self.controls.append(
                ControlHandle(running, name, address, admin, data, arguments)
            )
        return self.controls

    def peers_of(self, name: str, peers: dict[str, str]) -> str:
        """Return the list for one control instance: its paths to others."""
        told = [
            f'{other}={address}'
            if other == name
            else f'{other}={self.paths.tcp(name, other, address)}'
            for other, address in peers.items()
        ]
        return ','.join(told)

    def start_daemon(
        self,
        name: str,
        data_centre: str,
        target: TargetHandle | None = None,
        **options,
    ) -> DaemonHandle:
        """Start a daemon beside ``target``, or an entry without one."""
        entry, peer, admin = free_port(), free_port(), free_port()
        gossip = free_port(socket.SOCK_DGRAM)
        arguments = [
            'cyclamenlift',
            'daemon',
            f'--instance={name}',
            f'--data_centre={data_centre}',
            f'--entry_listen={entry}',
            f'--peer_listen={peer}',
            f'--admin_listen={admin}',
            f'--gossip_listen={gossip}',
            f'--log_level={self.log_level}',
        ]
        if self.controls:
            addresses = ','.join(
                self.paths.tcp(name, c.name, c.peer) for c in self.controls
            )
            arguments.append(f'--control={addresses}')
        if self.seeds:
            arguments.append(f'--seeds={",".join(self.seeds[:3])}')
        if target is not None:
            arguments.append(f'--service={target.service}')
            arguments.append(f'--target={target.address}')
            arguments.append(f'--slots={target.slots}')
        told_peer = self.paths.tcp(ANYBODY, name, peer)
        told_gossip = self.paths.udp(name, gossip)
        if told_peer != peer:
            arguments.append(f'--advertise_peer={told_peer}')
        if told_gossip != gossip:
            arguments.append(f'--advertise_gossip={told_gossip}')
        arguments += [f'--{k}={v}' for k, v in options.items()]
        running = self.start(name, arguments)
        self.seeds.append(told_gossip)
        daemon = DaemonHandle(running, entry, peer, admin, gossip, arguments)
        self.daemons.append(daemon)
        return daemon

    def restart(self, handle: ControlHandle | DaemonHandle) -> None:
        """Start a process that has ended again, with its old settings."""
        handle.running = self.start(handle.running.name, handle.arguments)

    # -- waiting and ending -------------------------------------------------

    def command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run one command of the command line to its end."""
        return subprocess.run(
            [sys.executable, '-m', 'cyclamenlift', *arguments],
            capture_output=True,
            text=True,
            timeout=60,
            check=False,
        )

    def consoles(self) -> str:
        """Return the admin addresses of the control instances."""
        return ','.join(c.admin for c in self.controls)

    def wait_in_force(
        self, version: int, members: int, seconds: float = 30.0
    ) -> None:
        """Wait until every living daemon has the version and the members."""

        def ready() -> bool:
            return all(
                has_version(daemon.status(), version, members)
                for daemon in self.daemons
                if daemon.running.alive()
            )

        wait_until(ready, seconds, f'version {version} in force everywhere')

    def close(self) -> None:
        """End every process that was started, by its own handle."""
        for running in self.processes:
            running.send_signal(signal.SIGCONT)
            running.send_signal(signal.SIGKILL)
        for running in self.processes:
            running.process.wait(STOP_SECONDS)


def has_version(status: dict | None, version: int, members: int) -> bool:
    if status is None:
        return False
    enough = status['config_version'] >= version
    return enough and status['members'] >= members


@contextlib.contextmanager
def temporary_fleet(log_level: str = 'info') -> Iterator[Fleet]:
    """Give a fleet in a folder of its own and end it afterwards."""
    with tempfile.TemporaryDirectory(prefix='cyclamenlift-') as name:
        fleet = Fleet(pathlib.Path(name), log_level)
        try:
            yield fleet
        finally:
            fleet.close()
