"""The replica component: answers, restarts and failing disks."""

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
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.settings import ReplicaSettings
from cyclamenlift.replication.tasks import MAX_COMMAND_BYTES
from cyclamenlift.replication.tasks import Replica
from cyclamenlift.replication.voter_changes import AWAIT_VOTERS_SECONDS
from cyclamenlift.wire.tasks import PeerNetwork

NOBODY = {'b': Address('127.0.0.1', 1)}
SECONDS = 10.0


class ReplicaHarness:
    """A single replica on an event loop that the test runs."""

    def __init__(
        self,
        folder,
        peers=None,
        machine=None,
        snapshot_entries=10,
        wanted_voters=0,
        name='a',
        bootstrap=True,
    ):
        self.loop = build_root()
        self.loop._running = True
        network = PeerNetwork(self.loop.poller, name, 'dc', 'test')
        network.register(self.loop)
        self.network = network
        self.machine = machine or CountMachine()
        settings = ReplicaSettings(
            name,
            folder,
            peers or {},
            election_ms=40,
            heartbeat_ms=10,
            snapshot_entries=snapshot_entries,
            bootstrap=bootstrap,
            wanted_voters=wanted_voters,
        )
        rng = random.Random(1)
        self.replica = Replica(self.loop, network, settings, self.machine, rng)
        assert self.replica.start() == Success(None)

    def run_until(self, condition):
        end = time.monotonic() + SECONDS
        while not condition():
            assert time.monotonic() < end, 'the condition was not met in time'
            self.loop.tick(0.01)

    def ask(self, command, *arguments):
        answers = []
        getattr(self.replica, command)(*arguments, answers.append)
        assert answers == [], 'must not be answered from inside the call'
        self.run_until(lambda: answers)
        return answers[0]

    def propose(self, command: bytes):
        """Propose a command, and again if it was certainly not appended.

        The replica steps down while a write takes longer than two of its
        short election timeouts, 80 ms.
        """
        while True:
            answer = self.ask('propose', command)
            if isinstance(answer, Success):
                return answer
            assert answer.failure().code is ResultCode.NOT_LEADER
            self.lead()

    def lead(self):
        self.run_until(lambda: self.replica.leads)
        return self


def test_commands_are_applied_and_survive_a_restart(tmp_path):
    first = ReplicaHarness(tmp_path).lead()
    for number in range(1, 26):
        assert first.propose(b'x') == Success(b'%d' % number)
    first.run_until(lambda: first.replica.status().snapshot_index >= 10)
    first.replica.stop()
    second = ReplicaHarness(tmp_path).lead()
    assert isinstance(second.ask('read_barrier'), Success)
    assert second.machine.count == 25
    second.replica.stop()


def test_command_over_the_limit_is_refused(tmp_path):
    harness = ReplicaHarness(tmp_path).lead()
    answer = harness.ask('propose', b'x' * (MAX_COMMAND_BYTES + 1))
    assert answer.failure().code is ResultCode.BODY_TOO_LARGE
    assert harness.propose(b'x' * MAX_COMMAND_BYTES) == Success(b'1')
    harness.replica.stop()


@pytest.mark.parametrize(
    ('command', 'arguments'),
    [('propose', (b'x',)), ('read_barrier', ()), ('replace_storage', 'ab')],
)
def test_operations_without_a_majority_fail_with_not_leader(
    tmp_path, command, arguments
):
    harness = ReplicaHarness(tmp_path, NOBODY)
    answer = harness.ask(command, *arguments)
    assert answer.failure().code is ResultCode.NOT_LEADER
    harness.replica.stop()


def break_disk(harness, monkeypatch):
    def fail(_descriptor):
        raise OSError(errno.EIO, 'broken disk')

    monkeypatch.setattr(os, 'fdatasync', fail)


def break_machine(harness, monkeypatch):
    monkeypatch.setattr(harness.machine, 'apply', None)


@pytest.mark.parametrize('fault', [break_disk, break_machine])
def test_internal_fault_halts_only_the_replica(tmp_path, monkeypatch, fault):
    harness = ReplicaHarness(tmp_path).lead()
    assert harness.propose(b'x') == Success(b'1')
    fault(harness, monkeypatch)
    answer = harness.ask('propose', b'y')
    assert answer == Failure(answer.failure())
    assert answer.failure().code is ResultCode.CHANGE_UNKNOWN
    assert harness.replica.status().role is Role.STOPPED
    assert harness.ask('propose', b'z').failure().code is ResultCode.NOT_LEADER
    harness.replica.stop()


def test_replica_reopens_when_its_disk_recovers(tmp_path, monkeypatch):
    """Regression: a full disk stopped an instance until its restart."""
    harness = ReplicaHarness(tmp_path).lead()
    assert harness.propose(b'x') == Success(b'1')
    with monkeypatch.context() as patch:
        break_disk(harness, patch)
        assert isinstance(harness.ask('propose', b'y'), Failure)
        assert harness.replica.status().role is Role.STOPPED
    harness.run_until(lambda: harness.replica.leads)
    # The failed write was truncated: only the first command is in the log.
    assert harness.propose(b'z') == Success(b'2')
    harness.replica.stop()


def test_unsynced_writes_of_a_killed_process_are_synced_at_start(
    tmp_path, monkeypatch
):
    """Regression: entries that were never synced were treated as durable."""
    harness = ReplicaHarness(tmp_path).lead()
    assert harness.propose(b'x') == Success(b'1')
    harness.replica.stop()
    synced = []
    real = os.fsync

    def note(descriptor: int) -> None:
        synced.append(os.readlink(f'/proc/self/fd/{descriptor}'))
        real(descriptor)

    monkeypatch.setattr(os, 'fsync', note)
    again = ReplicaHarness(tmp_path)
    newest = max(str(path) for path in tmp_path.glob('log-*'))
    assert newest in synced
    assert str(tmp_path) in synced
    again.replica.stop()


def test_failed_reopening_is_retried(tmp_path, monkeypatch):
    """Guards against giving up after a single failed reopening."""
    harness = ReplicaHarness(tmp_path).lead()
    assert harness.propose(b'x') == Success(b'1')
    with monkeypatch.context() as patch:
        break_disk(harness, patch)
        patch.setattr(os, 'fsync', os.fdatasync)
        harness.replica.state.persist_term()
        harness.replica.handle_effects()
        with capture_logs() as logs:
            harness.run_until(lambda: refusals(logs) >= 2)
    harness.run_until(lambda: harness.replica.leads)
    assert harness.propose(b'z') == Success(b'2')
    harness.replica.stop()


def refusals(logs) -> int:
    return sum(e['event'] == 'disk_still_refuses' for e in logs)


# Guards against an operator who gets no answer where too few instances run,
# and against one who is not told how many losses a change survives.
def test_a_command_is_answered_with_fewer_voters_than_wanted(tmp_path):
    harness = ReplicaHarness(tmp_path, wanted_voters=3).lead()
    began = time.monotonic()
    with capture_logs() as logs:
        assert harness.propose(b'x') == Success(b'1')
        assert harness.propose(b'x') == Success(b'2')
    assert time.monotonic() - began < AWAIT_VOTERS_SECONDS + 0.5
    (line,) = [entry for entry in logs if entry['event'] == 'few_voters']
    assert (line['voters'], line['wanted'], line['survives']) == (1, 3, 0)
    harness.replica.stop()


# Guards against an empty disk that a leader can't repair, as its instance
# knows no address to answer that leader at.
def test_a_leader_that_is_not_known_is_answered_where_it_asks(tmp_path):
    empty = ReplicaHarness(tmp_path / 'b', name='b', bootstrap=False)
    address = empty.network.listen(Address('127.0.0.1', 0))
    leader = ReplicaHarness(tmp_path / 'a', wanted_voters=2).lead()
    assert leader.propose(b'x') == Success(b'1')
    leader.replica.update_peer('b', address, True)

    def has_caught_up() -> bool:
        empty.loop.tick(0.001)
        return empty.machine.count == 1 and empty.replica.state.may_campaign

    leader.run_until(has_caught_up)
    assert empty.replica.leader == 'a'
    leader.replica.stop()
    empty.replica.stop()
