"""Processes orders on control instances, from operators and peers."""

from collections.abc import Callable

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.events.change_identity import Change
from cyclamenlift.events.commands import internal_error_report
from cyclamenlift.events.commands import not_leader_report
from cyclamenlift.events.commands import outcome_report
from cyclamenlift.events.context import ControlContext
from cyclamenlift.events.order_forwarding import answer_from_report
from cyclamenlift.events.order_forwarding import order_from_request
from cyclamenlift.events.order_forwarding import OrderForwarder
from cyclamenlift.events.orders import log_received
from cyclamenlift.events.orders import MAX_ORDER_BYTES
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import ORDER_KINDS
from cyclamenlift.events.orders import ORDER_TIMEOUT_SECONDS
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import UNDECIDED_CODES
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.events.queries import show
from cyclamenlift.events.reports import DocumentReport
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

LOG = structlog.get_logger('orders')


class PendingExecution:
    """Waits for the outcome of an order that this instance executes.

    If the instance loses leadership meanwhile, the order is forwarded to the
    next leader. At ``give_up_at`` the operator is told that the outcome is
    unknown.
    """

    def __init__(
        self,
        forwarder: OrderForwarder,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        maybe_appended: bool,
    ):
        self.forwarder = forwarder
        self.order = order
        self.maybe_appended = maybe_appended
        self.give_up_at = give_up_at
        self.done = done
        self.over = False
        self.timer = forwarder.loop.scheduler.at(give_up_at, self.give_up)

    def on_report(self, report: PublishReport) -> None:
        """Return a final outcome, or forward an undecided order."""
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        if report.code not in UNDECIDED_CODES:
            self.done(report)
            return
        if report.code == ResultCode.CHANGE_UNKNOWN:
            self.maybe_appended = True
        self.forwarder.forward(
            self.order, self.give_up_at, self.done, self.maybe_appended
        )

    def give_up(self) -> None:
        self.over = True
        LOG.warning('order_not_decided', order=self.order.change.short_id)
        code = ResultCode.CHANGE_UNKNOWN
        self.done(PublishReport(code, self.forwarder.instance))


class ControlOrderHandler:
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
        forwarder: OrderForwarder,
    ):
        self.context = context
        self.forwarder = forwarder
        # Callbacks that wait for orders in progress here, by change id.
        self.in_progress: dict[str, list[OrderDone]] = {}
        network.subscribe(OrderRequest, self.on_request)
        context.replica.leader_hooks.append(self.on_leader)

    # -- queries ----------------------------------------------------------

    @property
    def busy(self) -> bool:
        """Whether any order is still unanswered."""
        return bool(self.in_progress or self.forwarder.pending_requests)

    def accepts_size(self, body_length: int | None) -> bool:
        """Return whether an order body of this length is accepted."""
        if self.context.leads():
            return True
        return body_length is not None and body_length <= MAX_ORDER_BYTES

    def recorded_outcome(self, change: Change) -> PublishReport | None:
        """Return the outcome of a change if the local store has it."""
        record = self.context.store.changes.get(change.change_id)
        return outcome_report(self.context, record.outcome) if record else None

    def location(self) -> Address | None:
        """Return the leader's address, None if there is no leader."""
        return self.context.replica.address_of(self.context.leader_hint())

    def alternate_address(self) -> Address | None:
        """Return a live daemon, since this instance may be partitioned."""
        return self.forwarder.find_relay_daemon()

    # -- commands ---------------------------------------------------------

    def handle(self, order: Order, remote: Address, done: OrderDone) -> None:
        """Process an order from an operator."""
        log_received(order, remote, self.context.leads())
        give_up_at = self.forwarder.now() + ORDER_TIMEOUT_SECONDS
        self.process(order, give_up_at, done)

    def process(
        self,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        maybe_appended: bool = False,
    ) -> None:
        """Answer from the store, execute the order or forward it.

        ``maybe_appended`` means that the order may already be in the log.
        """
        known = self.recorded_outcome(order.change)
        if known is not None:
            done(known)
        elif self.context.leads():
            execution = PendingExecution(
                self.forwarder, order, give_up_at, done, maybe_appended
            )
            self.execute(order, execution.on_report)
        else:
            self.forwarder.forward(order, give_up_at, done, maybe_appended)

    def execute(self, order: Order, done: OrderDone) -> None:
        """Execute an order as the leader, once for all callbacks."""
        change_id = order.change.change_id
        waiting = self.in_progress.get(change_id)
        if waiting is not None:
            waiting.append(done)
            return
        self.in_progress[change_id] = [done]
        try:
            execute_kind = ORDER_KINDS.get(order.kind)
            execute_kind(
                self.context, order, lambda r: self.finish(change_id, r)
            )
        except Exception as error:
            # Parsing the body may raise any error. It must not close the
            # connection, which carries other messages as well.
            LOG.exception('order_failed', order=order.change.short_id)
            self.finish(change_id, internal_error_report(self.context, error))

    def finish(self, change_id: str, report: PublishReport) -> None:
        for done in self.in_progress.pop(change_id, ()):
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
        order = order_from_request(request)

        def reply(report: PublishReport) -> None:
            link.send(answer_from_report(request, report, self.location()))

        known = self.recorded_outcome(order.change)
        if known is not None:
            reply(known)
        elif self.context.leads():
            self.execute(order, reply)
        else:
            reply(not_leader_report(self.context))

    def on_leader(self, leader: str) -> None:
        """Resume the orders that were waiting for a leader."""
        if leader == self.context.instance:
            for pending in self.forwarder.withdraw():
                self.process(
                    order_from_request(pending.message),
                    pending.give_up_at,
                    pending.done,
                    pending.is_maybe_appended(),
                )
            return
        address = self.location()
        if address is not None:
            self.forwarder.note_leader(address)
