"""Metrics of a control instance, read on each request for ``/metrics``.

``CONTROL_METRICS`` defines their names, units and descriptions. All values
are local to the instance. Claims are answered by the current leader, so a
count for the cluster is the sum over its instances.
"""

from collections.abc import Callable
from collections.abc import Iterable

from cyclamenlift.core.metrics import MetricInfo
from cyclamenlift.core.metrics import MetricKind
from cyclamenlift.core.metrics import Metrics
from cyclamenlift.core.metrics import Reading
from cyclamenlift.events.context import ControlContext
from cyclamenlift.ledger.server import ClaimServer
from cyclamenlift.replication.queries import ReplicaStatus
from cyclamenlift.replication.queries import Role
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict

COMMITS = MetricInfo(
    'cyclamenlift.control.commits',
    MetricKind.COUNTER,
    '{entry}',
    'log entries known to be committed, over all time',
)
TERM = MetricInfo(
    'cyclamenlift.control.term',
    MetricKind.GAUGE,
    '{term}',
    'term of the replicated log; it rises with each election',
)
ROLE = MetricInfo(
    'cyclamenlift.control.role',
    MetricKind.GAUGE,
    '{instance}',
    '1 for the role that this instance has, 0 for the others',
    ('role',),
)
LOG_INDEX = MetricInfo(
    'cyclamenlift.control.log.index',
    MetricKind.GAUGE,
    '{entry}',
    'index of the last entry in the log of this instance',
)
APPLIED_INDEX = MetricInfo(
    'cyclamenlift.control.log.applied',
    MetricKind.GAUGE,
    '{entry}',
    'index of the last entry that took effect here',
)
CLAIMS_HELD = MetricInfo(
    'cyclamenlift.control.claims.held',
    MetricKind.GAUGE,
    '{key}',
    'keys that the ledger holds',
)
CLAIMS_ANSWERED = MetricInfo(
    'cyclamenlift.control.claims.answered',
    MetricKind.COUNTER,
    '{claim}',
    'claims that this instance answered, by verdict',
    ('verdict',),
)
VERSION = MetricInfo(
    'cyclamenlift.control.config.version',
    MetricKind.GAUGE,
    '{version}',
    'version of the event document that took effect here, 0 for none',
)
EVACUATED = MetricInfo(
    'cyclamenlift.control.evacuated',
    MetricKind.GAUGE,
    '{data_centre}',
    'data centres that are evacuated, as this instance has applied the log',
)
WITHHELD = MetricInfo(
    'cyclamenlift.control.gossip.withheld',
    MetricKind.COUNTER,
    '{record}',
    'records that answers to members left out for want of budget',
)
CONTROL_METRICS = (
    COMMITS,
    TERM,
    ROLE,
    LOG_INDEX,
    APPLIED_INDEX,
    CLAIMS_HELD,
    CLAIMS_ANSWERED,
    VERSION,
    EVACUATED,
    WITHHELD,
)


class ControlMetrics:
    """Observable instruments that read the parts of a control instance."""

    def __init__(self, context: ControlContext, claims: ClaimServer):
        self.context = context
        self.claims = claims
        self.metrics = Metrics(context.instance, context.data_centre)
        self.watch(COMMITS, lambda: self.status().commit_index)
        self.watch(TERM, lambda: self.status().term)
        self.observe(ROLE, self.roles)
        self.watch(LOG_INDEX, lambda: self.status().last_index)
        self.watch(APPLIED_INDEX, lambda: self.status().applied_index)
        self.watch(CLAIMS_HELD, lambda: len(context.ledger))
        self.observe(CLAIMS_ANSWERED, self.verdicts)
        self.watch(VERSION, lambda: context.store.version)
        self.watch(EVACUATED, lambda: len(context.evacuations.evacuated()))

    def status(self) -> ReplicaStatus:
        return self.context.replica.status()

    def watch(self, info: MetricInfo, read: Callable[[], float]) -> None:
        """Register a metric whose single value is ``read()``."""
        self.observe(info, lambda: [Reading(read())])

    def observe(
        self, info: MetricInfo, read: Callable[[], Iterable[Reading]]
    ) -> None:
        """Register a metric whose readings ``read`` returns."""
        self.metrics.observe(info, read)

    def roles(self) -> list[Reading]:
        current = self.status().role
        return [
            Reading(int(role is current), {'role': role.value})
            for role in Role
        ]

    def verdicts(self) -> list[Reading]:
        counts = self.claims.verdicts
        return [
            Reading(counts[verdict], {'verdict': verdict.name.lower()})
            for verdict in ClaimVerdict
        ]

    def render(self) -> bytes:
        """Return all metrics in the Prometheus text format."""
        return self.metrics.render_prometheus()
