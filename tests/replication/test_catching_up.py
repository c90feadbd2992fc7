"""A control instance with an empty or an old disk catches up in time.

What it has to apply is bounded by the size of the commands, not by their
number, and it answers while it applies them.
"""

import time

from bench.replication_node import CountMachine
from cyclamenlift.replication.commits import snapshots_synced
from cyclamenlift.replication.machine_effects import MachineEffects
from cyclamenlift.replication.progress import Transfer
from cyclamenlift.replication.state import SNAPSHOT_BYTES
from tests.replication.builders import Cluster
from tests.replication.test_tasks import ReplicaHarness

# Seconds without an answer after which an instance counts as unreachable
# (``election_ms``).
MAX_BLOCKED_SECONDS = 0.5
LARGE_COMMAND = b'x' * (64 * 1024)


class SlowMachine(CountMachine):
    """A state machine that takes a large document's time for a command."""

    def apply(self, index: int, stamp_unix_ms: int, command: bytes) -> bytes:
        time.sleep(0.02)
        return super().apply(index, stamp_unix_ms, command)


def longest_turn(harness: ReplicaHarness, condition) -> float:
    """Run until ``condition``; return the longest turn of the event loop."""
    longest = 0.0

    def note() -> bool:
        nonlocal longest, turned_at
        now = time.monotonic()
        longest = max(longest, now - turned_at)
        turned_at = now
        return condition()

    turned_at = time.monotonic()
    harness.run_until(note)
    return longest


# Guards against a log of large commands that an empty disk has to apply from
# its first entry on, for longer than a second disk is safe.
def test_large_commands_are_covered_by_snapshots(tmp_path):
    harness = ReplicaHarness(tmp_path, snapshot_entries=5000).lead()
    count = 4 * SNAPSHOT_BYTES // len(LARGE_COMMAND)
    for _ in range(count):
        harness.propose(LARGE_COMMAND)
    state = harness.replica.state
    harness.run_until(lambda: not state.snapshot_writes)
    uncovered = state.log.bytes_between(
        state.snapshot_index, state.log.last_index
    )
    assert state.snapshot_index > 0
    assert uncovered <= SNAPSHOT_BYTES
    kept = sum(len(entry.command) for entry in state.log.entries)
    assert kept <= 2 * SNAPSHOT_BYTES
    harness.replica.stop()


# Guards against a replica that answers nobody while it applies its log after
# a restart, loses its leadership by that, and is long without a leader.
def test_a_replica_answers_while_it_applies_its_log(tmp_path):
    first = ReplicaHarness(tmp_path, snapshot_entries=5000).lead()
    for _ in range(60):
        first.propose(b'x')
    first.replica.stop()
    again = ReplicaHarness(
        tmp_path, machine=SlowMachine(), snapshot_entries=5000
    )
    blocked = longest_turn(again, lambda: again.machine.count == 60)
    assert blocked < MAX_BLOCKED_SECONDS
    assert again.replica.leads
    again.replica.stop()


# Guards against a read that is answered before the entries in front of it.
def test_a_read_waits_for_the_entries_before_it(tmp_path):
    first = ReplicaHarness(tmp_path, snapshot_entries=5000).lead()
    for _ in range(30):
        first.propose(b'x')
    first.replica.stop()
    again = ReplicaHarness(
        tmp_path, machine=SlowMachine(), snapshot_entries=5000
    ).lead()
    counts = []
    again.replica.read_barrier(lambda _: counts.append(again.machine.count))
    again.run_until(lambda: counts)
    assert counts == [30]
    again.replica.stop()


# Guards against a snapshot of a later state than that of its index, taken
# while entries were still to be applied.
def test_a_snapshot_holds_the_entries_up_to_its_index(tmp_path):
    first = ReplicaHarness(tmp_path, snapshot_entries=5000).lead()
    for _ in range(25):
        first.propose(b'x')
    first.replica.stop()
    slow = ReplicaHarness(tmp_path, machine=SlowMachine()).lead()
    state = slow.replica.state
    slow.run_until(lambda: state.snapshot_index > 0)
    covered = slow.replica.status().snapshot_index
    commands = sum(e.kind == 1 for e in state.log.between(0, covered))
    slow.replica.stop()
    third = ReplicaHarness(tmp_path)
    assert third.machine.count >= commands
    third.lead().ask('read_barrier')
    assert third.machine.count == 25
    third.replica.stop()


# Guards against a state machine that goes on with entries of before, after
# its replica has halted.
def test_nothing_is_applied_after_a_halt(tmp_path):
    harness = ReplicaHarness(tmp_path).lead()
    effects = MachineEffects(harness.replica)
    harness.replica.machine_effects = effects
    effects.waiting.extend(harness.replica.state.log.entries)
    harness.replica.stop()
    assert not effects.waiting
    assert not effects.run_slice()


# Guards against an instance that never catches up, as each snapshot is out of
# date when it has arrived and the entries after it are gone.
def test_entries_after_a_snapshot_that_is_sent_are_kept():
    cluster = Cluster()
    cluster.elect('a', ('a', 'b', 'c'))
    state = cluster.nodes['a'].state
    for _ in range(7):
        cluster.propose('a')
        cluster.settle(('a', 'b', 'c'), 4)
    sent = state.snapshot
    progress = state.leadership.progress['c']
    progress.transfer = Transfer(sent, sent.encode())
    for _ in range(20):
        progress.contact_at = cluster.now
        cluster.propose('a')
        cluster.settle(('a', 'b'), 4)
    assert state.snapshot_index > sent.index
    assert state.log.base_index <= sent.index
    progress.contact_at = float('-inf')
    snapshots_synced(state, 0, cluster.now)
    for _ in range(7):
        cluster.propose('a')
        cluster.settle(('a', 'b'), 4)
    assert state.log.base_index > sent.index
