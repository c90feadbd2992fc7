"""Forwarding orders to the leader, over a fake network."""

import random

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.events.daemon_orders import DaemonOrderHandler
from cyclamenlift.events.order_forwarding import MAX_FORWARDED_ORDERS
from cyclamenlift.events.order_forwarding import OrderForwarder
from cyclamenlift.events.orders import MAX_FORWARDED_BYTES
from cyclamenlift.events.orders import order_from
from cyclamenlift.events.orders import ORDER_TIMEOUT_SECONDS
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.leader_client import ANSWER_TIMEOUT_SECONDS
from cyclamenlift.wire.gen.protocol.ttypes import OrderAnswer
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from tests.ledger.builders import ClaimClientHarness
from tests.ledger.builders import CONTROL

OPERATOR = Address('127.0.0.9', 9)
ORDER = order_from('whole', 1, 2, b'{}')


class ForwarderBed(ClaimClientHarness):
    """A daemon's order handler on a fake network with a manual clock."""

    def __init__(self):
        super().__init__()
        finder = LeaderFinder(list(CONTROL), random.Random(1))
        self.forwarder = OrderForwarder(self.root, self.network, finder, 'd')
        self.handler = DaemonOrderHandler(self.forwarder)
        self.reports = []

    def take(self) -> None:
        self.handler.handle(ORDER, OPERATOR, self.reports.append)

    def refuse(self, leader: Address | None = None) -> None:
        """Let the last address asked answer that it does not lead."""
        place = str(leader) if leader else ''
        self.reply(OrderAnswer(0, ResultCode.NOT_LEADER, 0, 0, '', place))

    def accept(self, address=None) -> None:
        self.reply(OrderAnswer(0, ResultCode.CHANGE_ACCEPTED, 2, 2), address)

    @property
    def asked_addresses(self) -> list[Address]:
        return self.asked(OrderRequest)

    @property
    def codes(self) -> list[int]:
        return [report.code for report in self.reports]


def test_the_outcome_is_reported_once_and_the_leader_remembered():
    bed = ForwarderBed()
    bed.take()
    bed.accept()
    bed.accept()
    assert bed.codes == [ResultCode.CHANGE_ACCEPTED]
    assert bed.reports[0].version == 2
    leader = bed.asked_addresses[0]
    for _ in range(4):
        bed.take()
        bed.accept()
    assert set(bed.asked_addresses) == {leader}
    assert bed.handler.location() == leader


def test_the_hint_of_a_follower_is_followed_at_once():
    bed = ForwarderBed()
    bed.take()
    first = bed.asked_addresses[0]
    leader = next(a for a in CONTROL if a != first)
    bed.refuse(leader)
    assert bed.asked_addresses == [first, leader]
    bed.accept()
    assert bed.codes == [ResultCode.CHANGE_ACCEPTED]


# Guards against a caller that waits its whole second for an instance that
# doesn't answer.
def test_a_silent_instance_costs_a_quarter_of_a_second():
    bed = ForwarderBed()
    bed.take()
    bed.pass_time(ANSWER_TIMEOUT_SECONDS)
    first, second = bed.asked_addresses
    assert first != second
    bed.accept()
    assert bed.codes == [ResultCode.CHANGE_ACCEPTED]


# Guards against returning to a leader that has just frozen whenever another
# instance names it: the next leader is found within 0.1 s of its election.
def test_a_leader_that_froze_is_not_asked_again_on_a_hint():
    bed = ForwarderBed()
    bed.take()
    frozen = bed.asked_addresses[0]
    bed.pass_time(ANSWER_TIMEOUT_SECONDS)
    while bed.forwarder.now() < 100.0 + 0.6:
        bed.refuse(frozen)
        bed.pass_time(0.1)
    assert bed.asked_addresses.count(frozen) <= 2
    assert len(bed.asked_addresses) >= 4


@pytest.mark.parametrize(
    'refused, code',
    [(True, ResultCode.NOT_LEADER), (False, ResultCode.CHANGE_UNKNOWN)],
)
def test_giving_up_reports_whether_the_order_may_have_been_executed(
    refused, code
):
    bed = ForwarderBed()
    bed.take()
    while not bed.reports:
        if refused:
            bed.refuse()
        bed.pass_time(0.05)
    assert bed.codes == [code]
    assert bed.forwarder.now() - 100.0 <= ORDER_TIMEOUT_SECONDS + 0.05
    assert not bed.forwarder.pending_requests


# Guards against holding callers while no instance is reachable.
def test_a_partitioned_instance_gives_up_once_it_has_asked_all():
    bed = ForwarderBed()
    bed.network.links.clear()
    bed.take()
    for _ in CONTROL:
        bed.network.lose(bed.asked_addresses[-1], was_established=False)
        bed.pass_time(0.01)
    assert bed.codes == [ResultCode.NOT_LEADER]
    assert len(bed.asked_addresses) == len(CONTROL)


# Guards against reads and orders sent to an outdated leader.
def test_a_disconnected_leader_is_skipped():
    bed = ForwarderBed()
    bed.forwarder.finder.note_leader(CONTROL[0])
    del bed.network.links[CONTROL[0]]
    assert bed.handler.location() in CONTROL[1:]
    bed.take()
    assert bed.asked_addresses[0] in CONTROL[1:]


def test_an_unknown_code_is_not_final():
    bed = ForwarderBed()
    bed.take()
    bed.reply(OrderAnswer(0, 5999))
    assert not bed.reports
    assert len(bed.asked_addresses) == 2


def test_pending_orders_are_resent_when_the_leader_becomes_known():
    bed = ForwarderBed()
    bed.take()
    bed.pass_time(ANSWER_TIMEOUT_SECONDS)
    leader = next(a for a in CONTROL if a not in bed.asked_addresses)
    bed.forwarder.note_leader(leader)
    assert bed.asked_addresses[-1] == leader


# Guards against a flood of orders that exhausts an instance's memory.
def test_orders_beyond_the_bound_are_refused_at_once():
    bed = ForwarderBed()
    for _ in range(MAX_FORWARDED_ORDERS + 1):
        bed.take()
    assert bed.codes == [ResultCode.NOT_LEADER]
    assert len(bed.forwarder.pending_requests) == MAX_FORWARDED_ORDERS


@pytest.mark.parametrize(
    'length, taken',
    [
        (None, False),
        (MAX_FORWARDED_BYTES, True),
        (MAX_FORWARDED_BYTES + 1, False),
    ],
)
def test_a_daemon_rejects_large_orders(length, taken):
    assert ForwarderBed().handler.accepts_size(length) == taken


# Guards against closing a connection, and losing the calls on it, because of
# an order sent to a daemon: seeds may be daemons and are asked as well.
def test_a_daemon_mistaken_for_control_answers_not_leader():
    bed = ForwarderBed()
    bed.network.deliver(CONTROL[0], OrderRequest(7, 'whole', 'x', 1, 2, b''))
    (answer,) = bed.network.links[CONTROL[0]].sent
    assert (answer.request_id, answer.code) == (7, ResultCode.NOT_LEADER)


# Guards against a partitioned control instance that rejects its callers for as
# long as the partition lasts, although daemons reach both sides.
def test_an_instance_without_a_leader_forwards_through_a_daemon():
    bed = ForwarderBed()
    relay = Address('127.0.0.1', 77)
    bed.forwarder.find_relay_daemon = lambda: relay
    bed.take()
    assert bed.asked_addresses != [relay]
    bed.refuse()
    assert bed.asked_addresses[-1] == relay
    assert bed.network.sent[-1][1].relayed
    bed.accept()
    assert bed.codes == [ResultCode.CHANGE_ACCEPTED]
    assert bed.forwarder.finder.leader is None


def test_a_named_leader_is_asked_before_a_daemon():
    bed = ForwarderBed()
    bed.forwarder.find_relay_daemon = lambda: Address('127.0.0.1', 77)
    bed.take()
    leader = next(a for a in CONTROL if a != bed.asked_addresses[0])
    bed.refuse(leader)
    assert bed.asked_addresses[-1] == leader
    assert not bed.network.sent[-1][1].relayed


def test_a_daemon_relays_for_a_control_instance():
    bed = ForwarderBed()
    request = OrderRequest(7, 'whole', 'x', 1, 2, b'', relayed=True)
    bed.network.deliver(CONTROL[0], request)
    bed.accept()
    (answer,) = bed.network.links[CONTROL[0]].sent
    assert (answer.request_id, answer.code) == (7, ResultCode.CHANGE_ACCEPTED)


def test_a_seed_that_is_a_daemon_is_not_asked_even_if_it_is_the_only_one():
    bed = ForwarderBed()
    finder = bed.forwarder.finder
    for address in CONTROL:
        finder.remove_control_address(address)
    later = Address('127.0.0.1', 9)
    finder.update_control_address(later, live=True)
    bed.take()
    assert bed.asked_addresses == [later]
