"""A replica in a process of its own, controlled by commands over TCP.

Usage: ``python -m bench.replication_node INSTANCE FOLDER BOOTSTRAP``. Prints
its two ports, for peers and for commands, and exits when its standard input
is closed.
"""

from collections import deque
import dataclasses
import json
import pathlib
import random
import sys
import threading

from returns.result import Success

from cyclamenlift.core.logs import configure_logs
from cyclamenlift.core.streams import Address
from cyclamenlift.core.streams import StreamOwner
from cyclamenlift.core.tasks import build_root
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.tasks import Replica
from cyclamenlift.wire.tasks import PeerNetwork

COMMAND = b'x' * 200
MAX_KEPT_COMMANDS = 500
ANY_PORT = Address('127.0.0.1', 0)


class CountMachine:
    """State machine that counts commands and keeps only the last ones."""

    def __init__(self):
        self.count = 0
        self.commands: deque[str] = deque(maxlen=MAX_KEPT_COMMANDS)

    def apply(self, index: int, stamp_unix_ms: int, command: bytes) -> bytes:
        self.count += 1
        self.commands.append(command.decode())
        return b'%d' % self.count

    def snapshot(self) -> bytes:
        return json.dumps([self.count, list(self.commands)]).encode()

    def restore(self, data: bytes) -> None:
        self.count, commands = json.loads(data)
        self.commands = deque(commands, MAX_KEPT_COMMANDS)


class ProposalLoad:
    """Keeps a number of proposals outstanding until a deadline."""

    def __init__(self, loop, replica, concurrency, seconds, finish):
        self.clock = loop.scheduler.clock
        self.replica = replica
        self.finish = finish
        self.waiting = concurrency
        self.started_at = self.clock.now()
        self.deadline = self.started_at + seconds
        self.seconds: list[float] = []
        self.failed = 0
        for _ in range(concurrency):
            self.propose()

    def propose(self) -> None:
        sent_at = self.clock.now()
        self.replica.propose(COMMAND, lambda r: self.on_result(sent_at, r))

    def on_result(self, sent_at, result) -> None:
        now = self.clock.now()
        if isinstance(result, Success):
            self.seconds.append(now - sent_at)
        else:
            self.failed += 1
        if now < self.deadline and not self.failed:
            self.propose()
            return
        self.waiting -= 1
        if not self.waiting:
            self.finish(self.report(now))

    def report(self, now) -> dict:
        ordered = sorted(self.seconds)
        return {
            'commits': len(ordered),
            'failed': self.failed,
            'per_second': len(ordered) / (now - self.started_at),
            'p50_ms': 1000 * ordered[len(ordered) // 2],
            'p99_ms': 1000 * ordered[len(ordered) * 99 // 100],
        }


class CommandServer(StreamOwner):
    """Executes one command per line and answers with a line of JSON."""

    def __init__(self, loop, replica, machine):
        super().__init__(loop.poller, channel='runner')
        self.loop = loop
        self.replica = replica
        self.machine = machine

    def on_data(self, stream, data) -> None:
        for line in data.decode().splitlines():
            name, *arguments = line.split(' ')
            getattr(self, f'run_{name}')(stream, *arguments)

    def answer(self, stream, fields) -> None:
        stream.write(json.dumps(fields).encode() + b'\n')

    def answer_result(self, stream, result) -> None:
        if isinstance(result, Success):
            value = result.unwrap()
            text = value.decode() if isinstance(value, bytes) else value
            fields = {'answer': text, 'size': self.machine.count}
            self.answer(stream, fields)
            return
        problem = result.failure()
        fields = {'code': int(problem.code), 'where': problem.where}
        self.answer(stream, fields)

    def run_peers(self, stream, peers) -> None:
        for name, port in json.loads(peers).items():
            self.replica.settings.peers[name] = Address('127.0.0.1', port)
        self.answer(stream, {})

    def run_start(self, stream) -> None:
        """Start the replica and report how long that took."""
        clock = self.loop.scheduler.clock
        start_time = clock.now()
        started = self.replica.start()
        seconds = clock.now() - start_time
        fields = {'started': str(started), 'seconds': seconds}
        self.answer(stream, fields)

    def run_propose(self, stream, text) -> None:
        self.replica.propose(
            text.encode(), lambda r: self.answer_result(stream, r)
        )

    def run_read(self, stream) -> None:
        self.replica.read_barrier(lambda r: self.answer_result(stream, r))

    def run_replace(self, stream, name, storage_id) -> None:
        self.replica.replace_storage(
            name, storage_id, lambda r: self.answer_result(stream, r)
        )

    def run_status(self, stream) -> None:
        self.answer(stream, dataclasses.asdict(self.replica.status()))

    def run_load(self, stream, concurrency, seconds) -> None:
        """Keep a number of proposals outstanding for some seconds."""
        ProposalLoad(
            self.loop,
            self.replica,
            int(concurrency),
            float(seconds),
            lambda report: self.answer(stream, report),
        )

    def run_fill(self, stream, count) -> None:
        """Propose a number of changes at once and wait for all."""
        answers = []

        def done(result) -> None:
            answers.append(result)
            if len(answers) == int(count):
                self.answer_result(stream, result)

        for _ in range(int(count)):
            self.replica.propose(COMMAND, done)


def main(instance: str, folder: str, bootstrap: str) -> None:
    configure_logs('json', 'warning', instance)
    loop = build_root()
    network = PeerNetwork(loop.poller, instance, 'dc', 'test').register(loop)
    machine = CountMachine()
    settings = ReplicaSettings(
        instance, pathlib.Path(folder), {}, bootstrap=bootstrap == 'yes'
    )
    rng = random.Random(instance)
    replica = Replica(loop, network, settings, machine, rng)
    server = CommandServer(loop, replica, machine).register(loop)
    ports = [network.listen(ANY_PORT).port, server.listen(ANY_PORT).port]
    print(*ports, flush=True)
    threading.Thread(
        target=stop_at_end_of_input, args=(loop,), daemon=True
    ).start()
    loop.run()


def stop_at_end_of_input(loop) -> None:
    sys.stdin.read()
    loop.stop()


if __name__ == '__main__':
    main(*sys.argv[1:])
