"""Harness: control instances as processes on the loopback interface."""

import json
import signal
import subprocess
import sys
import time

from cyclamenlift.cli.admin import request
from cyclamenlift.cli.publishing import LeaderCall
from cyclamenlift.core.streams import Address
from cyclamenlift.standins.fleet import free_address
from cyclamenlift.standins.fleet import http_request
from tests.models.builders import document_value

NAMES = ('a', 'b', 'c')
WAIT_SECONDS = 30.0
PROGRAM = 'from cyclamenlift.cli import main; main()'
TEXT = json.dumps(document_value(ends_at='2036-01-01T00:00:00Z'))


class Clock:
    now = staticmethod(time.monotonic)
    sleep = staticmethod(time.sleep)


def wait_until(condition, seconds: float = WAIT_SECONDS):
    """Poll ``condition`` and return its first true value."""
    deadline = time.monotonic() + seconds
    while True:
        found = condition()
        if found:
            return found
        assert time.monotonic() < deadline, 'timed out waiting for a condition'
        time.sleep(0.02)


def change(change_id: str, base: int, text: str = TEXT) -> dict:
    return {'change_id': change_id, 'base_version': base, 'document': text}


class ControlCluster:
    """Three control processes; ``close`` kills those still running."""

    def __init__(self, folder, **flags):
        self.folder = folder
        self.flags = flags
        self.peers = {name: Address.parse(free_address()) for name in NAMES}
        self.admins = {name: Address.parse(free_address()) for name in NAMES}
        self.processes: dict[str, subprocess.Popen] = {}
        for name in NAMES:
            self.start(name)

    @property
    def consoles(self) -> list[Address]:
        return list(self.admins.values())

    @property
    def peer_addresses(self) -> list[Address]:
        return list(self.peers.values())

    def arguments(self, name: str) -> list[str]:
        listed = [f'{n}={p}' for n, p in self.peers.items()]
        flags = {
            'instance': name,
            'data_centre': 'bole',
            'data': self.folder / name,
            'peers': ','.join(listed),
            'peer_listen': str(self.peers[name]),
            'admin_listen': str(self.admins[name]),
            'bootstrap': 'true',
            'election_ms': 300,
            'heartbeat_ms': 50,
            **self.flags,
        }
        return [f'--{key}={value}' for key, value in flags.items()]

    def start(self, name: str) -> None:
        with open(self.folder / f'{name}.log', 'ab') as log:
            self.processes[name] = subprocess.Popen(
                [sys.executable, '-c', PROGRAM, 'control']
                + self.arguments(name),
                stdout=log,
                stderr=log,
            )

    def signal(self, name: str, number: int) -> None:
        self.processes[name].send_signal(number)

    def kill(self, name: str) -> None:
        self.signal(name, signal.SIGKILL)
        self.processes.pop(name).wait()

    def get(self, name: str, path: str) -> dict:
        """Return the answer of an instance, empty if there is none."""
        result = request(self.admins[name], 'GET', path)
        return result.value_or(None).value if result.value_or(None) else {}

    def text(self, name: str) -> str:
        """Return the metrics page of an instance."""
        _, _, body = http_request(str(self.admins[name]), 'GET', '/metrics')
        return body.decode()

    def post(self, name: str, body: dict) -> int:
        result = request(self.admins[name], 'POST', '/api/publish', body)
        answer = result.value_or(None)
        return answer.code if answer else 0

    def leader(self) -> str:
        """Wait until an instance confirms a read and return its name."""

        def find():
            for name, process in self.processes.items():
                assert process.poll() is None, self.log(name)
                if self.get(name, '/api/document').get('confirmed'):
                    return name
            return ''

        return wait_until(find)

    def log(self, name: str) -> str:
        return (self.folder / f'{name}.log').read_text()[-2000:]

    def publish(self, body: dict, seconds: float = WAIT_SECONDS) -> dict:
        """Publish like the command line and return the final answer."""
        call = LeaderCall(self.consoles, request, Clock(), '')
        deadline = time.monotonic() + seconds
        return call.post('/api/publish', body, deadline).unwrap().value

    def close(self) -> None:
        for process in self.processes.values():
            process.send_signal(signal.SIGCONT)
            process.kill()
            process.wait()
