"""Forwards orders to the leader."""

from collections.abc import Callable

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.events.commands import Change
from cyclamenlift.events.commands import LOGGED_ID_LENGTH
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import UNDECIDED_CODES
from cyclamenlift.events.reports import PublishReport
from cyclamenlift.ledger.errands import Errand
from cyclamenlift.ledger.errands import LeaderErrands
from cyclamenlift.ledger.finder import LeaderFinder
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


class OrderForwarder(LeaderErrands):
    """Forwards orders to the leader from a daemon or a control instance.

    An order that reaches the leader twice is executed once, because its change
    id is in the log.
    """

    max_spacing_seconds = 0.1

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
        was_taken: bool = False,
    ) -> None:
        """Forward an order until ``give_up_at``; ``done`` is called once.

        An order above the limit of concurrent ones is rejected at once.
        ``was_taken`` means that the order may already be in the log.
        """
        if len(self.errands) >= MAX_FORWARDED_ORDERS:
            LOG.warning('order_not_carried', order=order.change.short_id)
            done(PublishReport(undecided_code(was_taken), self.instance))
            return
        change = order.change
        request = OrderRequest(
            kind=order.kind,
            change_id=change.change_id,
            base_version=change.base_version,
            chosen_version=change.chosen_version,
            body=order.body,
        )
        self.begin(request, give_up_at, give_up_at, done, was_taken)

    def note_leader(self, address: Address) -> None:
        """Record the leader and send it all pending orders."""
        self.finder.note_leader(address)
        for errand in list(self.errands.values()):
            errand.silent.discard(address)
            errand.asked = None
            self.ask(errand)

    def withdraw(self) -> list[Errand]:
        """Stop forwarding and return all pending orders."""
        errands = list(self.errands.values())
        self.errands.clear()
        for errand in errands:
            if errand.timer is not None:
                errand.timer.cancel()
        return errands

    def next_place(self, errand: Errand) -> Address | None:
        """Return the next address to ask.

        While no leader is known, every other request goes through a daemon:
        control instances that can't reach each other may still be reachable
        from daemons.
        """
        errand.message.relayed = False
        relay = None
        if errand.hinted is None and errand.hops % CONTROL_REQUEST_INTERVAL:
            relay = self.find_relay_daemon()
        if relay is None:
            return super().next_place(errand)
        errand.message.relayed = True
        return relay

    def ask_next(self, errand: Errand) -> None:
        """Ask the next address; give up early if none is reachable.

        That is the case when every control instance has been asked and no
        connection to one is up.
        """
        control = self.finder.control
        reached = any(self.network.is_up(address) for address in control)
        if reached or errand.hops < len(control):
            super().ask_next(errand)
        else:
            self.plan(errand, self.now(), self.give_up)

    def give_up(self, errand: Errand) -> None:
        code = undecided_code(errand.maybe_taken())
        self.report_outcome(errand, PublishReport(code, self.instance))

    def report_outcome(self, errand: Errand, report: PublishReport) -> None:
        """Report the outcome and log how it was obtained."""
        LOG.info(
            'order_carried',
            order=errand.message.change_id[:LOGGED_ID_LENGTH],
            code=int(report.code),
            via=str(errand.asked or ''),
            asked=errand.hops,
            seconds=round(self.now() - errand.began_at, 3),
        )
        self.finish(errand, report)

    # -- answers ----------------------------------------------------------

    def on_answer(self, link: Link, answer: OrderAnswer) -> None:
        errand = self.errands.get(answer.request_id)
        if errand is None or link.address is None:
            return
        if answer.code == ResultCode.NOT_LEADER:
            self.on_not_leader(errand, link, self.hinted(answer))
        elif answer.code in FINAL_CODES:
            if not errand.message.relayed:
                self.finder.note_leader(link.address)
            self.report_outcome(
                errand, report_from_answer(answer, self.instance)
            )
        else:
            self.on_lost_leader(errand, link)

    def hinted(self, answer: OrderAnswer) -> Address | None:
        """Return the leader's address from an answer, unless it is our own."""
        try:
            address = Address.parse(answer.leader_address or '')
        except ValueError:
            return None
        return None if address == self.own_address else address


def undecided_code(maybe_taken: bool) -> ResultCode:
    """Return the result code of an order without an outcome."""
    if maybe_taken:
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
