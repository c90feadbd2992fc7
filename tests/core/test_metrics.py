"""Recording, rendering and documentation of metrics."""

import pathlib

import pytest

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.metrics import INFO
from cyclamenlift.core.metrics import METRICS
from cyclamenlift.core.metrics import Metrics
from cyclamenlift.core.metrics import result_class
from cyclamenlift.core.metrics import ResultClass

PAGE = pathlib.Path(__file__).parents[2] / 'docs/reference/metrics.md'
CALLS = (
    ('price', ResultCode.ANSWERED, 0.010, 0.001),
    ('price', ResultCode.ANSWERED, 0.020, 0.002),
    ('price', ResultCode.DRAINING, 0.001, None),
    ('survey', ResultCode.PEER_LOST, 0.5, None),
)
SERVICE_LINES = (
    ('calls_total', 'price', 'result="answered"', 2),
    ('calls_total', 'price', 'result="not_run"', 1),
    ('calls_total', 'survey', 'result="unknown"', 1),
    ('calls_refused_total', 'price', 'code="2002"', 1),
    ('call_added_seconds', 'price', 'quantile="0.99"', 0.002),
)


def value_of(text: str, *parts: str) -> float:
    lines = [
        line
        for line in text.splitlines()
        if not line.startswith('#') and all(part in line for part in parts)
    ]
    assert len(lines) == 1, (parts, text)
    return float(lines[0].rsplit(' ', 1)[1])


@pytest.fixture
def metrics():
    found = Metrics('one', 'bole')
    yield found
    found.close()


@pytest.mark.parametrize('name, service, attribute, expected', SERVICE_LINES)
def test_finished_calls_are_reported_by_service(
    metrics, name, service, attribute, expected
):
    for call in CALLS:
        metrics.record_call(*call)
    text = metrics.render_prometheus().decode()
    found = value_of(
        text, f'cyclamenlift_{name}{{', f'service="{service}"', attribute
    )
    assert found == pytest.approx(expected, rel=0.02)


def test_latencies_are_counted_in_cumulative_buckets(metrics):
    for call in CALLS:
        metrics.record_call(*call)
    text = metrics.render_prometheus().decode()
    name = 'cyclamenlift_call_latency_seconds'
    for bound, count in (('0.01', 1), ('0.025', 3), ('+Inf', 3)):
        parts = (f'{name}_bucket{{', f'le="{bound}"', 'service="price"')
        assert value_of(text, *parts) == count
    assert value_of(text, f'{name}_count{{', 'service="price"') == 3
    total = value_of(text, f'{name}_sum{{', 'service="price"')
    assert total == pytest.approx(0.031, rel=0.05)


def test_watched_value_is_read_on_each_scrape(metrics):
    members = [3]
    metrics.watch('cyclamenlift.members', lambda: members[0])
    assert value_of(metrics.render_prometheus().decode(), 'members') == 3
    members[0] = 5
    assert value_of(metrics.render_prometheus().decode(), 'members') == 5


def test_instances_have_separate_registries(metrics):
    other = Metrics('two', 'yeka')
    other.record_call('price', ResultCode.ANSWERED, 0.1)
    assert 'service="price"' not in metrics.render_prometheus().decode()
    other.close()


@pytest.mark.parametrize('code', list(ResultCode))
def test_every_code_has_a_class(code):
    assert (result_class(code) is ResultClass.OTHER) == (code >= 5000)


def test_the_page_lists_exactly_the_metrics_of_the_code():
    rows = [
        tuple(cell.strip().strip('`') for cell in line.strip('|').split('|'))
        for line in PAGE.read_text().splitlines()
        if line.startswith('| `')
    ]
    expected = [
        (
            info.name,
            info.kind.value,
            info.unit,
            ', '.join(info.attributes) or 'none',
            info.description,
        )
        for info in METRICS
    ]
    assert rows == expected
    assert len(INFO) == len(METRICS)
