"""Accepts orders on daemons and forwards them to the leader."""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.events.carrying import answer_of
from cyclamenlift.events.carrying import order_of
from cyclamenlift.events.carrying import OrderCarrier
from cyclamenlift.events.orders import log_taken
from cyclamenlift.events.orders import MOST_CARRIED_BYTES
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.orders import PATIENCE_SECONDS
from cyclamenlift.events.reports import PublishReport
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from cyclamenlift.wire.tasks import Link

# How long a daemon tries to forward a control instance's order, in seconds.
RELAY_SECONDS = 0.4


class OrderDoor:
    """Accepts orders on a daemon and forwards all of them."""

    def __init__(self, carrier: OrderCarrier):
        self.carrier = carrier
        carrier.network.subscribe(OrderRequest, self.on_request)

    def take(self, order: Order, remote: Address, done: OrderDone) -> None:
        """Process an order from an operator."""
        log_taken(order, remote, leads=False)
        give_up_at = self.carrier.now() + PATIENCE_SECONDS
        self.carrier.carry(order, give_up_at, done)

    def takes(self, body_length: int | None) -> bool:
        """Return whether an order body of this length is accepted."""
        return body_length is not None and body_length <= MOST_CARRIED_BYTES

    def read(self, _done) -> bool:
        """Return False: only control instances serve documents."""
        return False

    def on_request(self, link: Link, request: OrderRequest) -> None:
        """Forward an order for a control instance that reaches no leader.

        Any other sender has mistaken this daemon for a control instance and is
        told that it doesn't lead.
        """

        def reply(report: PublishReport) -> None:
            link.send(answer_of(request, report))

        if request.relayed:
            give_up_at = self.carrier.now() + RELAY_SECONDS
            self.carrier.carry(order_of(request), give_up_at, reply)
        else:
            code = ResultCode.NOT_LEADER
            reply(PublishReport(code, self.carrier.instance))

    def elsewhere(self) -> Address | None:
        """Return None: callers know other daemons to retry at."""
        return None

    def place(self) -> Address | None:
        """Return the leader, or a control instance that is connected."""
        network = self.carrier.network
        return self.carrier.finder.choose(None, network.is_up)
