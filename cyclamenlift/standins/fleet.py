"""Starts real processes on loopback for the demo, tests and benchmarks.

Every process is started, monitored and stopped through its own handle. The
loopback IP address is derived from the id of this process, so that fleets of
concurrent runs and other programs do not interfere.
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
from cyclamenlift.standins.paths import ANY_SOURCE
from cyclamenlift.standins.paths import DirectPaths
from cyclamenlift.standins.paths import Paths

START_SECONDS = 20.0
STOP_SECONDS = 10.0
POLL_SECONDS = 0.05
# Below the ephemeral port range of the system (from 32768) and above the
# ports of well-known services. Each port is used once per process.
FREE_PORTS = iter(range(10_000, 32_000))


class FleetError(Exception):
    """A process did not start, or a condition did not become true."""


def own_loopback_ip() -> str:
    """Return the loopback IP address that is unique to this process."""
    pid = os.getpid()
    return f'127.{100 + (pid >> 16) % 100}.{(pid >> 8) & 255}.{pid & 255}'


def free_address(kind: int = socket.SOCK_STREAM) -> str:
    """Return a free ``host:port``; each port is returned once.

    A started process may bind the port seconds later. Therefore the port is
    below the ephemeral range: relays, probes and outgoing connections on the
    same IP address use ephemeral ports and cannot take it in the meantime.
    """
    for port in FREE_PORTS:
        address = Address(own_loopback_ip(), port)
        with socket.socket(socket.AF_INET, kind) as probe:
            try:
                probe.bind(tuple(address))
            except OSError:
                continue
        return str(address)
    raise FleetError('no free port left')


def wait_until(condition, seconds: float, description: str):
    """Return the first true value of ``condition`` or raise FleetError."""
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        value = condition()
        if value:
            return value
        time.sleep(POLL_SECONDS)
    raise FleetError(f'not within {seconds:g} s: {description}')


def http_request(
    address: str, method: str, path: str, body: bytes = b'', headers=None
) -> tuple[int, dict[str, str], bytes]:
    """Send one HTTP request; return its status, headers and body."""
    host, _, port = address.rpartition(':')
    connection = http.client.HTTPConnection(host, int(port), timeout=10)
    try:
        connection.request(method, path, body or None, headers or {})
        answer = connection.getresponse()
        fields = {k.lower(): v for k, v in answer.getheaders()}
        return answer.status, fields, answer.read()
    finally:
        connection.close()


def request_json(address: str, path: str, method: str = 'GET', value=None):
    """Send one request; return its JSON, None if there is no response."""
    body = b'' if value is None else json.dumps(value).encode()
    headers = {'Content-Type': 'application/json'}
    try:
        _status, _headers, data = http_request(
            address, method, path, body, headers
        )
        return json.loads(data)
    except (OSError, ValueError, http.client.HTTPException):
        return None


@dataclasses.dataclass(slots=True)
class ProcessHandle:
    """Handle of one process that a fleet started."""

    name: str
    process: subprocess.Popen
    log: pathlib.Path

    def alive(self) -> bool:
        return self.process.poll() is None

    def send_signal(self, number: int) -> None:
        """Send a signal to this process, if it still runs."""
        if self.alive():
            self.process.send_signal(number)

    def kill(self) -> None:
        self.send_signal(signal.SIGKILL)
        self.process.wait(STOP_SECONDS)

    def stop(self, seconds: float = STOP_SECONDS) -> int:
        """Send SIGTERM and return the exit status."""
        self.send_signal(signal.SIGTERM)
        return self.process.wait(seconds)


@dataclasses.dataclass(slots=True)
class TargetHandle:
    """A stand-in target with its address."""

    running: ProcessHandle
    address: str
    service: str
    slots: int

    def counters(self) -> dict:
        """Return the counters of the target."""
        value = request_json(self.address, '/_standin/counters?keys=1')
        if value is None:
            raise FleetError(
                f'{self.running.name} does not return its counters'
            )
        return value

    def set_faults(self, **faults) -> None:
        """Set the active faults; those not named are off."""
        request_json(self.address, '/_standin/fault', 'POST', faults)


@dataclasses.dataclass(slots=True)
class DaemonHandle:
    """A daemon with its addresses."""

    running: ProcessHandle
    entry: str
    peer: str
    admin: str
    gossip: str
    arguments: list[str]

    def status(self) -> dict | None:
        return request_json(self.admin, '/api/status')


@dataclasses.dataclass(slots=True)
class ControlHandle:
    """A control instance with its addresses."""

    running: ProcessHandle
    name: str
    peer: str
    admin: str
    data: pathlib.Path
    arguments: list[str]

    def status(self) -> dict | None:
        return request_json(self.admin, '/api/status')


class Fleet:
    """All processes of one run; ``close`` ends every one of them."""

    def __init__(
        self,
        folder: pathlib.Path,
        log_level: str = 'info',
        paths: Paths | None = None,
    ):
        self.folder = folder
        self.log_level = log_level
        self.paths = paths or DirectPaths()
        self.processes: list[ProcessHandle] = []
        self.targets: list[TargetHandle] = []
        self.daemons: list[DaemonHandle] = []
        self.controls: list[ControlHandle] = []
        self.seeds: list[str] = []

    # -- starting -----------------------------------------------------------

    def start(self, name: str, arguments: list[str]) -> ProcessHandle:
        """Start ``python -m ...`` with its output in a log file."""
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
        running = ProcessHandle(name, process, log)
        self.processes.append(running)
        return running

    def start_target(
        self, name: str, service: str, slots: int, **options
    ) -> TargetHandle:
        """Start a stand-in target and wait until it listens."""
        arguments = [
            'cyclamenlift.standins.target',
            f'--host={own_loopback_ip()}',
            f'--name={name}',
            f'--slots={slots}',
        ]
        arguments += [f'--{k}={v}' for k, v in options.items()]
        running = self.start(f'target-{name}', arguments)
        line = wait_until(
            lambda: self.read_address_line(running),
            START_SECONDS,
            f'target {name}',
        )
        target = TargetHandle(running, line['address'], service, slots)
        self.targets.append(target)
        return target

    def read_address_line(self, running: ProcessHandle) -> dict | None:
        """Return the first printed JSON line that has an address."""
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
        peers = {name: free_address() for name in names}
        for name, address in peers.items():
            data = self.folder / name
            admin = free_address()
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
        """Return the ``--peers`` value of one control instance."""
        reachable = [
            f'{other}={address}'
            if other == name
            else f'{other}={self.paths.tcp(name, other, address)}'
            for other, address in peers.items()
        ]
        return ','.join(reachable)

    def start_daemon(
        self,
        name: str,
        data_centre: str,
        target: TargetHandle | None = None,
        **options,
    ) -> DaemonHandle:
        """Start a daemon for ``target``, or an entry without a target."""
        entry, peer, admin = free_address(), free_address(), free_address()
        gossip = free_address(socket.SOCK_DGRAM)
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
        peer_address = self.paths.tcp(ANY_SOURCE, name, peer)
        gossip_address = self.paths.udp(name, gossip)
        if peer_address != peer:
            arguments.append(f'--advertise_peer={peer_address}')
        if gossip_address != gossip:
            arguments.append(f'--advertise_gossip={gossip_address}')
        arguments += [f'--{k}={v}' for k, v in options.items()]
        running = self.start(name, arguments)
        self.seeds.append(gossip_address)
        daemon = DaemonHandle(running, entry, peer, admin, gossip, arguments)
        self.daemons.append(daemon)
        return daemon

    def restart(self, handle: ControlHandle | DaemonHandle) -> None:
        """Start an ended process again with the same arguments."""
        handle.running = self.start(handle.running.name, handle.arguments)

    # -- commands, waiting and stopping ------------------------------------

    def command(self, *arguments: str) -> subprocess.CompletedProcess:
        """Run one ``cyclamenlift`` command to its end."""
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

    def wait_for_version(
        self, version: int, members: int, seconds: float = 30.0
    ) -> None:
        """Wait until every running daemon has the version and the members."""

        def ready() -> bool:
            return all(
                has_version(daemon.status(), version, members)
                for daemon in self.daemons
                if daemon.running.alive()
            )

        wait_until(ready, seconds, f'version {version} in force everywhere')

    def close(self) -> None:
        """Kill every process that was started, by its own handle."""
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
    """Yield a fleet in a temporary folder and close it afterwards."""
    with tempfile.TemporaryDirectory(prefix='cyclamenlift-') as name:
        fleet = Fleet(pathlib.Path(name), log_level)
        try:
            yield fleet
        finally:
            fleet.close()
