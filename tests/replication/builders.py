"""Builders for replica states, and a simulated cluster with memory disks."""

import collections
import dataclasses
import json
import random

from cyclamenlift.replication.commands import append_commands
from cyclamenlift.replication.commands import replace_storage
from cyclamenlift.replication.commits import snapshot_taken
from cyclamenlift.replication.effects import Apply
from cyclamenlift.replication.effects import PersistEntries
from cyclamenlift.replication.effects import PersistTerm
from cyclamenlift.replication.effects import ReadReady
from cyclamenlift.replication.effects import RestoreMachine
from cyclamenlift.replication.effects import Send
from cyclamenlift.replication.effects import TakeSnapshot
from cyclamenlift.replication.inputs import receive
from cyclamenlift.replication.inputs import synced
from cyclamenlift.replication.inputs import tick
from cyclamenlift.replication.queries import make_status
from cyclamenlift.replication.queries import Role
from cyclamenlift.replication.reads import request_read
from cyclamenlift.replication.sending import start_round
from cyclamenlift.replication.state import Limits
from cyclamenlift.replication.state import RecoveredState
from cyclamenlift.replication.state import ReplicaState
from cyclamenlift.wire.gen.protocol.ttypes import LogEntry

ELECTION = 1.0
LIMITS = Limits(ELECTION, 0.1, snapshot_entries=6, batch_entries=1)
NAMES = ('a', 'b', 'c')
MAX_MESSAGES = 80


# Effects that are executed in order, perhaps later than the others.
MACHINE_EFFECTS = [Apply, TakeSnapshot, RestoreMachine, ReadReady]


class SafetyViolation(AssertionError):
    """A safety property of the replicated log is violated."""


def make_entries(*terms: int, first: int = 1, kind: int = 1):
    return [
        LogEntry(index, term, kind, b'%d.%d' % (index, term), 1000 + index)
        for index, term in enumerate(terms, start=first)
    ]


def make_state(name='a', names=NAMES, bootstrap=True, **found):
    """Build a replica state; ``found`` is the content of its disk."""
    recovered = RecoveredState(**{'storage_id': f'{name}-1', **found})
    peers = tuple(n for n in names if n != name)
    rng = random.Random(name)
    return ReplicaState(name, peers, bootstrap, LIMITS, recovered, rng, 0.0)


class MemoryDisk:
    """Synced state in memory, with the semantics of the storage files."""

    def __init__(self, storage_id: str):
        self.found = RecoveredState(storage_id)

    def write(self, effect) -> None:
        found = self.found
        if isinstance(effect, PersistTerm):
            changes = {'term': effect.term, 'voted_for': effect.voted_for}
        elif isinstance(effect, PersistEntries):
            first = effect.entries[0].index
            kept = tuple(e for e in found.entries if e.index < first)
            changes = {'entries': kept + effect.entries}
        else:
            base = effect.snapshot.index
            kept = [e for e in found.entries if e.index > base]
            entries = tuple(kept) if effect.keep_log else ()
            changes = {'snapshot': effect.snapshot, 'entries': entries}
        self.found = dataclasses.replace(found, **changes)


class Node:
    """One instance: its disk, replica state and applied commands."""

    def __init__(self, name: str, names: tuple[str, ...], number: int):
        self.name = name
        self.names = names
        self.disk = MemoryDisk(f'{name}-{number}')
        self.now = 0.0
        self.boot()

    def boot(self) -> None:
        """Start from the content of the disk."""
        found = dataclasses.asdict(self.disk.found)
        found['snapshot'] = self.disk.found.snapshot
        found['entries'] = self.disk.found.entries
        self.state = make_state(self.name, self.names, **found)
        self.state.election_deadline += self.now
        self.unsynced: list = []
        self.applied: list = []
        # Effects on the state machine that wait while it is behind.
        self.is_behind = False
        self.waiting: collections.deque = collections.deque()
        if self.disk.found.snapshot:
            self.applied = json.loads(self.disk.found.snapshot.data)


class Cluster:
    """Simulated nodes and messages, with safety checks after each step.

    Raises SafetyViolation as soon as a safety property is violated.
    """

    def __init__(self, names: tuple[str, ...] = NAMES):
        self.names = names
        self.nodes = {n: Node(n, names, 1) for n in names}
        self.messages: list[tuple[str, str, object]] = []
        self.now = 0.0
        self.number = 1
        self.leaders: dict[int, str] = {}
        self.committed: list = []
        self.read_floors: dict[int, int] = {}
        self.reads_done = 0
        self.repairing = ''
        self.spare: tuple[str, MemoryDisk] | None = None

    # -- steps ------------------------------------------------------------

    def time_out(self, name: str) -> None:
        """Advance time by an election timeout, but tick only ``name``."""
        self.now += 3 * ELECTION
        tick(self.nodes[name].state, self.now)
        self.process_effects(name)

    def heartbeat(self, name: str) -> None:
        if self.leads(name):
            start_round(self.nodes[name].state, self.now)
            self.process_effects(name)

    def propose(self, name: str) -> None:
        if self.leads(name):
            self.number += 1
            command = b'%d' % self.number
            append_commands(self.nodes[name].state, [command], 0, self.now)
            self.process_effects(name)

    def read(self, name: str) -> None:
        if self.leads(name):
            self.number += 1
            self.read_floors[self.number] = len(self.committed)
            request_read(self.nodes[name].state, self.number, self.now)
            self.process_effects(name)

    def sync(self, name: str, count: int | None = None) -> None:
        """Make the first ``count`` pending writes durable (default all)."""
        node = self.nodes[name]
        done = node.unsynced[:count]
        del node.unsynced[: len(done)]
        for effect in done:
            node.disk.write(effect)
        if done:
            synced(node.state, done[-1].ticket, self.now)
            self.process_effects(name)

    def crash(self, name: str, kept: int = 0) -> None:
        """Restart; ``kept`` pending writes had still reached the disk."""
        node = self.nodes[name]
        for effect in node.unsynced[:kept]:
            node.disk.write(effect)
        node.now = self.now
        node.boot()

    def wipe(self, name: str) -> None:
        """Lose a disk, unless an earlier loss is not repaired yet."""
        if not self.repairing:
            self.repairing = name
            self.number += 1
            self.spare = (name, self.nodes[name].disk)
            self.nodes[name] = Node(name, self.names, self.number)
            self.crash(name)

    def swap_disks(self) -> None:
        """Swap the lost disk and its replacement."""
        name, disk = self.spare
        if self.repairing in ('', name):
            self.repairing = name
            self.spare = (name, self.nodes[name].disk)
            self.nodes[name].disk = disk
            self.crash(name)

    def replace(self, name: str) -> None:
        """Ask leader ``name`` to make the new disk a voter."""
        if self.leads(name) and self.repairing:
            node = self.nodes[self.repairing]
            storage_id = node.state.storage_id
            state = self.nodes[name].state
            replace_storage(state, self.repairing, storage_id, self.now)
            self.process_effects(name)

    def deliver(self, position: int, keep: bool = False) -> None:
        sender, to, message = self.messages[position]
        if not keep:
            del self.messages[position]
        receive(self.nodes[to].state, sender, message, self.now)
        self.process_effects(to)

    def deliver_where(self, chosen, keep: bool = False) -> None:
        """Deliver the pending messages that match ``chosen``.

        With ``keep`` they stay pending and may be delivered again.
        """
        for entry in [m for m in self.messages if chosen(m)]:
            if entry in self.messages:
                self.deliver(self.messages.index(entry), keep)

    def settle(self, names, rounds, not_syncing='', prefix: str = '') -> None:
        """Exchange messages among ``names``; all but one sync."""

        def chosen(message) -> bool:
            kind = type(message[2]).__name__
            inside = message[0] in names and message[1] in names
            return inside and kind.startswith(prefix)

        for _ in range(rounds):
            for name in names:
                if name != not_syncing:
                    self.sync(name)
            self.deliver_where(chosen)

    def campaign(self, name: str, names) -> None:
        """Make ``name`` a candidate; leaders in ``names`` time out first."""
        for leader in [n for n in names if self.leads(n)]:
            self.time_out(leader)
        self.time_out(name)

    def elect(self, name: str, names) -> None:
        """Try to make ``name`` leader with the votes of ``names``."""
        self.campaign(name, names)
        self.settle(names, 4, prefix='Vote')

    # -- effects and safety checks ----------------------------------------

    def leads(self, name: str) -> bool:
        return self.nodes[name].state.role is Role.LEADER

    def process_effects(self, name: str) -> None:
        node = self.nodes[name]
        while node.state.outbox.effects:
            for effect in node.state.outbox.take():
                self.execute(node, effect)
        if self.leads(name):
            self.check_leader(node)

    def execute(self, node: Node, effect) -> None:
        """Handle an effect now, or later if its state machine is behind."""
        later = node.is_behind and type(effect) in MACHINE_EFFECTS
        if not later:
            self.handle(node, effect)
        elif isinstance(effect, Apply):
            node.waiting.extend(Apply((entry,)) for entry in effect.entries)
        else:
            node.waiting.append(effect)

    def fall_behind(self, name: str) -> None:
        """Let the state machine of a node wait from now on."""
        self.nodes[name].is_behind = True

    def catch_up(self, name: str, count: int | None = None) -> None:
        """Handle the first ``count`` effects that wait (default all)."""
        node = self.nodes[name]
        for _ in range(len(node.waiting) if count is None else count):
            if not node.waiting:
                break
            self.handle(node, node.waiting.popleft())
            self.process_effects(name)
        if not node.waiting:
            node.is_behind = False

    def handle(self, node: Node, effect) -> None:
        if isinstance(effect, Send):
            self.messages.append((node.name, effect.to, effect.message))
            del self.messages[:-MAX_MESSAGES]
        elif isinstance(effect, Apply):
            self.apply(node, effect.entries)
        elif isinstance(effect, TakeSnapshot):
            data = json.dumps(node.applied).encode()
            snapshot_taken(node.state, effect.index, data)
        elif isinstance(effect, RestoreMachine):
            node.applied = json.loads(effect.snapshot.data)
        elif isinstance(effect, ReadReady):
            self.reads_done += 1
            if len(node.applied) < effect.index:
                raise SafetyViolation(f'{node.name} read what it lacks')
            if effect.index < self.read_floors[effect.token]:
                raise SafetyViolation(f'{node.name} served a stale read')
        elif hasattr(effect, 'ticket'):
            node.unsynced.append(effect)

    def apply(self, node: Node, entries) -> None:
        """Check that committed entries are equal on all nodes."""
        for entry in entries:
            if entry.index != len(node.applied) + 1:
                raise SafetyViolation(f'{node.name} skipped to {entry.index}')
            node.applied.append([entry.term, entry.command.decode()])
            if entry.index > len(self.committed):
                self.committed.append(node.applied[-1])
            if self.committed[entry.index - 1] != node.applied[-1]:
                raise SafetyViolation(f'entry {entry.index} was changed')

    def check_leader(self, node: Node) -> None:
        """Check for one leader per term that holds all committed entries."""
        state = node.state
        if self.leaders.setdefault(state.term, node.name) != node.name:
            raise SafetyViolation(f'two leaders in term {state.term}')
        newest = max(self.leaders)
        for index, (term, _) in enumerate(self.committed, start=1):
            known = index <= state.log.base_index
            if state.term == newest and not known:
                if state.log.term_at(index) != term:
                    raise SafetyViolation(f'{node.name} leads without {index}')
        self.check_repair(state)

    def check_repair(self, state: ReplicaState) -> None:
        if not self.repairing:
            return
        peers = state.peers
        status = make_status(state.instance, peers, state, 0, self.now)
        wiped = next(
            i for i in status.instances if i.instance == self.repairing
        )
        storage_id = self.nodes[self.repairing].state.storage_id
        if wiped.repair_complete and wiped.storage_id == storage_id:
            self.repairing = ''
