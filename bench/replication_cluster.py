"""A cluster of replica processes on loopback, for benchmarks and tests."""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

SECONDS = 20.0


class Instance:
    """One replica process and its command connection."""

    def __init__(self, name: str, folder: pathlib.Path, bootstrap: bool):
        self.name = name
        self.folder = folder
        self.sock: socket.socket | None = None
        self.started: dict = {}
        self.spawn(bootstrap)

    def spawn(self, bootstrap: bool = False) -> None:
        flag = 'yes' if bootstrap else 'no'
        arguments = ['bench.replication_node', self.name, self.folder, flag]
        self.process = subprocess.Popen(
            [sys.executable, '-m', *map(str, arguments)],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
        )

    def connect(self) -> None:
        """Wait until the process listens, then connect to it."""
        line = self.process.stdout.readline().split()
        self.peer_port, port = int(line[0]), int(line[1])
        self.sock = socket.create_connection(('127.0.0.1', port), SECONDS)
        self.lines = self.sock.makefile()

    def ask(self, *words) -> dict:
        """Send one command and return its answer."""
        self.sock.sendall(' '.join(map(str, words)).encode() + b'\n')
        return json.loads(self.lines.readline())

    def send_signal(self, number: signal.Signals) -> None:
        os.kill(self.process.pid, number)

    def kill(self) -> None:
        self.process.kill()
        self.process.wait()
        self.process.stdin.close()
        self.process.stdout.close()
        if self.sock is not None:
            self.lines.close()
            self.sock.close()


class Processes:
    """A cluster of replica processes; a context manager."""

    def __init__(self, folder: pathlib.Path, names):
        self.folder = folder
        self.instances = {
            name: Instance(name, folder / name, True) for name in names
        }

    def __enter__(self) -> 'Processes':
        for instance in self.instances.values():
            instance.connect()
        self.send_peer_ports()
        for instance in self.instances.values():
            instance.ask('start')
        return self

    def __exit__(self, *_error) -> None:
        for instance in self.instances.values():
            if instance.process.poll() is None:
                instance.kill()

    def running(self) -> list[Instance]:
        return [i for i in self.instances.values() if i.process.poll() is None]

    def send_peer_ports(self) -> None:
        for instance in self.running():
            ports = {
                other.name: other.peer_port
                for other in self.instances.values()
                if other is not instance
            }
            instance.ask('peers', json.dumps(ports, separators=(',', ':')))

    def restart(self, name: str, bootstrap: bool = False) -> Instance:
        instance = self.instances[name]
        instance.spawn(bootstrap)
        instance.connect()
        self.send_peer_ports()
        instance.started = instance.ask('start')
        return instance

    def wait_for(self, condition, seconds: float = SECONDS):
        """Return the first true value of ``condition``."""
        end = time.monotonic() + seconds
        while time.monotonic() < end:
            found = condition()
            if found:
                return found
            time.sleep(0.02)
        raise AssertionError('the condition was not met in time')

    def leader(self, without: str = '') -> Instance:
        """Wait for an instance whose leadership a confirmed read proves."""

        def find() -> Instance | None:
            for instance in self.running():
                if instance.name != without:
                    if 'answer' in instance.ask('read'):
                        return instance
            return None

        return self.wait_for(find)

    def propose(self, text: str, without: str = '') -> dict:
        """Propose to the current leader, again until it is committed."""
        return self.wait_for(
            lambda: self.try_propose(self.leader(without), text)
        )

    def try_propose(self, leader: Instance, text: str) -> dict | None:
        answer = leader.ask('propose', text)
        return answer if 'answer' in answer else None
