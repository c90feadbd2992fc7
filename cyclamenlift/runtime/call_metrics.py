"""Metrics and burn rate statistics of a daemon."""

import typing

from cyclamenlift.accounts.queries import accounts_in_doubt
from cyclamenlift.accounts.queries import passed_readings
from cyclamenlift.accounts.queries import refused_readings
from cyclamenlift.calls.call import Call
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.metrics import INFO
from cyclamenlift.core.metrics import Metrics
from cyclamenlift.core.metrics import Reading
from cyclamenlift.quarantine.queries import quarantined
from cyclamenlift.reports.state import BurnCounters
from cyclamenlift.reports.state import counts_towards_objective
from cyclamenlift.reports.state import meets_objective

if typing.TYPE_CHECKING:
    from cyclamenlift.runtime.daemon import DaemonNode

SERVER_ERROR = 500
# Exported while the target declares no limit; 0 is a limit.
NO_LIMIT_FIGURE = -1.0


class CallMetrics:
    """Records finished calls and reads gauges when metrics are collected."""

    def __init__(self, node: 'DaemonNode'):
        self.node = node
        settings = node.settings
        self.metrics = Metrics(settings.instance, settings.data_centre)
        self.burn = BurnCounters(settings.instance, settings.data_centre)
        node.calls.finished_hooks.append(self.on_finished)
        self.watch()

    def on_finished(self, call: Call, code: ResultCode) -> None:
        """Record a call, unless its caller disconnected before the answer."""
        if call.caller_disconnected:
            return
        now = self.node.scheduler.clock.now()
        seconds = now - call.exchange.received_at
        added = None
        if call.service_seconds is not None:
            added = seconds - call.service_seconds
        self.metrics.record_call(call.service, int(code), seconds, added)
        if counts_towards_objective(code):
            good = meets_objective(code, seconds, call.request.rule)
            good = good and call.status < SERVER_ERROR
            self.burn.record(call.service, good, seconds, now)

    def burn_snapshot(self) -> dict[str, object]:
        """Return the statistics for ``cyclamenlift report burn``."""
        now = self.node.scheduler.clock.now()
        return self.burn.to_snapshot(now, self.node.follower.rules)

    def watch(self) -> None:
        node = self.node
        watch = self.metrics.watch
        members = node.membership
        watch('cyclamenlift.calls.open', lambda: len(node.calls.open_calls))
        watch('cyclamenlift.gossip.sent', lambda: members.counters.bytes_out)
        watch(
            'cyclamenlift.gossip.received', lambda: members.counters.bytes_in
        )
        watch(
            'cyclamenlift.gossip.refused',
            lambda: members.counters.strangers + members.counters.malformed,
        )
        watch(
            'cyclamenlift.gossip.withheld', lambda: members.counters.withheld
        )
        self.metrics.observe(
            INFO['cyclamenlift.wire.far'],
            lambda: [
                Reading(size, {'message': kind})
                for kind, size in node.network.far_bytes.items()
            ],
        )
        watch('cyclamenlift.members', lambda: len(members.members()))
        watch('cyclamenlift.config.version', lambda: node.follower.version)
        watch('cyclamenlift.evacuated', lambda: len(node.routing.evacuated))
        self.watch_accounts(node.account_limits)
        state = node.quarantine
        watch(
            'cyclamenlift.requests.quarantined',
            lambda: quarantined(state.history, state.now()),
        )
        self.metrics.watch(
            'cyclamenlift.calls.errors', lambda: node.calls.failed_calls
        )
        if node.gate is not None:
            self.watch_gate(node.gate)

    def watch_accounts(self, limits) -> None:
        self.metrics.observe(
            INFO['cyclamenlift.accounts.passed'],
            lambda: passed_readings(limits),
        )
        self.metrics.observe(
            INFO['cyclamenlift.accounts.refused'],
            lambda: refused_readings(limits),
        )
        self.metrics.watch(
            'cyclamenlift.accounts.in_doubt',
            lambda: accounts_in_doubt(limits),
        )
        self.metrics.watch(
            'cyclamenlift.accounts.home', lambda: len(limits.home.accounts)
        )
        self.metrics.watch(
            'cyclamenlift.accounts.keys_refused',
            lambda: self.node.calls.keys_refused,
        )

    def watch_gate(self, gate) -> None:
        watch = self.metrics.watch
        watch('cyclamenlift.gate.refused', lambda: gate.refused)
        watch('cyclamenlift.gate.sent', lambda: gate.sent)
        watch(
            'cyclamenlift.gate.errors',
            lambda: gate.failed_calls + gate.client.failed_connections,
        )
        watch(
            'cyclamenlift.gate.target_limit',
            lambda: limit_figure(
                gate.state.start_limits.declared.calls_per_second
            ),
        )
        watch('cyclamenlift.gate.probes', lambda: gate.budget.answered)
        watch('cyclamenlift.gate.in_flight', lambda: len(gate.state.running))
        watch('cyclamenlift.gate.queued', lambda: len(gate.state.queue))
        watch('cyclamenlift.targets.ended', lambda: gate.termination.ended)


def limit_figure(calls_per_second: float | None) -> float:
    """Return a declared limit as it is exported.

    >>> limit_figure(2.5), limit_figure(None)
    (2.5, -1.0)
    """
    return NO_LIMIT_FIGURE if calls_per_second is None else calls_per_second
