"""Documents, a fake replica and a follower test bed for event tests."""

import random

from returns.result import Failure
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.compression import compress
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.events.adoption import Offer
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.tasks import ConfigFollower
from cyclamenlift.models.document import document_to_bytes
from cyclamenlift.models.document import EventDocument
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from tests.ledger.builders import CONTROL
from tests.ledger.builders import FakeClock
from tests.ledger.builders import FakeLink
from tests.ledger.builders import FakeNetwork
from tests.models.builders import document_value

PEERS = ('127.0.0.1:11', '127.0.0.1:12', '127.0.0.1:13')


def document(event: str = 'morning') -> bytes:
    """Return the canonical bytes of a valid document."""
    value = document_value(event=event)
    return document_to_bytes(EventDocument.model_validate(value))


def offer(version, source='p', majority=False, data=None) -> Offer:
    body = document(f'v{version}') if data is None else data
    return Offer(source, version, compress(body) if body else b'', majority)


class FakeReplica:
    """Applies commands at once when leading, unless ``failing`` is set."""

    def __init__(self, machine, leader='a'):
        self.machine = machine
        self.leader = leader
        self.failing = None
        self.barriers = []
        self.index = 0
        self.leader_hooks = []

    def elect(self, leader) -> None:
        """Report ``leader`` as elected."""
        self.leader = leader
        for hook in self.leader_hooks:
            hook(leader)

    def address_of(self, instance) -> Address | None:
        return Address('10.0.0.1', 7100) if instance else None

    def propose(self, command, done) -> None:
        if self.failing is not None:
            done(Failure(Problem(self.failing)))
            return
        self.index += 1
        done(Success(self.machine.apply(self.index, self.index, command)))

    def replace_storage(self, _instance, _storage_id, done) -> None:
        failing = self.failing
        done(Failure(Problem(failing)) if failing else Success(b''))

    def read_barrier(self, done) -> None:
        self.barriers.append(done)

    def finish_reads(self, confirmed=True) -> None:
        barriers, self.barriers = self.barriers, []
        problem = Problem(ResultCode.NOT_LEADER)
        for done in barriers:
            done(Success(self.index) if confirmed else Failure(problem))


def control_context(leader='a') -> ControlContext:
    """Return the context of instance ``a`` over a fake replica."""
    machine = ControlStateMachine()
    replica = FakeReplica(machine, leader)
    return ControlContext('a', 'bole', replica, machine.events, machine.ledger)


class FollowerBed:
    """A daemon's follower with a fake network and a manual clock."""

    def __init__(self, control=CONTROL):
        self.clock = FakeClock()
        self.root = build_root(self.clock)
        self.network = FakeNetwork()
        self.follower = ConfigFollower(
            self.root, self.network, list(control), random.Random(1)
        )
        self.seen = []
        self.follower.subscribe(lambda rules: self.seen.append(rules.version))

    def pass_time(self, seconds) -> None:
        end = self.clock.instant + seconds
        while self.clock.instant < end - 1e-9:
            self.clock.instant = min(end, self.clock.instant + 0.05)
            self.root.scheduler.run_due()

    def give(self, address, version, committed=False, data=None) -> None:
        """Deliver an answer with a version from the peer at ``address``."""
        body = document(f'v{version}') if data is None else data
        packed = compress(body) if body else b''
        answer = DocumentAnswer(1, version, b'', committed, packed)
        self.network.deliver(address, answer)

    def asked(self) -> list:
        """Return who was asked for the document since the last call."""
        sent, self.network.sent = self.network.sent, []
        return [a for a, m in sent if isinstance(m, DocumentRequest)]


__all__ = [
    'CONTROL',
    'FakeLink',
    'FakeNetwork',
    'FakeReplica',
    'FollowerBed',
    'PEERS',
    'control_context',
    'document',
    'offer',
]
