"""An address with pages whose code is loaded with the first request.

Pages are for people and collectors of metrics. Many daemons run for hours
without a request for one, and ``circuits.web`` takes some megabytes.
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
    """Fired behind the registration of the pages, so it comes after."""


class LazyWebServer(BaseComponent):
    """Listens at once; ``make_controllers`` runs with the first request."""

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
        self.early: list[Exchange] | None = None
        self.register(root)
        self.http = HttpServer(
            root.poller, limits or HttpLimits(), self.take, f'{channel}-http'
        ).register(self)
        self.address = self.http.listen(address)

    def take(self, exchange: Exchange) -> None:
        """Take one request for a page.

        Controllers are registered by events, so the first requests wait
        until these have been handled: before that no page has a path.
        """
        if self.bridge is None:
            self.bridge = self.make_bridge()
            self.early = []
            self.fire(pages_ready(), self.channel)
        if self.early is not None:
            self.early.append(exchange)
            return
        self.bridge.take(exchange)

    @handler('pages_ready')
    def _on_pages_ready(self) -> None:
        early, self.early = self.early or [], None
        for exchange in early:
            self.bridge.take(exchange)

    def make_bridge(self):
        from cyclamenlift.http.web import WebBridge

        bridge = WebBridge(self.address, f'{self.channel}-web')
        bridge.register(self)
        for controller in self.make_controllers():
            controller.register(self)
        return bridge

    def begin_drain(self) -> None:
        """Take no new connections; requests in flight are answered."""
        self.http.begin_drain()

    @property
    def busy(self) -> int:
        """Requests in flight."""
        return self.http.busy
