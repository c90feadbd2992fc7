"""Stateful model: three instances with message, process and disk faults."""

import itertools

import hypothesis
from hypothesis import stateful
from hypothesis import strategies

from tests.replication.builders import Cluster
from tests.replication.builders import NAMES

NODES = strategies.sampled_from(NAMES)
PAIRS = strategies.sampled_from(list(itertools.permutations(NAMES, 2)))
ROUNDS = strategies.sampled_from((1, 2, 3, 4, 6, 6))
SLOW = strategies.sampled_from((None, None, 0, 1))
FLAGS = strategies.booleans()
COUNTS = strategies.integers(0, 2)
CATCH_UP_ROUNDS = 16


class Model(stateful.RuleBasedStateMachine):
    """Rules are single steps, or exchanges between partitioned instances.

    In an exchange between two instances one may be ``slow``: it does not
    sync, and crashes after the exchange.
    """

    def __init__(self):
        super().__init__()
        self.cluster = Cluster()

    def run_pair(self, pair, rounds, slow, kind=''):
        not_syncing = '' if slow is None else pair[slow]
        self.cluster.settle(pair, rounds, not_syncing, kind)
        if not_syncing:
            self.cluster.crash(not_syncing)

    @stateful.initialize(founded=strategies.sampled_from((0, 1, 1)))
    def found(self, founded):
        if founded:
            self.cluster.elect(NAMES[0], NAMES)
            self.cluster.settle(NAMES, 4)

    @stateful.rule(pair=PAIRS, slow=SLOW)
    def elect(self, pair, slow):
        self.cluster.campaign(pair[0], pair)
        self.run_pair(pair, 4, slow, 'Vote')

    @stateful.rule(pair=PAIRS, slow=SLOW, rounds=ROUNDS, cut=FLAGS)
    def elect_and_write(self, pair, slow, rounds, cut):
        """Partition the third instance; with ``cut`` it can still send."""
        third = next(n for n in NAMES if n not in pair)
        if cut:
            self.cluster.heartbeat(third)
            self.cluster.deliver_where(lambda m: m[0] == third)
        self.cluster.elect(pair[0], pair)
        self.cluster.propose(pair[0])
        self.run_pair(pair, rounds, slow)

    @stateful.rule(pair=PAIRS, slow=SLOW, rounds=ROUNDS)
    def exchange(self, pair, slow, rounds):
        self.cluster.heartbeat(pair[0])
        self.run_pair(pair, rounds, slow)

    @stateful.rule()
    def exchange_all(self):
        for name in NAMES:
            self.cluster.heartbeat(name)
        self.cluster.settle(NAMES, 6)

    @stateful.rule(sync=FLAGS)
    def propose_to_all(self, sync):
        for name in NAMES:
            self.cluster.propose(name)
            if sync:
                self.cluster.sync(name)

    @stateful.rule(cut=FLAGS)
    def read(self, cut):
        """Read on every leader; with ``cut`` only answers are delivered."""
        for name in NAMES:
            self.cluster.read(name)
        self.cluster.settle(NAMES, 3, prefix='AppendAnswer' if cut else '')

    @stateful.rule(name=NODES, count=COUNTS)
    def sync(self, name, count):
        self.cluster.sync(name, count)

    @stateful.rule(name=NODES, kept=COUNTS)
    def crash(self, name, kept):
        self.cluster.crash(name, kept)

    @stateful.precondition(lambda self: self.cluster.committed)
    @stateful.rule(pair=PAIRS)
    def lose_disk(self, pair):
        self.cluster.wipe(pair[1])
        self.cluster.elect(pair[0], pair)

    @stateful.precondition(lambda self: self.cluster.committed)
    @stateful.rule(pair=PAIRS)
    def lose_and_replace_disk(self, pair):
        self.cluster.wipe(pair[1])
        self.replace_disk(pair)

    @stateful.precondition(lambda self: self.cluster.spare)
    @stateful.rule(name=NODES)
    def old_disk_comes_back(self, name):
        self.cluster.swap_disks()
        if name != self.cluster.repairing:
            self.cluster.elect(name, (name, self.cluster.repairing))

    @stateful.precondition(lambda self: self.cluster.repairing)
    @stateful.rule(names=PAIRS | strategies.permutations(NAMES))
    def replace_disk(self, names):
        """Catch up the others from the first one if it is the leader."""
        self.cluster.heartbeat(names[0])
        self.cluster.settle(names, CATCH_UP_ROUNDS)
        self.cluster.replace(names[0])
        self.cluster.settle(names, CATCH_UP_ROUNDS)

    @stateful.rule(pair=PAIRS, keep=FLAGS)
    def deliver_one_way(self, pair, keep):
        self.cluster.deliver_where(lambda m: m[:2] == pair, keep)

    @stateful.precondition(lambda self: self.cluster.messages)
    @stateful.rule(position=strategies.integers(0, 99))
    def deliver_one(self, position):
        self.cluster.deliver(position % len(self.cluster.messages))

    @stateful.rule(name=NODES)
    def lose_messages(self, name):
        messages = self.cluster.messages
        messages[:] = [m for m in messages if name not in m[:2]]


class LaggingModel(Model):
    """Also with state machines that apply entries later than they commit."""

    @stateful.rule(name=NODES)
    def fall_behind(self, name):
        self.cluster.fall_behind(name)

    @stateful.rule(name=NODES, count=strategies.sampled_from((1, 3, None)))
    def catch_up(self, name, count):
        self.cluster.catch_up(name, count)


def run_model(examples, model=Model):
    settings = hypothesis.settings(
        derandomize=True,
        database=None,
        deadline=None,
        max_examples=examples,
        stateful_step_count=50,
        phases=[hypothesis.Phase.generate],
        report_multiple_bugs=False,
        suppress_health_check=list(hypothesis.HealthCheck),
    )
    stateful.run_state_machine_as_test(model, settings=settings)
