"""Web server that imports ``circuits.web`` on the first request.

Its pages serve operators and metric collectors. Many daemons run for hours
without such a request, and ``circuits.web`` takes some megabytes of memory.
"""

from collections.abc import Callable
from collections.abc import Iterable

from circuits.core.components import BaseComponent
from circuits.core.events import Event
from circuits.core.handlers import handler

from cyclamenlift.core.streams import Address
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.limits import HttpLimits
from cyclamenlift.http.server import HttpServer


class pages_ready(Event):  # noqa: N801 (circuits names handlers so)
    """Queued behind the registration events of the controllers."""


class LazyWebServer(BaseComponent):
    """Listens immediately; creates its controllers on the first request."""

    def __init__(
        self,
        root,
        address: Address,
        make_controllers: Callable[[], Iterable],
        limits: HttpLimits | None = None,
        channel: str = 'admin',
    ):
        super().__init__(channel=channel)
        self.make_controllers = make_controllers
        self.bridge = None
        self.queued: list[Exchange] | None = None
        self.register(root)
        self.http = HttpServer(
            root.poller, limits or HttpLimits(), self.take, f'{channel}-http'
        ).register(self)
        self.address = self.http.listen(address)

    def take(self, exchange: Exchange) -> None:
        """Handle one request.

        Controllers are registered by events. The first requests are queued
        until these events have been handled, since no path is routed before.
        """
        if self.bridge is None:
            self.bridge = self.create_bridge()
            self.queued = []
            self.fire(pages_ready(), self.channel)
        if self.queued is not None:
            self.queued.append(exchange)
            return
        self.bridge.take(exchange)

    @handler('pages_ready')
    def _on_pages_ready(self) -> None:
        queued, self.queued = self.queued or [], None
        for exchange in queued:
            self.bridge.take(exchange)

    def create_bridge(self):
        from cyclamenlift.http.web import WebBridge

        bridge = WebBridge(self.address, f'{self.channel}-web')
        bridge.register(self)
        for controller in self.make_controllers():
            controller.register(self)
        return bridge

    def begin_drain(self) -> None:
        """Accept no new connections; finish the requests in flight."""
        self.http.begin_drain()

    @property
    def busy(self) -> int:
        """Requests in flight."""
        return self.http.busy
