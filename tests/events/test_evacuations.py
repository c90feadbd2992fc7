"""Evacuations of data centres: their state, their orders, what daemons know.

Guards against an order that undoes a later one, an evacuation that is lost
with a restart or an older release, and a daemon that works by an old state.
"""

import heapq
import math
import random

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.events.evacuation_following import EvacuationFollower
from cyclamenlift.events.evacuation_following import EvacuationView
from cyclamenlift.events.evacuation_orders import change_evacuation
from cyclamenlift.events.evacuation_orders import EVACUATE
from cyclamenlift.events.evacuation_orders import EvacuationRequest
from cyclamenlift.events.evacuation_orders import TAKE_BACK
from cyclamenlift.events.evacuations import EvacuationStore
from cyclamenlift.events.evacuations import MAX_EVACUATED
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.request_models import EvacuationChange
from cyclamenlift.runtime.state_machine import ControlStateMachine
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.gen.protocol.ttypes import Command
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from cyclamenlift.wire.gen.protocol.ttypes import EvacuateCommand
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState
from tests.events.builders import CONTROL
from tests.events.builders import control_context
from tests.events.builders import FollowerBed

OPERATOR = Address('10.0.0.9', 9)


def evacuated_store(*names: str) -> EvacuationStore:
    store = EvacuationStore()
    for name in names:
        store.change(name, True, store.revision, 1000)
    return store


def names(store: EvacuationStore) -> list[str]:
    return [record.data_centre for record in store.evacuated()]


# Guards against an order sent again that is refused, or counts twice.
def test_an_order_sent_again_is_accepted_and_changes_nothing():
    store = evacuated_store('bole')
    again = store.change('bole', True, 0, 2000)
    assert again.code == ResultCode.CHANGE_ACCEPTED
    assert (store.revision, names(store)) == (1, ['bole'])


# Guards against a copy of a start that arrives after the end of it.
def test_a_late_copy_does_not_undo_a_later_order():
    store = evacuated_store('bole')
    store.change('bole', False, 1, 2000)
    late = store.change('bole', True, 0, 3000)
    assert late.code == ResultCode.VERSION_CONFLICT
    assert late.current_version == 2
    assert names(store) == []


# Guards against an order for one data centre that another one holds up.
def test_orders_for_other_data_centres_do_not_conflict():
    store = evacuated_store('bole')
    assert store.change('yeka', True, 0, 1).code == ResultCode.CHANGE_ACCEPTED
    assert names(store) == ['bole', 'yeka']


# Guards against packets between members that grow beyond their size.
def test_only_so_many_data_centres_may_be_evacuated():
    store = evacuated_store(*(f'dc{n}' for n in range(MAX_EVACUATED)))
    refused = store.change('more', True, store.revision, 1)
    assert refused.code == ResultCode.EVACUATION_REFUSED
    assert len(names(store)) == MAX_EVACUATED


def evacuate_entry(data_centre: str, evacuated: bool = True) -> bytes:
    command = EvacuateCommand(data_centre, evacuated, 0, 'op')
    return encode_struct(Command(evacuate=command))


# Guards against evacuations that a restart, or a snapshot, forgets.
def test_a_snapshot_holds_the_evacuations():
    machine = ControlStateMachine()
    machine.apply(1, 5000, evacuate_entry('bole'))
    other = ControlStateMachine()
    seen = []
    other.subscribe_evacuations(lambda store: seen.append(names(store)))
    other.restore(machine.snapshot())
    assert names(other.evacuations) == ['bole'] and seen == [['bole']]
    assert other.evacuations.revision == 1
    other.restore(ControlStateMachine().snapshot())
    assert names(other.evacuations) == []


# Guards against data folders of an earlier release that can't be read, and
# against its snapshots, which don't hold the evacuations.
def test_a_snapshot_of_an_earlier_release_keeps_what_is_known():
    earlier = b'{"events":%b,"ledger":%b}' % (
        ControlStateMachine().events.encode(),
        ControlStateMachine().ledger.encode(),
    )
    machine = ControlStateMachine()
    machine.restore(earlier)
    assert names(machine.evacuations) == []
    machine.apply(1, 5000, evacuate_entry('bole'))
    machine.restore(earlier)
    assert names(machine.evacuations) == ['bole']


def ordered(context, data_centre='bole', evacuated=True, base=0):
    reports = []
    change = EvacuationChange(
        data_centre=data_centre, evacuated=evacuated, base_revision=base
    )
    change_evacuation(context, change, reports.append)
    (report,) = reports
    return report


def leading_context(**fields):
    context = control_context()
    return type(context)(
        context.instance,
        context.data_centre,
        context.replica,
        context.store,
        context.ledger,
        context.replica.machine.evacuations,
        lambda: {'bole', 'yeka'},
        **fields,
    )


# Guards against an order for a name that was mistyped.
def test_an_unknown_data_centre_is_refused():
    context = leading_context()
    report = ordered(context, 'boel')
    assert report.code == ResultCode.DATA_CENTRE_UNKNOWN
    assert ordered(context).code == ResultCode.CHANGE_ACCEPTED
    assert names(context.evacuations) == ['bole']


# Guards against an evacuation that an older control instance would skip.
def test_an_order_waits_for_control_instances_of_an_older_release():
    context = leading_context(find_outdated_peers=lambda: ['c'])
    report = ordered(context)
    assert report.code == ResultCode.EVACUATION_REFUSED
    assert 'c' in report.detail
    assert names(context.evacuations) == []


# Guards against an order that a former leader carries out.
def test_an_instance_that_does_not_lead_carries_out_no_order():
    context = leading_context()
    context.replica.leader = 'b'
    assert ordered(context).code == ResultCode.NOT_LEADER


# Guards against an old state that comes late over the network.
def test_only_a_newer_state_is_adopted():
    view = EvacuationView()
    assert view.note(EvacuationState(2, ['bole'], 5))
    assert not view.note(EvacuationState(1, ['yeka'], 4))
    assert not view.note(EvacuationState(2, [], 4))
    assert view.data_centres == {'bole'}
    assert view.note(EvacuationState(3, None, 6))
    assert view.data_centres == frozenset()


# Guards against an invalid state from a peer.
@pytest.mark.parametrize(
    'state',
    [
        None,
        EvacuationState(None, ['bole']),
        EvacuationState(1, ['']),
        EvacuationState(1, ['x' * 64]),
        EvacuationState(1, ['a'] * 65),
    ],
)
def test_an_invalid_state_is_ignored(state):
    follower = EvacuationFollower(lambda: 0)
    follower.note(state, 'peer')
    assert follower.view.revision == 0


# Guards against a starting daemon that learns the document but not which
# data centres are evacuated, and against one that does not pass it on.
def test_answers_to_document_requests_bring_the_evacuations():
    bed = FollowerBed()
    seen = []
    bed.follower.evacuations.subscribe(seen.append)
    bed.follower.start()
    answer = DocumentAnswer(1, 0, b'', False, b'')
    answer.evacuations = EvacuationState(4, ['bole'], 9)
    bed.network.deliver(CONTROL[0], answer)
    assert seen == [{'bole'}]
    bed.network.deliver(CONTROL[1], DocumentRequest(5, 0))
    (passed_on,) = bed.network.links[CONTROL[1]].sent
    assert passed_on.evacuations == answer.evacuations


ANSWER_SECONDS = 1.0
TAKERS = 5
ORDERS = 12
MAX_DELAY = 6.0
LOST_SHARE = 0.3
SLOW_SHARE = 0.25
# The most by which the end of an operator's connection arrives after its data,
# when both were held up.
CLOSING_SECONDS = 0.03
# How many of those that are read at once are cut off from their operator then.
CUT_SHARE = 0.3


class Taker:
    """An instance that takes orders and knows some revision."""

    def __init__(self, model: 'OrderModel'):
        self.model = model
        self.revision = 0

    def handle(self, order, _remote, done) -> None:
        """Send an order to the leader; each way may be slow or lose it."""
        self.model.deliver(
            lambda: self.model.execute(
                order, lambda report: self.model.deliver(lambda: done(report))
            )
        )


class OrderModel:
    """Operators, takers and the log on an event heap, without a network."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.store = EvacuationStore()
        self.takers = [Taker(self) for _ in range(TAKERS)]
        self.heap = []
        self.number = 0
        self.now = 0.0
        self.wanted: dict[str, bool] = {}
        self.broken: list[str] = []

    def at(self, when: float, step) -> None:
        self.number += 1
        heapq.heappush(self.heap, (when, self.number, step))

    def deliver(self, step) -> None:
        """Run a step after a delay, not at all, or twice."""
        if self.rng.random() < LOST_SHARE:
            return
        for _ in range(self.rng.choice((1, 1, 2))):
            slow = self.rng.random() < SLOW_SHARE
            delay = self.rng.uniform(0.5, MAX_DELAY) if slow else 0.003
            self.at(self.now + delay, step)

    def after(self, seconds: float, step) -> None:
        """Run a step later, as a scheduler does."""
        self.at(self.now + seconds, step)

    def take(self, kind: str, data_centre: str, give_up_at, answer) -> None:
        """Let an instance read an order, often long after it was sent."""
        taker = self.rng.choice(self.takers)
        slow = self.rng.random() < SLOW_SHARE
        read_at = self.now + (self.rng.uniform(0.5, MAX_DELAY) if slow else 0)
        closed_at = max(give_up_at, read_at + CLOSING_SECONDS)
        if not slow and self.rng.random() < CUT_SHARE:
            closed_at = math.inf

        def read() -> None:
            EvacuationRequest(
                taker,
                self,
                kind,
                data_centre,
                OPERATOR,
                lambda: self.now < closed_at,
                answer,
                lambda: self.now,
            ).send(taker.revision)

        self.at(read_at, read)

    def execute(self, order, done) -> None:
        evacuated = order.kind == EVACUATE
        name = order.body.decode()
        outcome = self.store.change(
            name, evacuated, order.change.base_version, 0
        )
        for data_centre, value in self.wanted.items():
            if (data_centre in names(self.store)) != value:
                self.broken.append(f'{self.now}: {data_centre}')
        for taker in self.takers:
            self.at(
                self.now + self.rng.uniform(0.0, 2.0),
                lambda taker=taker, seen=self.store.revision: learn(
                    taker, seen
                ),
            )
        done(
            PublishReport(
                ResultCode(outcome.code),
                'leader',
                outcome.version,
                outcome.current_version,
                outcome.detail,
            )
        )

    def order(self, data_centre: str, evacuated: bool, then) -> None:
        """Send an order again and again until it is acknowledged."""
        self.wanted.pop(data_centre, None)
        acknowledged = []

        def acknowledge(_order, report) -> None:
            if acknowledged or report.code != ResultCode.CHANGE_ACCEPTED:
                return
            acknowledged.append(report)
            self.wanted[data_centre] = evacuated
            self.at(self.now + self.rng.uniform(0.0, 3.0), then)

        def send() -> None:
            if acknowledged:
                return
            give_up_at = self.now + ANSWER_SECONDS

            def answer(order, report) -> None:
                if self.now < give_up_at:
                    acknowledge(order, report)

            kind = EVACUATE if evacuated else TAKE_BACK
            self.take(kind, data_centre, give_up_at, answer)
            self.at(give_up_at, send)

        send()

    def run(self) -> None:
        while self.heap:
            self.now, _, step = heapq.heappop(self.heap)
            step()


def learn(taker: Taker, revision: int) -> None:
    taker.revision = max(taker.revision, revision)


@pytest.mark.parametrize('seed', range(60))
def test_an_acknowledged_order_holds_until_the_next_one_is_sent(seed):
    # Guards against orders that are lost, late, doubled, sent to several
    # instances or lie at one, and then undo what was acknowledged later.
    model = OrderModel(seed)
    left = [
        (model.rng.choice(('bole', 'yeka')), model.rng.random() < 0.5)
        for _ in range(ORDERS)
    ]

    def next_order() -> None:
        if left:
            model.order(*left.pop(), next_order)

    next_order()
    model.run()
    assert not left and not model.broken
