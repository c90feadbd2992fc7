"""The desk of a control instance: orders from operators and from others."""

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
from cyclamenlift.wire.network import Link
from cyclamenlift.wire.network import PeerNetwork

LOG = structlog.get_logger('orders')


class OutcomeWait:
    """Waits for what becomes of an order that this instance carries out.

    If it stops to lead meanwhile, the order is carried to the next leader.
    At ``give_up_at`` its operator hears that the outcome is not known.
    """

    def __init__(
        self,
        carrier: OrderCarrier,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        maybe_appended: bool,
    ):
        self.carrier = carrier
        self.order = order
        self.maybe_appended = maybe_appended
        self.give_up_at = give_up_at
        self.done = done
        self.over = False
        self.timer = carrier.loop.scheduler.at(give_up_at, self.give_up)

    def take(self, report: PublishReport) -> None:
        """Hand over an outcome, or have the order carried."""
        if self.over:
            return
        self.over = True
        self.timer.cancel()
        if report.code not in OPEN_CODES:
            self.done(report)
            return
        if report.code == ResultCode.CHANGE_UNKNOWN:
            self.maybe_appended = True
        self.carrier.carry(
            self.order, self.give_up_at, self.done, self.maybe_appended
        )

    def give_up(self) -> None:
        self.over = True
        LOG.warning('order_not_decided', order=self.order.change.shown_id)
        code = ResultCode.CHANGE_UNKNOWN
        self.done(PublishReport(code, self.carrier.instance))


class OrderDesk:
    """Carries orders out while this instance leads, and to who leads else.

    What the log holds is final, so an order whose outcome is in our own copy
    gets it at once, whoever leads. An order that comes again while it is
    under way waits for the same outcome and costs nothing.
    """

    def __init__(
        self,
        context: ControlContext,
        network: PeerNetwork,
        carrier: OrderCarrier,
    ):
        self.context = context
        self.carrier = carrier
        # Who waits for an order that is under way here, by its change id.
        self.under_way: dict[str, list[OrderDone]] = {}
        network.subscribe(OrderRequest, self.on_request)
        context.replica.leader_hooks.append(self.on_leader)

    # -- queries ----------------------------------------------------------

    @property
    def busy(self) -> bool:
        """Whether an order has no answer yet."""
        return bool(self.under_way or self.carrier.pending_requests)

    def takes(self, body_length: int | None) -> bool:
        """Tell whether an order of this size is taken."""
        if self.context.leads():
            return True
        return body_length is not None and body_length <= MOST_DESK_BYTES

    def known(self, change: Change) -> PublishReport | None:
        """Return the outcome of a change that is in our copy of the log."""
        record = self.context.store.changes.get(change.change_id)
        return outcome_report(self.context, record.outcome) if record else None

    def place(self) -> Address | None:
        """Return where the leader is, None while there is none."""
        return self.context.replica.address_of(self.context.leader_hint())

    def elsewhere(self) -> Address | None:
        """Return a daemon that is alive: this instance may be cut off."""
        return self.carrier.find_relay()

    # -- commands ---------------------------------------------------------

    def take(self, order: Order, remote: Address, done: OrderDone) -> None:
        """See an order of an operator through."""
        log_taken(order, remote, self.context.leads())
        give_up_at = self.carrier.now() + PATIENCE_SECONDS
        self.see_through(order, give_up_at, done)

    def see_through(
        self,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        maybe_appended: bool = False,
    ) -> None:
        """Answer from the log, carry the order out, or have it carried.

        ``maybe_appended`` says that it may be in the log already.
        """
        known = self.known(order.change)
        if known is not None:
            done(known)
        elif self.context.leads():
            wait = OutcomeWait(
                self.carrier, order, give_up_at, done, maybe_appended
            )
            self.carry_out(order, wait.take)
        else:
            self.carrier.carry(order, give_up_at, done, maybe_appended)

    def carry_out(self, order: Order, done: OrderDone) -> None:
        """Carry an order out as the leader, once for all who wait."""
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
            # A body that is read may hold what nobody expected. That must
            # not cost the connection, which brings other things as well.
            LOG.exception('order_failed', order=order.change.shown_id)
            self.finish(change_id, failed_report(self.context, error))

    def finish(self, change_id: str, report: PublishReport) -> None:
        for done in self.under_way.pop(change_id, ()):
            done(report)

    def read(self, done: Callable[[DocumentReport], None]) -> bool:
        """Report the newest document, if this instance leads."""
        if not self.context.leads():
            return False
        show(self.context, 0, done)
        return True

    # -- messages ---------------------------------------------------------

    def on_request(self, link: Link, request: OrderRequest) -> None:
        """Answer another instance: with an outcome, or who leads."""
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
        """Go on with what waited for a leader."""
        if leader == self.context.instance:
            for pending in self.carrier.take_back():
                self.see_through(
                    order_of(pending.message),
                    pending.give_up_at,
                    pending.done,
                    pending.is_maybe_appended(),
                )
            return
        place = self.place()
        if place is not None:
            self.carrier.note_leader(place)
