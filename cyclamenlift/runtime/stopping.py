"""How a daemon stops without cutting off a call.

Callers learn late that a daemon stops, and go on to use the connections
that they have. So the entry works on for a while, then takes no new
connections, and the process ends in a moment in which nothing is in flight
and no connection can bring anything more.
"""

import typing

import structlog

if typing.TYPE_CHECKING:
    from cyclamenlift.runtime.daemon import DaemonNode

LOG = structlog.get_logger('daemon')
# Peers need this long to learn of a drain before the gate goes away.
FAREWELL_SECONDS = 1.0
# How often it is looked whether all is done, in seconds. It is also how
# long the last connections have to bring what their callers had sent, and
# the peers to hear that this instance leaves.
IDLE_CHECK_SECONDS = 0.05


class OrderlyStop:
    """The steps of one daemon's stop, from the order to its end."""

    def __init__(self, node: 'DaemonNode'):
        self.node = node
        self.scheduler = node.scheduler
        self.deadline = 0.0

    def begin(self) -> None:
        """Tell callers with each answer; the gate and entry work on."""
        node = self.node
        settings = node.settings
        now = self.scheduler.clock.now()
        self.deadline = now + settings.drain_seconds
        LOG.info('stop_began', open_calls=len(node.calls.open_calls))
        node.entry.begin_closing()
        farewell = max(FAREWELL_SECONDS, settings.farewell_seconds)
        # The gate works on while callers learn of the stop: its target is
        # out of use only from its drain until the next daemon has begun.
        self.scheduler.after(farewell - FAREWELL_SECONDS, node.drain)
        self.scheduler.after(settings.farewell_seconds, node.entry.begin_drain)
        self.scheduler.after(farewell + IDLE_CHECK_SECONDS, self.check_idle)

    def check_idle(self) -> None:
        """Leave once nothing is in flight, at the latest by the deadline.

        Idle connections are ended here and not when the process ends: a
        request that came in between would be cut off.
        """
        now = self.scheduler.clock.now()
        if not self.is_idle() and now < self.deadline:
            self.scheduler.after(IDLE_CHECK_SECONDS, self.check_idle)
            return
        self.node.entry.end_idle()
        self.node.membership.leave()
        self.scheduler.after(IDLE_CHECK_SECONDS, self.finish)

    def is_idle(self) -> bool:
        """Tell whether no call is in flight, as entry or as gate."""
        node = self.node
        if node.entry.busy or not node.calls.is_idle():
            return False
        if node.claims.pending_requests or node.forwarder.pending_requests:
            return False
        return node.gate is None or node.gate.is_idle()

    def finish(self) -> None:
        """Close everything and end the loop."""
        node = self.node
        LOG.info('stopped', open_calls=len(node.calls.open_calls))
        node.membership.stop()
        node.network.close_all()
        node.entry.close_all()
        node.admin.http.close_all()
        node.loop.stop()
