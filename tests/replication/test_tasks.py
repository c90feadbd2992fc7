"""The replica as a component: answers, restart, a failing disk."""

import errno
import os
import random
import time

import pytest
from returns.result import Failure
from returns.result import Success
from structlog.testing import capture_logs

from bench.replication_node import CountMachine
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.scheduler import build_root
from cyclamenlift.core.streams import Address
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.tasks import MAX_COMMAND_BYTES
from cyclamenlift.replication.tasks import Replica
from cyclamenlift.wire.network import PeerNetwork

NOBODY = {'b': Address('127.0.0.1', 1)}
SECONDS = 10.0


class Alone:
    """One replica on a loop that the test turns."""

    def __init__(self, folder, peers=None, machine=None):
        self.loop = build_root()
        self.loop._running = True
        network = PeerNetwork(self.loop.poller, 'a', 'dc', 'test')
        network.register(self.loop)
        self.machine = machine or CountMachine()
        settings = ReplicaSettings(
            'a',
            folder,
            peers or {},
            election_ms=40,
            heartbeat_ms=10,
            snapshot_entries=10,
            bootstrap=True,
        )
        rng = random.Random(1)
        self.replica = Replica(self.loop, network, settings, self.machine, rng)
        assert self.replica.start() == Success(None)

    def turn_until(self, condition):
        end = time.monotonic() + SECONDS
        while not condition():
            assert time.monotonic() < end, 'not in time'
            self.loop.tick(0.01)

    def ask(self, command, *arguments):
        answers = []
        getattr(self.replica, command)(*arguments, answers.append)
        assert answers == [], 'never answered from inside the call'
        self.turn_until(lambda: answers)
        return answers[0]

    def lead(self):
        self.turn_until(lambda: self.replica.leads)
        return self


def test_commands_are_applied_and_survive_a_restart(tmp_path):
    first = Alone(tmp_path).lead()
    for number in range(1, 26):
        assert first.ask('propose', b'x') == Success(b'%d' % number)
    first.turn_until(lambda: first.replica.status().snapshot_index >= 10)
    first.replica.stop()
    second = Alone(tmp_path).lead()
    assert isinstance(second.ask('read_barrier'), Success)
    assert second.machine.count == 25
    second.replica.stop()


def test_command_over_the_limit_is_refused(tmp_path):
    alone = Alone(tmp_path).lead()
    answer = alone.ask('propose', b'x' * (MAX_COMMAND_BYTES + 1))
    assert answer.failure().code is ResultCode.BODY_TOO_LARGE
    assert alone.ask('propose', b'x' * MAX_COMMAND_BYTES) == Success(b'1')
    alone.replica.stop()


@pytest.mark.parametrize(
    ('command', 'arguments'),
    [('propose', (b'x',)), ('read_barrier', ()), ('replace_storage', 'ab')],
)
def test_without_majority_nothing_is_taken(tmp_path, command, arguments):
    alone = Alone(tmp_path, NOBODY)
    answer = alone.ask(command, *arguments)
    assert answer.failure().code is ResultCode.NOT_LEADER
    alone.replica.stop()


def break_disk(alone, monkeypatch):
    def fail(_descriptor):
        raise OSError(errno.EIO, 'broken disk')

    monkeypatch.setattr(os, 'fdatasync', fail)


def break_machine(alone, monkeypatch):
    monkeypatch.setattr(alone.machine, 'apply', None)


@pytest.mark.parametrize('fault', [break_disk, break_machine])
def test_fault_inside_halts_the_replica_alone(tmp_path, monkeypatch, fault):
    alone = Alone(tmp_path).lead()
    assert alone.ask('propose', b'x') == Success(b'1')
    fault(alone, monkeypatch)
    answer = alone.ask('propose', b'y')
    assert answer == Failure(answer.failure())
    assert answer.failure().code is ResultCode.CHANGE_UNKNOWN
    assert alone.replica.status().role is Role.STOPPED
    assert alone.ask('propose', b'z').failure().code is ResultCode.NOT_LEADER
    alone.replica.stop()


def test_a_disk_that_takes_writes_again_brings_the_replica_back(
    tmp_path, monkeypatch
):
    """Regression: after a full disk an instance was lost until a restart."""
    alone = Alone(tmp_path).lead()
    assert alone.ask('propose', b'x') == Success(b'1')
    with monkeypatch.context() as patch:
        break_disk(alone, patch)
        assert isinstance(alone.ask('propose', b'y'), Failure)
        assert alone.replica.status().role is Role.STOPPED
    alone.turn_until(lambda: alone.replica.leads)
    # What failed was cut: only the first command stands.
    assert alone.ask('propose', b'z') == Success(b'2')
    alone.replica.stop()


def test_what_a_killed_process_had_only_written_is_synced_at_the_start(
    tmp_path, monkeypatch
):
    """Regression: entries that were never synced counted as held here."""
    alone = Alone(tmp_path).lead()
    assert alone.ask('propose', b'x') == Success(b'1')
    alone.replica.stop()
    synced = []
    real = os.fsync

    def note(descriptor: int) -> None:
        synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
        real(descriptor)

    monkeypatch.setattr(os, 'fsync', note)
    again = Alone(tmp_path)
    newest = max(str(path) for path in tmp_path.glob('log-*'))
    assert newest in synced
    assert str(tmp_path) in synced
    again.replica.stop()


def test_a_disk_that_refuses_to_be_opened_is_tried_again(
    tmp_path, monkeypatch
):
    """Guards against an instance that one failed opening ends for good."""
    alone = Alone(tmp_path).lead()
    assert alone.ask('propose', b'x') == Success(b'1')
    with monkeypatch.context() as patch:
        break_disk(alone, patch)
        patch.setattr(os, 'fsync', os.fdatasync)
        alone.replica.state.persist_term()
        alone.replica.handle_effects()
        with capture_logs() as logs:
            alone.turn_until(lambda: refusals(logs) >= 2)
    alone.turn_until(lambda: alone.replica.leads)
    assert alone.ask('propose', b'z') == Success(b'2')
    alone.replica.stop()


def refusals(logs) -> int:
    return sum(e['event'] == 'disk_still_refuses' for e in logs)
