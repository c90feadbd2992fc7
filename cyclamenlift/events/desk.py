"""Processes orders on control instances, from operators and peers."""

from collections.abc import Callable

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.events.carrying import answer_of
from cyclamenlift.events.carrying import order_of
from cyclamenlift.events.carrying import OrderCarrier
from cyclamenlift.events.commands import Change
from cyclamenlift.events.commands import failed_report
from cyclamenlift.events.commands import not_leader_report
from cyclamenlift.events.commands import outcome_report
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.orders import log_taken
from cyclamenlift.events.orders import MOST_DESK_BYTES
from cyclamenlift.events.orders import OPEN_CODES
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import ORDER_KINDS
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import PATIENCE_SECONDS
from cyclamenlift.events.queries import show
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.events.reports import PublishReport
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

LOG = structlog.get_logger('orders')


class OutcomeWait:
    """Waits for the outcome of an order that this instance executes.

    If the instance loses leadership meanwhile, the order is forwarded to the
    next leader. At ``give_up_at`` the operator is told that the outcome is
    unknown.
    """

    def __init__(
        self,
        carrier: OrderCarrier,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        was_taken: bool,
    ):
        self.carrier = carrier
        self.order = order
        self.was_taken = was_taken
        self.give_up_at = give_up_at
        self.done = done
        self.over = False
        self.timer = carrier.loop.scheduler.at(give_up_at, self.give_up)

    def take(self, report: PublishReport) -> None:
        """Return a final outcome, or forward an undecided order."""
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        if report.code not in OPEN_CODES:
            self.done(report)
            return
        if report.code == ResultCode.CHANGE_UNKNOWN:
            self.was_taken = True
        self.carrier.carry(
            self.order, self.give_up_at, self.done, self.was_taken
        )

    def give_up(self) -> None:
        self.over = True
        LOG.warning('order_not_decided', order=self.order.change.shown_id)
        code = ResultCode.CHANGE_UNKNOWN
        self.done(PublishReport(code, self.carrier.instance))


class OrderDesk:
    """Executes orders while this instance leads, else forwards them.

    Committed log entries are final, so an order whose outcome is in the local
    store is answered from there, whichever instance leads. An order that is
    repeated while it is in progress waits for the same outcome and is not
    proposed again.
    """

    def __init__(
        self,
        context: ControlContext,
        network: PeerNetwork,
        carrier: OrderCarrier,
    ):
        self.context = context
        self.carrier = carrier
        # Callbacks that wait for orders in progress here, by change id.
        self.under_way: dict[str, list[OrderDone]] = {}
        network.subscribe(OrderRequest, self.on_request)
        context.replica.leader_hooks.append(self.on_leader)

    # -- queries ----------------------------------------------------------

    @property
    def busy(self) -> bool:
        """Whether any order is still unanswered."""
        return bool(self.under_way or self.carrier.errands)

    def takes(self, body_length: int | None) -> bool:
        """Return whether an order body of this length is accepted."""
        if self.context.leads():
            return True
        return body_length is not None and body_length <= MOST_DESK_BYTES

    def known(self, change: Change) -> PublishReport | None:
        """Return the outcome of a change if the local store has it."""
        record = self.context.store.changes.get(change.change_id)
        return outcome_report(self.context, record.outcome) if record else None

    def place(self) -> Address | None:
        """Return the leader's address, None if there is no leader."""
        return self.context.replica.address_of(self.context.leader_hint())

    def elsewhere(self) -> Address | None:
        """Return a live daemon, since this instance may be partitioned."""
        return self.carrier.find_relay()

    # -- commands ---------------------------------------------------------

    def take(self, order: Order, remote: Address, done: OrderDone) -> None:
        """Process an order from an operator."""
        log_taken(order, remote, self.context.leads())
        give_up_at = self.carrier.now() + PATIENCE_SECONDS
        self.see_through(order, give_up_at, done)

    def see_through(
        self,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        was_taken: bool = False,
    ) -> None:
        """Answer from the store, execute the order or forward it.

        ``was_taken`` means that the order may already be in the log.
        """
        known = self.known(order.change)
        if known is not None:
            done(known)
        elif self.context.leads():
            wait = OutcomeWait(
                self.carrier, order, give_up_at, done, was_taken
            )
            self.carry_out(order, wait.take)
        else:
            self.carrier.carry(order, give_up_at, done, was_taken)

    def carry_out(self, order: Order, done: OrderDone) -> None:
        """Execute an order as the leader, once for all callbacks."""
        change_id = order.change.change_id
        waiting = self.under_way.get(change_id)
        if waiting is not None:
            waiting.append(done)
            return
        self.under_way[change_id] = [done]
        try:
            kind = ORDER_KINDS.get(order.kind)
            kind(self.context, order, lambda r: self.finish(change_id, r))
        except Exception as error:
            # Parsing the body may raise any error. It must not close the
            # connection, which carries other messages as well.
            LOG.exception('order_failed', order=order.change.shown_id)
            self.finish(change_id, failed_report(self.context, error))

    def finish(self, change_id: str, report: PublishReport) -> None:
        for done in self.under_way.pop(change_id, ()):
            done(report)

    def read(self, done: Callable[[DocumentReport], None]) -> bool:
        """Report the current document if this instance leads."""
        if not self.context.leads():
            return False
        show(self.context, 0, done)
        return True

    # -- messages ---------------------------------------------------------

    def on_request(self, link: Link, request: OrderRequest) -> None:
        """Answer another instance with the outcome or the leader."""
        order = order_of(request)

        def reply(report: PublishReport) -> None:
            link.send(answer_of(request, report, self.place()))

        known = self.known(order.change)
        if known is not None:
            reply(known)
        elif self.context.leads():
            self.carry_out(order, reply)
        else:
            reply(not_leader_report(self.context))

    def on_leader(self, leader: str) -> None:
        """Resume the orders that were waiting for a leader."""
        if leader == self.context.instance:
            for errand in self.carrier.take_back():
                self.see_through(
                    order_of(errand.message),
                    errand.give_up_at,
                    errand.done,
                    errand.maybe_taken(),
                )
            return
        place = self.place()
        if place is not None:
            self.carrier.note_leader(place)
