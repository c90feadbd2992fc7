"""Forwards orders to the leader."""

from collections.abc import Callable

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.events.change_identity import Change
from cyclamenlift.events.change_identity import LOGGED_ID_LENGTH
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import UNDECIDED_CODES
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.leader_client import LeaderClient
from cyclamenlift.ledger.leader_client import LeaderRequest
from cyclamenlift.wire.gen.protocol.ttypes import OrderAnswer
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from cyclamenlift.wire.tasks import Link
from cyclamenlift.wire.tasks import PeerNetwork

# Limit of orders that one instance forwards at a time. At the largest size
# they take 2 MB of memory. Operators have eight orders in flight.
MAX_FORWARDED_ORDERS = 64
# Without a leader hint, one in this many requests goes to a control instance,
# the others to a relaying daemon.
CONTROL_REQUEST_INTERVAL = 2
# Result codes that decide an order. Unknown codes of a later release are not
# final.
FINAL_CODES = frozenset(ResultCode) - set(UNDECIDED_CODES)
LOG = structlog.get_logger('orders')


class OrderForwarder(LeaderClient):
    """Forwards orders to the leader from a daemon or a control instance.

    An order that reaches the leader twice is executed once, because its change
    id is in the log.
    """

    max_backoff_seconds = 0.1

    def __init__(
        self,
        root: Root,
        network: PeerNetwork,
        finder: LeaderFinder,
        instance: str,
        own_address: Address | None = None,
    ):
        super().__init__(root, network, finder, channel='orders')
        self.instance = instance
        self.own_address = own_address
        # Returns a daemon that may be able to reach a leader, or None.
        self.find_relay_daemon: Callable[[], Address | None] = lambda: None
        network.subscribe(OrderAnswer, self.on_answer)

    # -- commands ---------------------------------------------------------

    def forward(
        self,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        maybe_appended: bool = False,
    ) -> None:
        """Forward an order until ``give_up_at``; ``done`` is called once.

        An order above the limit of concurrent ones is rejected at once.
        ``maybe_appended`` means that the order may already be in the log.
        """
        if len(self.pending_requests) >= MAX_FORWARDED_ORDERS:
            LOG.warning('order_not_carried', order=order.change.short_id)
            done(PublishReport(undecided_code(maybe_appended), self.instance))
            return
        change = order.change
        request = OrderRequest(
            kind=order.kind,
            change_id=change.change_id,
            base_version=change.base_version,
            chosen_version=change.chosen_version,
            body=order.body,
        )
        self.submit(request, give_up_at, give_up_at, done, maybe_appended)

    def note_leader(self, address: Address) -> None:
        """Record the leader and send it all pending orders."""
        self.finder.note_leader(address)
        for pending in list(self.pending_requests.values()):
            pending.silent.discard(address)
            pending.asked = None
            self.ask(pending)

    def withdraw(self) -> list[LeaderRequest]:
        """Stop forwarding and return all pending orders."""
        pending_requests = list(self.pending_requests.values())
        self.pending_requests.clear()
        for pending in pending_requests:
            if pending.timer is not None:
                pending.timer.cancel()
        return pending_requests

    def next_address(self, pending: LeaderRequest) -> Address | None:
        """Return the next address to ask.

        While no leader is known, every other request goes through a daemon:
        control instances that can't reach each other may still be reachable
        from daemons.
        """
        pending.message.relayed = False
        relay = None
        if (
            pending.hinted is None
            and pending.attempt_count % CONTROL_REQUEST_INTERVAL
        ):
            relay = self.find_relay_daemon()
        if relay is None:
            return super().next_address(pending)
        pending.message.relayed = True
        return relay

    def ask_next(self, pending: LeaderRequest) -> None:
        """Ask the next address; give up early if none is reachable.

        That is the case when every control instance has been asked and no
        connection to one is up.
        """
        control = self.finder.control
        reached = any(
            self.network.is_established(address) for address in control
        )
        if reached or pending.attempt_count < len(control):
            super().ask_next(pending)
        else:
            self.schedule(pending, self.now(), self.give_up)

    def give_up(self, pending: LeaderRequest) -> None:
        code = undecided_code(pending.is_maybe_appended())
        self.report_outcome(pending, PublishReport(code, self.instance))

    def report_outcome(
        self, pending: LeaderRequest, report: PublishReport
    ) -> None:
        """Report the outcome and log how it was obtained."""
        LOG.info(
            'order_carried',
            order=pending.message.change_id[:LOGGED_ID_LENGTH],
            code=int(report.code),
            via=str(pending.asked or ''),
            asked=pending.attempt_count,
            seconds=round(self.now() - pending.began_at, 3),
        )
        self.finish(pending, report)

    # -- answers ----------------------------------------------------------

    def on_answer(self, link: Link, answer: OrderAnswer) -> None:
        pending = self.pending_requests.get(answer.request_id)
        if pending is None or link.address is None:
            return
        if answer.code == ResultCode.NOT_LEADER:
            self.on_not_leader(pending, link, self.hinted(answer))
        elif answer.code in FINAL_CODES:
            if not pending.message.relayed:
                self.finder.note_leader(link.address)
            self.report_outcome(
                pending, report_from_answer(answer, self.instance)
            )
        else:
            self.on_no_quorum(pending, link)

    def hinted(self, answer: OrderAnswer) -> Address | None:
        """Return the leader's address from an answer, unless it is our own."""
        try:
            address = Address.parse(answer.leader_address or '')
        except ValueError:
            return None
        return None if address == self.own_address else address


def undecided_code(is_maybe_appended: bool) -> ResultCode:
    """Return the result code of an order without an outcome."""
    if is_maybe_appended:
        return ResultCode.CHANGE_UNKNOWN
    return ResultCode.NOT_LEADER


def order_from_request(request: OrderRequest) -> Order:
    """Return the order that a request contains."""
    change = Change(
        change_id=request.change_id or '',
        base_version=request.base_version or 0,
        chosen_version=request.chosen_version or 0,
    )
    return Order(request.kind or '', change, request.body or b'')


def answer_from_report(
    request: OrderRequest, report: PublishReport, leader: Address | None = None
) -> OrderAnswer:
    """Return the answer message for the outcome of an order."""
    return OrderAnswer(
        request_id=request.request_id,
        code=int(report.code),
        version=report.version,
        current_version=report.current_version,
        detail=report.summary(),
        leader_address=str(leader) if leader else '',
    )


def report_from_answer(answer: OrderAnswer, instance: str) -> PublishReport:
    return PublishReport(
        ResultCode(answer.code),
        instance,
        answer.version or 0,
        answer.current_version or 0,
        answer.detail or '',
    )
