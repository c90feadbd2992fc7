"""Orders on their way to the leader."""

from collections.abc import Callable

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.scheduler import Root
from cyclamenlift.core.streams import Address
from cyclamenlift.events.commands import Change
from cyclamenlift.events.commands import SHOWN_ID
from cyclamenlift.events.orders import OPEN_CODES
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.reports import PublishReport
from cyclamenlift.ledger.finder import LeaderFinder
from cyclamenlift.ledger.leader_client import LeaderClient
from cyclamenlift.ledger.leader_client import LeaderRequest
from cyclamenlift.wire.gen.protocol.ttypes import OrderAnswer
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from cyclamenlift.wire.network import Link
from cyclamenlift.wire.network import PeerNetwork

# Orders on their way from one instance: with those of the largest size they
# take 2 MB. Operators have eight under way.
MOST_CARRIED = 64
# Of so many questions without a hint one goes to a control instance.
RELAY_EACH = 2
# What decides an order. A code of a later release decides nothing here.
FINAL_CODES = frozenset(ResultCode) - set(OPEN_CODES)
LOG = structlog.get_logger('orders')


class OrderCarrier(LeaderClient):
    """Carries orders to the leader, for a daemon or another instance.

    An order that comes to the leader twice is carried out once: its change
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
        # Returns a daemon that may reach a leader, None for none.
        self.find_relay: Callable[[], Address | None] = lambda: None
        network.subscribe(OrderAnswer, self.on_answer)

    # -- commands ---------------------------------------------------------

    def carry(
        self,
        order: Order,
        give_up_at: float,
        done: OrderDone,
        maybe_appended: bool = False,
    ) -> None:
        """Ask for an outcome until ``give_up_at``; ``done`` runs once.

        With too many under way an order is refused at once. ``maybe_appended``
        says that it may be in the log already.
        """
        if len(self.pending_requests) >= MOST_CARRIED:
            LOG.warning('order_not_carried', order=order.change.shown_id)
            done(PublishReport(open_code(maybe_appended), self.instance))
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
        """Ask the leader, now that it is known, for all that waits."""
        self.finder.note_leader(address)
        for pending in list(self.pending_requests.values()):
            pending.silent.discard(address)
            pending.asked = None
            self.ask(pending)

    def take_back(self) -> list[LeaderRequest]:
        """Ask nobody any more; return what was under way."""
        pending_requests = list(self.pending_requests.values())
        self.pending_requests.clear()
        for pending in pending_requests:
            if pending.timer is not None:
                pending.timer.cancel()
        return pending_requests

    def next_address(self, pending: LeaderRequest) -> Address | None:
        """Return whom to ask; at each other time a daemon, if none leads.

        Control instances may be cut off from each other and be reached by
        daemons all the same.
        """
        pending.message.relayed = False
        relay = None
        if pending.hinted is None and pending.attempt_count % RELAY_EACH:
            relay = self.find_relay()
        if relay is None:
            return super().next_address(pending)
        pending.message.relayed = True
        return relay

    def ask_next(self, pending: LeaderRequest) -> None:
        """Give up at once when all were asked and none can be reached."""
        control = self.finder.control
        reached = any(
            self.network.is_established(address) for address in control
        )
        if reached or pending.attempt_count < len(control):
            super().ask_next(pending)
        else:
            self.schedule(pending, self.now(), self.give_up)

    def give_up(self, pending: LeaderRequest) -> None:
        code = open_code(pending.is_maybe_appended())
        self.conclude(pending, PublishReport(code, self.instance))

    def conclude(self, pending: LeaderRequest, report: PublishReport) -> None:
        """Hand over an outcome, and tell how it was got."""
        LOG.info(
            'order_carried',
            order=pending.message.change_id[:SHOWN_ID],
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
            self.conclude(pending, report_of(answer, self.instance))
        else:
            self.on_no_quorum(pending, link)

    def hinted(self, answer: OrderAnswer) -> Address | None:
        """Return where the leader is by an answer, if not here."""
        try:
            address = Address.parse(answer.leader_address or '')
        except ValueError:
            return None
        return None if address == self.own_address else address


def open_code(is_maybe_appended: bool) -> ResultCode:
    """Return what is answered of an order that got no outcome."""
    if is_maybe_appended:
        return ResultCode.CHANGE_UNKNOWN
    return ResultCode.NOT_LEADER


def order_of(request: OrderRequest) -> Order:
    """Return the order of a message."""
    change = Change(
        change_id=request.change_id or '',
        base_version=request.base_version or 0,
        chosen_version=request.chosen_version or 0,
    )
    return Order(request.kind or '', change, request.body or b'')


def answer_of(
    request: OrderRequest, report: PublishReport, leader: Address | None = None
) -> OrderAnswer:
    """Return the message that tells what became of an order."""
    return OrderAnswer(
        request_id=request.request_id,
        code=int(report.code),
        version=report.version,
        current_version=report.current_version,
        detail=report.summary(),
        leader_address=str(leader) if leader else '',
    )


def report_of(answer: OrderAnswer, instance: str) -> PublishReport:
    return PublishReport(
        ResultCode(answer.code),
        instance,
        answer.version or 0,
        answer.current_version or 0,
        answer.detail or '',
    )
