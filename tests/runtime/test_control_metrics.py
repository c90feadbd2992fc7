"""Metrics of a control instance and their reference page."""

import pathlib

from prometheus_client.parser import text_string_to_metric_families
import pytest

from cyclamenlift.events.commands import publish
from cyclamenlift.events.request_models import Publication
from cyclamenlift.ledger.server import ClaimServer
from cyclamenlift.replication.queries import ReplicaStatus
from cyclamenlift.replication.queries import Role
from cyclamenlift.runtime.control_metrics import CONTROL_METRICS
from cyclamenlift.runtime.control_metrics import ControlMetrics
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from tests.events.builders import control_context
from tests.events.builders import document
from tests.events.builders import FakeLink
from tests.events.builders import FakeNetwork
from tests.runtime.control_builders import change
from tests.runtime.control_builders import ControlCluster
from tests.runtime.control_builders import NAMES
from tests.runtime.control_builders import wait_until

PREFIX = 'cyclamenlift_control_'
PAGE = pathlib.Path(__file__).parents[2] / 'docs/reference/control-metrics.md'
STATUS = ReplicaStatus('a', Role.LEADER, 'a', 7, 12, 11, 10, 0, 's', True, ())


def values_of(text: str) -> dict[tuple[str, ...], float]:
    """Return values by metric name and role or verdict, if any."""
    found = {}
    for family in text_string_to_metric_families(text):
        for sample in family.samples:
            labels = sample.labels
            own = [labels[key] for key in ('role', 'verdict') if key in labels]
            found[sample.name.removeprefix(PREFIX), *own] = sample.value
    return found


def build_metrics():
    """Return the claim server and metrics of a scripted leader."""
    context = control_context()
    context.replica.status = lambda: STATUS
    claims = ClaimServer(
        FakeNetwork(), context.replica, context.ledger, 'a', 10, 10
    )
    change_ = Publication(
        document=document().decode(), base_version=0, change_id='x'
    )
    publish(context, change_, lambda _report: None)
    return claims, ControlMetrics(context, claims)


def test_values_match_the_state_of_the_parts():
    claims, metrics = build_metrics()
    for attempt in ('a1', 'a2', ''):
        request = ClaimRequest(1, 'sale', 'k', attempt, 9, 0, b'f')
        claims.on_claim(FakeLink(), request)
    claims.replica.leader = 'b'
    claims.on_claim(FakeLink(), request)
    found = values_of(metrics.render().decode())
    expected = {
        ('commits_total',): 11,
        ('term',): 7,
        ('log_index',): 12,
        ('log_applied',): 10,
        ('role', 'leader'): 1,
        ('role', 'follower'): 0,
        ('claims_held',): 1,
        ('claims_answered_total', 'granted'): 1,
        ('claims_answered_total', 'in_progress'): 1,
        ('claims_answered_total', 'refused'): 1,
        ('claims_answered_total', 'not_leader'): 1,
        ('claims_answered_total', 'no_majority'): 0,
        ('config_version',): 1,
    }
    assert {key: found.get(key) for key in expected} == expected


def test_the_page_lists_exactly_the_metrics_of_the_code():
    rows = [
        tuple(cell.strip().strip('`') for cell in line.strip('|').split('|'))
        for line in PAGE.read_text().splitlines()
        if line.startswith('| `')
    ]
    assert rows == [
        (
            info.name,
            info.kind.value,
            info.unit,
            ', '.join(info.attributes) or 'none',
            info.description,
        )
        for info in CONTROL_METRICS
    ]


@pytest.fixture
def cluster(tmp_path):
    started = ControlCluster(tmp_path)
    yield started
    started.close()


ROUNDS = 20


def read_roles(cluster, leaders: dict[float, set[str]]) -> dict:
    """Read all metrics pages and add who leads to ``leaders``, by term."""
    found = {name: values_of(cluster.text(name)) for name in NAMES}
    for name, values in found.items():
        if values['role', 'leader'] == 1:
            leaders.setdefault(values['term',], set()).add(name)
    return found


# Guards against two leaders of one term, and against a leader that does not
# report itself. The pages are read one after the other, so an election may
# fall between two of them: the promise is one leader a term, not at a time.
def test_a_real_leader_reports_itself(cluster):
    leaders: dict[float, set[str]] = {}

    def find_reporting_leader():
        leader = cluster.leader()
        values = read_roles(cluster, leaders)[leader]
        return values if values['role', 'leader'] == 1 else None

    cluster.publish(change('x', 0))
    values = wait_until(find_reporting_leader)
    assert values['config_version',] == 1
    assert values['commits_total',] >= 2
    for _ in range(ROUNDS):
        read_roles(cluster, leaders)
    assert leaders
    logs = {name: cluster.log(name) for name in NAMES}
    assert all(len(names) == 1 for names in leaders.values()), (leaders, logs)
