"""Accepts orders on daemons and forwards them to the leader."""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.events.order_forwarding import answer_from_report
from cyclamenlift.events.order_forwarding import order_from_request
from cyclamenlift.events.order_forwarding import OrderForwarder
from cyclamenlift.events.orders import log_received
from cyclamenlift.events.orders import MAX_FORWARDED_BYTES
from cyclamenlift.events.orders import Order
from cyclamenlift.events.orders import ORDER_TIMEOUT_SECONDS
from cyclamenlift.events.orders import OrderDone
from cyclamenlift.events.publish_report import PublishReport
from cyclamenlift.wire.gen.protocol.ttypes import OrderRequest
from cyclamenlift.wire.tasks import Link

# How long a daemon tries to forward a control instance's order, in seconds.
RELAY_SECONDS = 0.4


class DaemonOrderHandler:
    """Accepts orders on a daemon and forwards all of them."""

    def __init__(self, forwarder: OrderForwarder):
        self.forwarder = forwarder
        forwarder.network.subscribe(OrderRequest, self.on_request)

    def handle(self, order: Order, remote: Address, done: OrderDone) -> None:
        """Process an order from an operator."""
        log_received(order, remote, leads=False)
        give_up_at = self.forwarder.now() + ORDER_TIMEOUT_SECONDS
        self.forwarder.forward(order, give_up_at, done)

    def accepts_size(self, body_length: int | None) -> bool:
        """Return whether an order body of this length is accepted."""
        return body_length is not None and body_length <= MAX_FORWARDED_BYTES

    def read(self, _done) -> bool:
        """Return False: only control instances serve documents."""
        return False

    def on_request(self, link: Link, request: OrderRequest) -> None:
        """Forward an order for a control instance that reaches no leader.

        Any other sender has mistaken this daemon for a control instance and is
        told that it doesn't lead.
        """

        def reply(report: PublishReport) -> None:
            link.send(answer_from_report(request, report))

        if request.relayed:
            give_up_at = self.forwarder.now() + RELAY_SECONDS
            self.forwarder.forward(
                order_from_request(request), give_up_at, reply
            )
        else:
            code = ResultCode.NOT_LEADER
            reply(PublishReport(code, self.forwarder.instance))

    def alternate_address(self) -> Address | None:
        """Return None: callers know other daemons to retry at."""
        return None

    def location(self) -> Address | None:
        """Return the leader, or a control instance that is connected."""
        network = self.forwarder.network
        return self.forwarder.finder.choose(None, network.is_established)
