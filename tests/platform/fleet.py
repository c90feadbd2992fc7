"""Harness: programs of the adapter as processes on loopback."""

import http.client
import json
import pathlib
import signal
import subprocess
import sys
import time
from typing import NamedTuple

from tests.platform.builders import as_body
from tests.platform.builders import configuration
from tests.platform.builders import free_ports
from tests.platform.builders import random_host
from tests.platform.builders import ROOT
from tests.platform.builders import settings_lines

WAIT_SECONDS = 30.0
# Timeout of a request from an operator.
REQUEST_TIMEOUT_SECONDS = 1.0
REPLACE = '/v1/Config.Replace'
PATCH = '/v1/Config.Patch'
GET = '/v1/Config.Get'
EVACUATE = '/v1/Evacuate.Start/'
TAKE_BACK = '/v1/Evacuate.Finish/'


class Answer(NamedTuple):
    """An answer to an operator; status 0 stands for a timeout."""

    status: int
    value: dict
    location: str = ''


class Fleet:
    """Control instances and daemons; ``close`` kills those running."""

    def __init__(self, folder: pathlib.Path, control: int, daemons: int):
        self.folder = folder
        # Ports are drawn before the processes bind them, so each may be drawn
        # only once: all hosts share those for control and between daemons.
        self.drawn_ports: set[int] = set()
        host = random_host()
        self.control_port, inner = self.draw_ports(host, 2)
        self.drawn_ports.add(inner + 1)
        self.inner = f'{inner},{inner + 1}'
        self.control = [random_host() for _ in range(control)]
        self.daemons = [random_host() for _ in range(daemons)]
        # Where a daemon takes calls, and where its target listens.
        self.entries: dict[str, str] = {}
        self.targets: dict[str, str] = {}
        for host in (*self.control, *self.daemons):
            entry, app = self.draw_ports(host, 2)
            self.entries[host] = f'{host}:{entry}'
            self.targets[host] = f'{host}:{app}'
        self.processes: dict[str, subprocess.Popen] = {}
        for host in self.control:
            self.start(host, 'control')
        for host in self.daemons:
            self.start(host, 'daemon')

    def draw_ports(self, host: str, count: int) -> list[int]:
        """Return unused ports that were not drawn before."""
        while True:
            ports = free_ports(host, count)
            if self.drawn_ports.isdisjoint(ports):
                self.drawn_ports.update(ports)
                return ports

    def settings(self, host: str) -> str:
        """Return the settings file of the instance on ``host``."""
        (ready,) = self.draw_ports(host, 1)
        port = self.control_port
        seeds = [f'{seed}:{port}' for seed in self.control[:3]]
        return settings_lines(
            **{
                'ip': host,
                'listen.outbound': self.entries[host],
                'listen.ready': f'{host}:{ready}',
                'listen.control': f'{host}:{port}',
                'internal_ports': self.inner,
                'seeds': ','.join(seeds),
                'fault_tolerance.machines': str(len(self.control) // 2),
                'app_addr': self.targets[host],
                'data_dir': str(self.folder / host),
            }
        )

    def start(self, host: str, kind: str) -> None:
        path = self.folder / f'{host}.conf'
        path.write_text(self.settings(host))
        with open(self.folder / f'{host}.log', 'ab') as log:
            self.processes[host] = subprocess.Popen(
                [sys.executable, '-m', 'cyclamenlift.platform', kind],
                cwd=ROOT,
                env={'CYCLAMENLIFT_BOOT': str(path)},
                stdout=log,
                stderr=log,
            )

    def log(self, host: str) -> str:
        return (self.folder / f'{host}.log').read_text()

    def freeze(self, host: str) -> None:
        self.processes[host].send_signal(signal.SIGSTOP)

    def thaw(self, host: str) -> None:
        self.processes[host].send_signal(signal.SIGCONT)

    def kill(self, host: str) -> None:
        self.processes[host].kill()
        self.processes[host].wait()

    def ask(
        self,
        host: str,
        path: str,
        body: bytes = b'',
        base: int | None = None,
        seconds: float = REQUEST_TIMEOUT_SECONDS,
    ) -> Answer:
        """Send an order, or a read if ``base`` is None; follow no redirect."""
        headers = {} if base is None else {'Base-Version': str(base)}
        method = 'GET' if base is None else 'POST'
        connection = http.client.HTTPConnection(
            host, self.control_port, timeout=seconds
        )
        try:
            connection.request(method, path, body, headers)
            answer = connection.getresponse()
            value = json.loads(answer.read() or b'{}')
        except (OSError, http.client.HTTPException):
            return Answer(0, {})
        finally:
            connection.close()
        location = answer.headers.get('Location', '')
        return Answer(answer.status, value, location)

    def ask_until(
        self,
        host: str,
        path: str,
        body: bytes,
        base: int,
        patience: float = REQUEST_TIMEOUT_SECONDS,
    ) -> float:
        """Repeat an order until it is accepted; return the seconds taken.

        ``patience`` is how long each answer is waited for, in seconds.
        """
        began = time.monotonic()
        while True:
            answer = self.ask(host, path, body, base, patience)
            seconds = time.monotonic() - began
            if answer.status == 200:
                return seconds
            assert seconds < WAIT_SECONDS, self.log(host)[-2000:]
            time.sleep(0.05)

    def publish_first(self) -> str:
        """Publish the first configuration and return the leader's host."""
        body = as_body(configuration(version=1))
        deadline = time.monotonic() + WAIT_SECONDS
        while time.monotonic() < deadline:
            for host in self.control:
                answer = self.ask(host, REPLACE, body, 0)
                if answer.status == 200 and self.is_leader(host):
                    return host
            time.sleep(0.05)
        raise AssertionError(self.log(self.control[0])[-2000:])

    def wait_until_served(self, call) -> None:
        """Wait until ``call`` of each entry's address returns 200."""
        deadline = time.monotonic() + WAIT_SECONDS
        for host in self.daemons:
            while call(self.entries[host]) != 200:
                assert time.monotonic() < deadline, self.log(host)[-2000:]
                time.sleep(0.05)

    def is_leader(self, host: str) -> bool:
        """Whether an instance answers reads itself, without a redirect."""
        return self.ask(host, GET).status == 200

    def close(self) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
