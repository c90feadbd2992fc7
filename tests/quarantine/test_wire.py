"""Validation of reports received from peers."""

import pytest

from cyclamenlift.quarantine.wire import from_wire
from cyclamenlift.quarantine.wire import MAX_FINGERPRINTS
from cyclamenlift.quarantine.wire import to_wire
from cyclamenlift.wire.gen.protocol.ttypes import EndReport
from tests.quarantine.builders import end
from tests.quarantine.builders import name


def build_end_report(**fields) -> EndReport:
    values = {
        'report_id': 'r',
        'service_name': 'prices',
        'fingerprints': [name('a')],
        'age_ms': 5,
        'lifted': False,
        'ran_ms': [3],
        **fields,
    }
    return EndReport(**values)


def test_times_are_sent_as_ages():
    report = end(10.0, 'a', 'b')
    there = from_wire(to_wire(report, 10.5), 100.0)
    assert there.at == pytest.approx(99.5)
    assert there.begun_at == pytest.approx((99.4, 99.4), abs=0.002)
    assert there.fingerprints == report.fingerprints


@pytest.mark.parametrize(
    'wrong',
    [
        {'report_id': ''},
        {'report_id': None},
        {'report_id': 'x' * 1000},
        {'service_name': None},
        {'fingerprints': [b'short']},
        {'fingerprints': None},
        {'fingerprints': [name('a')] * (MAX_FINGERPRINTS + 1)},
        {'age_ms': -1},
        {'age_ms': None},
        {'ran_ms': []},
        {'ran_ms': [-1]},
        {'ran_ms': None},
    ],
    ids=repr,
)
def test_invalid_reports_are_rejected(wrong):
    assert from_wire(build_end_report(**wrong), 0.0) is None
