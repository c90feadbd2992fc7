"""Burn of services from daemon snapshots, and its three formats."""

import http.server
import json
import threading
import xml.etree.ElementTree

import pytest

from cyclamenlift.cli.registry import ExitStatus
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.reports.burn import run
from cyclamenlift.reports.burn import run_command
from cyclamenlift.reports.models import read_snapshot
from cyclamenlift.reports.queries import burn
from cyclamenlift.reports.rendering import to_html
from cyclamenlift.reports.state import BUCKETS
from cyclamenlift.reports.state import BurnCounters
from cyclamenlift.reports.state import counts_towards_objective
from cyclamenlift.reports.state import meets_objective
from tests.reports.builders import rules
from tests.reports.builders import snapshot

ALL_GOOD = [(100, 100)] * BUCKETS
# Half of the calls of the current minute are bad.
BAD_NOW = [(100, 50)] + [(100, 100)] * (BUCKETS - 1)
BAD_HOUR_AGO = [(100, 100)] * (BUCKETS - 1) + [(100, 50)]


def burn_of(*given):
    (found,) = burn([read_snapshot(value).unwrap() for value in given])
    return found


@pytest.mark.parametrize(
    'given, short, long, left, worst',
    [
        ([snapshot()], 0, 0, 1, ''),
        ([snapshot(minutes=ALL_GOOD)], 0, 0, 1, ''),
        ([snapshot(minutes=BAD_NOW)], 10, 0.8333, 0.1667, 'bole'),
        ([snapshot(minutes=BAD_HOUR_AGO)], 0, 0.8333, 0.1667, 'bole'),
        (
            [snapshot('bole', ALL_GOOD), snapshot('yeka', BAD_NOW)],
            5,
            0.4167,
            0.5833,
            'yeka',
        ),
        ([snapshot(minutes=[(10, 0)])], 100, 100, -99, 'bole'),
    ],
)
def test_burn_and_budget_are_computed_from_the_minutes(
    given, short, long, left, worst
):
    found = burn_of(*given)
    assert found.short_burn == pytest.approx(short, rel=1e-3)
    assert found.long_burn == pytest.approx(long, rel=1e-3)
    assert found.budget_left == pytest.approx(left, rel=1e-3)
    assert found.worst_data_centre == worst


def test_newest_objective_applies_and_fast_burn_comes_first():
    old = snapshot('bole', ALL_GOOD, version=2)
    new = snapshot(
        'yeka',
        BAD_NOW,
        version=9,
        objectives={
            'prices': {'seconds': 0.1, 'share': 0.9},
            'idle': {'seconds': 0.1, 'share': 0.9},
        },
    )
    found = burn([read_snapshot(value).unwrap() for value in (old, new)])
    assert [b.service for b in found] == ['prices', 'idle']
    assert found[0].objective_share == 0.9


@pytest.mark.parametrize(
    'code, seconds, counts, good',
    [
        (ResultCode.ANSWERED, 0.05, True, True),
        (ResultCode.ANSWERED_FROM_RECORD, 0.05, True, True),
        (ResultCode.ANSWERED, 0.2, True, False),
        (ResultCode.OVERLOADED, 0.01, True, False),
        (ResultCode.PEER_LOST, 0.01, True, False),
        (ResultCode.KEY_REQUIRED, 0.01, False, False),
    ],
)
def test_which_calls_count_and_which_are_good(code, seconds, counts, good):
    rule = rules().services['prices']
    assert counts_towards_objective(code) is counts
    assert meets_objective(code, seconds, rule) is good


def test_recorded_calls_are_reported_by_age():
    windows = BurnCounters('one', 'bole')
    for now, good in ((0, True), (30, False), (61, True), (7_300, True)):
        windows.record('prices', good, 0.05, float(now))
    given = windows.to_snapshot(7_310.0, rules())
    found = read_snapshot(json.loads(json.dumps(given))).unwrap()
    prices = found.services['prices']
    assert (prices.total, prices.good) == (4, 3)
    assert prices.minutes[0] == (1, 1)
    assert sum(total for total, _ in prices.minutes) == 1
    assert prices.p99_us == pytest.approx(50_000, rel=0.02)
    assert (found.event, found.version) == ('morning-prices', 3)
    younger = windows.to_snapshot(3_000.0, None)['services']['prices']
    assert [pair for pair in younger['minutes'] if pair[0]] == [[1, 1], [2, 1]]


@pytest.mark.parametrize(
    'value',
    [
        None,
        [],
        {},
        snapshot(objectives={'prices': {'seconds': 0.1, 'share': 1.0}}),
        snapshot(minutes=[(1, 1)] * (BUCKETS + 1)),
        snapshot(minutes=[(-1, 0)]),
    ],
)
def test_invalid_snapshot_is_reported_as_unreadable(value):
    problem = read_snapshot(value).failure()
    assert problem.code == ResultCode.DOCUMENT_UNREADABLE


def test_page_is_escaped_and_fits_a_phone_screen():
    value = snapshot(
        minutes=BAD_NOW,
        objectives={'<prices>': {'seconds': 0.1, 'share': 0.99}},
    )
    page = to_html(burn([read_snapshot(value).unwrap()]), ['127.0.0.1:1'])
    assert '<prices>' not in page
    assert 'width=device-width' in page
    assert 'No figures from 127.0.0.1:1.' in page
    drawing = page[page.index('<svg') : page.index('</svg>') + 6]
    assert xml.etree.ElementTree.fromstring(drawing) is not None


@pytest.fixture
def daemon():
    """Serve a snapshot as the admin address of a daemon does."""
    body = json.dumps(snapshot(minutes=BAD_NOW)).encode()

    class Page(http.server.BaseHTTPRequestHandler):
        def do_GET(self):  # noqa: N802
            self.send_response(200 if self.path == '/burn' else 404)
            self.send_header('Content-Length', str(len(body)))
            self.end_headers()
            self.wfile.write(body)

        def log_message(self, *_args):
            pass

    server = http.server.HTTPServer(('127.0.0.1', 0), Page)
    threading.Thread(target=server.serve_forever, daemon=True).start()
    yield Address(*server.server_address)
    server.shutdown()
    server.server_close()


def test_command_reads_daemons_and_writes_all_formats(
    daemon, capsys, tmp_path
):
    page = tmp_path / 'burn.html'
    flags = {'addresses': str(daemon), 'json': 'True', 'html': str(page)}
    assert run_command(flags) == ExitStatus.SUCCESS
    found = json.loads(capsys.readouterr().out)
    assert found['services'][0]['short_burn'] == pytest.approx(10)
    assert '<svg' in page.read_text()
    assert run([daemon], as_json=False) == ExitStatus.SUCCESS
    assert 'prices' in capsys.readouterr().out


@pytest.mark.parametrize(
    'flags, status',
    [
        ({'addresses': 'nowhere'}, ExitStatus.USAGE_ERROR),
        ({'bogus': '1'}, ExitStatus.USAGE_ERROR),
        ({'addresses': '127.0.0.1:1'}, ExitStatus.FAILED),
        ({'help': 'True'}, ExitStatus.SUCCESS),
    ],
)
def test_wrong_usage_and_unreachable_daemons_set_the_exit_status(
    flags, status
):
    assert run_command(flags) == status
