"""Order processing on a control instance, over a fake replica."""

import random

import pytest
from returns.result import Failure

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.events.commands import publish_document
from cyclamenlift.events.control_orders import ControlOrderHandler
from cyclamenlift.events.order_forwarding import OrderForwarder
from cyclamenlift.events.orders import order_from
from cyclamenlift.events.orders import ORDER_KINDS
from cyclamenlift.events.orders import ORDER_TIMEOUT_SECONDS
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.models.document import document_from_bytes
from cyclamenlift.wire.gen.protocol.ttypes import OrderAnswer
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from tests.events.builders import control_context
from tests.events.builders import document
from tests.ledger.builders import CONTROL
from tests.ledger.builders import FakeClock
from tests.ledger.builders import FakeLink
from tests.ledger.builders import FakeNetwork

OPERATOR = Address('127.0.0.9', 9)
ACCEPTED = ResultCode.CHANGE_ACCEPTED
WHOLE = order_from('test-whole', 0, 3, document())
BROKEN = order_from('test-broken', 0, 3, b'')


class SlowReplica:
    """Holds proposals back until the test releases them."""

    def __init__(self, context):
        self.real = context.replica
        self.proposed = []

    def hold(self) -> None:
        self.real.propose, self.propose = self.keep, self.real.propose

    def keep(self, command, done) -> None:
        self.proposed.append((command, done))

    def let_through(self) -> None:
        for command, done in self.proposed:
            self.propose(command, done)


class HandlerBed:
    """An instance ``a`` with its order handler."""

    def __init__(self, leader='a'):
        self.context = control_context(leader)
        self.clock = FakeClock()
        self.root = build_root(self.clock)
        self.network = FakeNetwork()
        finder = LeaderFinder(list(CONTROL), random.Random(1))
        self.forwarder = OrderForwarder(self.root, self.network, finder, 'a')
        self.handler = ControlOrderHandler(
            self.context, self.network, self.forwarder
        )
        self.reports = []

    def take(self, order=WHOLE) -> None:
        self.handler.handle(order, OPERATOR, self.reports.append)

    def ask(self, order=WHOLE):
        """Send an order as another instance does; return the answer."""
        change = order.change
        link = FakeLink(CONTROL[0], 'b')
        request = OrderRequest(
            1,
            order.kind,
            change.change_id,
            change.base_version,
            change.chosen_version,
            order.body,
        )
        self.handler.on_request(link, request)
        return link.sent[0] if link.sent else None

    def pass_time(self, seconds: float) -> None:
        self.clock.instant += seconds
        self.root.scheduler.run_due()

    def refuse_all(self) -> None:
        """Let all addresses asked answer that they do not lead."""
        sent, self.network.sent = self.network.sent, []
        for address, request in sent:
            answer = OrderAnswer(request.request_id, ResultCode.NOT_LEADER)
            self.network.deliver(address, answer)

    @property
    def codes(self) -> list[int]:
        return [report.code for report in self.reports]


@pytest.fixture(autouse=True)
def kinds(monkeypatch):
    def whole(context, order, done):
        publish_document(
            context, document_from_bytes(order.body), order.change, done
        )

    def broken(context, order, done):
        raise RecursionError('too deep')

    known = {'test-whole': whole, 'test-broken': broken}
    monkeypatch.setattr(ORDER_KINDS, 'items', known)


def test_the_leader_executes_direct_and_forwarded_orders():
    bed = HandlerBed()
    assert bed.ask().code == ACCEPTED
    bed.take()
    assert bed.codes == [ACCEPTED]
    assert bed.context.store.version == 3


# Guards against copies of one order, forwarded by several instances, that are
# each parsed, validated and written into the log.
def test_a_repeated_order_in_progress_waits_for_the_same_outcome():
    bed = HandlerBed()
    slow = SlowReplica(bed.context)
    slow.hold()
    bed.take()
    bed.take()
    assert bed.ask() is None
    assert len(slow.proposed) == 1
    assert bed.handler.busy
    slow.let_through()
    assert bed.codes == [ACCEPTED, ACCEPTED]
    assert not bed.handler.busy


def test_a_follower_answers_from_its_store_or_names_the_leader():
    bed = HandlerBed()
    bed.take()
    bed.context.replica.elect('b')
    bed.take()
    assert bed.codes == [ACCEPTED, ACCEPTED]
    assert bed.ask().code == ACCEPTED
    other = bed.ask(order_from('test-whole', 3, 5, document('noon')))
    assert other.code == ResultCode.NOT_LEADER
    assert other.leader_address == '10.0.0.1:7100'
    assert not bed.network.sent


def test_an_order_waits_for_the_election_of_this_instance():
    bed = HandlerBed(leader='')
    bed.take()
    assert not bed.reports
    bed.context.replica.elect('a')
    assert bed.codes == [ACCEPTED]
    assert not bed.forwarder.pending_requests


def test_an_order_is_forwarded_to_the_next_leader_after_leadership_loss():
    bed = HandlerBed()
    bed.context.replica.failing = ResultCode.CHANGE_UNKNOWN
    bed.take()
    assert not bed.reports
    assert isinstance(bed.network.sent[-1][1], OrderRequest)


# Guards against reporting an order as not executed although it is in a log.
@pytest.mark.parametrize('seconds', [0.0, 0.8])
def test_an_order_that_may_be_in_the_log_is_never_reported_not_executed(
    seconds,
):
    bed = HandlerBed()
    slow = SlowReplica(bed.context)
    slow.hold()
    bed.take()
    bed.pass_time(seconds)
    bed.context.replica.elect('')
    (_, done), *_ = slow.proposed
    done(Failure(Problem(ResultCode.CHANGE_UNKNOWN)))
    while not bed.reports:
        bed.refuse_all()
        bed.pass_time(0.05)
    assert bed.codes == [ResultCode.CHANGE_UNKNOWN]


# The same for an order that was sent to another instance before this one
# became the leader.
def test_an_order_sent_to_others_is_never_reported_not_executed():
    bed = HandlerBed(leader='')
    bed.take()
    bed.context.replica.failing = ResultCode.NOT_LEADER
    bed.context.replica.elect('a')
    bed.context.replica.elect('')
    while not bed.reports:
        bed.refuse_all()
        bed.pass_time(0.05)
    assert bed.codes == [ResultCode.CHANGE_UNKNOWN]


# Guards against an operator that gets no answer while a commit hangs.
def test_an_undecided_order_is_answered_within_the_timeout():
    bed = HandlerBed()
    SlowReplica(bed.context).hold()
    bed.take()
    bed.pass_time(ORDER_TIMEOUT_SECONDS + 0.05)
    assert bed.codes == [ResultCode.CHANGE_UNKNOWN]


# Guards against closing a connection because of one malformed order, and
# against forwarding that order to one leader after another.
def test_a_malformed_order_is_rejected_with_a_final_code():
    bed = HandlerBed()
    assert bed.ask(BROKEN).code == ResultCode.DOCUMENT_INVALID
    bed.take(BROKEN)
    assert bed.codes == [ResultCode.DOCUMENT_INVALID]
    assert bed.ask().code == ACCEPTED


# Guards against callers that stay with a partitioned instance: they are
# redirected to a daemon, which they may reach.
def test_an_instance_without_a_leader_offers_an_alternate_address():
    bed = HandlerBed(leader='')
    assert bed.handler.alternate_address() is None
    daemon = Address('127.0.0.1', 77)
    bed.forwarder.find_relay_daemon = lambda: daemon
    assert bed.handler.alternate_address() == daemon
