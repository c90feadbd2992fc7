"""Reading what a target says of itself in the header of a response."""

import pytest

from cyclamenlift.http.dialects import DEFAULT_DIALECT
from cyclamenlift.http.target_reports import parse_cold_seconds
from cyclamenlift.http.target_reports import parse_load
from cyclamenlift.http.target_reports import parse_report
from cyclamenlift.http.target_reports import TargetLoad
from cyclamenlift.http.target_reports import TargetReport
from tests.runtime.builders import platform_like_dialect

DIALECT = platform_like_dialect()


@pytest.mark.parametrize(
    'values, rate',
    [
        (['25.3'], 25.3),
        (['0'], 0.0),
        (['0.25'], 0.25),
        (['999999999999'], 999999999999.0),
        (['10', '2.1'], 2.1),
        (['10, 2.1'], 2.1),
        (['many, 7'], 7.0),
    ],
)
def test_the_lowest_declared_limit_holds(values, rate):
    # Guards against a limit that is passed over because it is odd, or since
    # the field is there twice.
    headers = [('x-limit', value) for value in values]
    report = parse_report(headers, DIALECT)
    assert report.calls_per_second == rate
    assert report.could_read('x-limit')


@pytest.mark.parametrize(
    'value', ['', '-1', 'nan', 'inf', '1e3', '+5', '1.', '１', '9' * 400]
)
def test_an_unreadable_limit_is_told_from_none(value):
    # Guards against an unreadable limit that ends the one before it.
    report = parse_report([('x-limit', value)], DIALECT)
    assert report.calls_per_second is None
    assert not report.could_read('x-limit')
    assert len(report.unreadable[0].value) <= 40


@pytest.mark.parametrize(
    'value, leaving, readable',
    [('1', True, True), (' 1 ', True, True), ('0', False, False)],
)
def test_only_the_stated_value_means_that_a_target_leaves(
    value, leaving, readable
):
    # Guards against a target taken out by a value of unknown meaning.
    report = parse_report([('x-leaving', value)], DIALECT)
    assert report.leaving == leaving
    assert report.could_read('x-leaving') == readable


def test_all_statements_of_a_response_are_read_together():
    # Guards against a statement with no reader.
    headers = [
        ('x-load', '1,2,3,400'),
        ('x-cold', '1500'),
        ('x-limit', '2.5'),
        ('x-leaving', '1'),
    ]
    assert parse_report(headers, DIALECT) == TargetReport(
        TargetLoad(1, 2, 3, 400), 1.5, 2.5, True
    )


def test_a_dialect_without_these_fields_reads_nothing():
    # Guards against fields of another dialect taken for statements.
    headers = [('x-limit', '2.5'), ('x-leaving', '1')]
    assert parse_report(headers, DEFAULT_DIALECT) == TargetReport()


# Guards against fields whose digits int() refuses to read.
@pytest.mark.parametrize('number', ['9' * 5_000, '\u00b2', '\u0663'])
def test_numbers_that_can_not_be_read_are_no_report(number):
    assert parse_cold_seconds(number) is None
    assert parse_load(f'1,0,{number}') is None
