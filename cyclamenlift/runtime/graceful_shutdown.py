"""Graceful shutdown of a daemon.

Callers notice a shutdown late and keep using their open connections. The
entry therefore keeps serving for a while and then stops accepting
connections. The process exits once no call is in flight and no connection
can deliver another request.
"""

import typing

import structlog

if typing.TYPE_CHECKING:
    from cyclamenlift.runtime.daemon import DaemonNode

LOG = structlog.get_logger('daemon')
# Time for peers to learn of a drain before the gate closes.
DRAIN_NOTICE_SECONDS = 1.0
# Interval of the checks for idleness, in seconds. Also the time that the
# last connections have to deliver data that was already sent, and that peers
# have to receive the leave message.
IDLE_CHECK_SECONDS = 0.05


class GracefulShutdown:
    """Runs the shutdown sequence of one daemon."""

    def __init__(self, node: 'DaemonNode'):
        self.node = node
        self.scheduler = node.scheduler
        self.deadline = 0.0

    def begin(self) -> None:
        """Announce the shutdown in each answer and schedule the next steps."""
        node = self.node
        settings = node.settings
        now = self.scheduler.clock.now()
        self.deadline = now + settings.drain_seconds
        LOG.info('stop_began', open_calls=len(node.calls.open_calls))
        node.entry.begin_closing()
        gate_seconds = max(DRAIN_NOTICE_SECONDS, settings.farewell_seconds)
        # The gate stays open while callers learn of the shutdown: its target
        # is unused only from the drain until the next daemon has started.
        self.scheduler.after(gate_seconds - DRAIN_NOTICE_SECONDS, node.drain)
        self.scheduler.after(settings.farewell_seconds, node.entry.begin_drain)
        self.scheduler.after(
            gate_seconds + IDLE_CHECK_SECONDS, self.check_idle
        )

    def check_idle(self) -> None:
        """Leave the cluster once idle, or when the deadline has passed.

        Idle connections are closed here, not at process exit: a request that
        arrived in between would be cut off.
        """
        now = self.scheduler.clock.now()
        if not self.is_idle() and now < self.deadline:
            self.scheduler.after(IDLE_CHECK_SECONDS, self.check_idle)
            return
        self.node.entry.end_idle()
        self.node.membership.leave()
        self.scheduler.after(IDLE_CHECK_SECONDS, self.finish)

    def is_idle(self) -> bool:
        """Whether neither the entry nor the gate has a call in flight."""
        node = self.node
        if node.entry.busy or not node.calls.is_idle():
            return False
        if node.claims.pending_requests or node.forwarder.pending_requests:
            return False
        return node.gate is None or node.gate.is_idle()

    def finish(self) -> None:
        """Close all connections and stop the event loop."""
        node = self.node
        LOG.info('stopped', open_calls=len(node.calls.open_calls))
        node.membership.stop()
        node.network.close_all()
        node.entry.close_all()
        node.admin.http.close_all()
        node.loop.stop()
