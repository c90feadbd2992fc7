"""Settings: precedence of sources and reporting of all problems."""

import pytest

from cyclamenlift.conf.settings import ControlSettings
from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.conf.settings import load_settings
from cyclamenlift.conf.settings import unknown_environment
from cyclamenlift.core.codes import ResultCode

NAMES = {'instance': 'a1', 'data_centre': 'bole'}


@pytest.fixture(autouse=True)
def no_environment(monkeypatch):
    for name in unknown_environment():
        monkeypatch.delenv(name)


def test_flag_overrides_environment_and_both_override_default(monkeypatch):
    monkeypatch.setenv('CYCLAMENLIFT_SLOTS', '6')
    monkeypatch.setenv('CYCLAMENLIFT_CLUSTER', 'dundee')
    found = load_settings(DaemonSettings, {**NAMES, 'slots': 9}).unwrap()
    assert (found.slots, found.cluster) == (9, 'dundee')
    assert found.log_format == 'json'


def test_all_invalid_settings_are_reported_together():
    flags = {
        'data_centre': 'b c',
        'slots': 0,
        'entry_listen': 'here',
        'seeds': 'a:1,b',
        'colour': 'red',
    }
    problems = load_settings(DaemonSettings, flags).failure()
    found = {p.where: p.code for p in problems}
    assert found['instance'] == ResultCode.SETTING_MISSING
    wrong = {'data_centre', 'slots', 'entry_listen', 'seeds', 'colour'}
    assert wrong <= set(found)
    assert all(p.advice() for p in problems)


@pytest.mark.parametrize('value', ['a:1,b:2', ('a:1', 'b:2')])
def test_address_list_accepts_commas_or_a_sequence(value):
    found = load_settings(DaemonSettings, {**NAMES, 'seeds': value}).unwrap()
    assert found.seeds == ('a:1', 'b:2')


@pytest.mark.parametrize(
    'value, wrong',
    [
        ('a:1,b', ['b']),
        (('a:1', 'b'), ['b']),
        ('b,a:1,c,d:x', ['b', 'c', 'd:x']),
    ],
)
@pytest.mark.parametrize('from_environment', [False, True])
def test_each_invalid_address_is_reported_once(
    monkeypatch, value, wrong, from_environment
):
    flags = {**NAMES, 'seeds': value}
    if from_environment:
        del flags['seeds']
        text = value if isinstance(value, str) else ','.join(value)
        monkeypatch.setenv('CYCLAMENLIFT_SEEDS', text)
    problems = load_settings(DaemonSettings, flags).failure()
    assert [p.where for p in problems] == ['seeds'] * len(wrong)
    for problem, entry in zip(problems, wrong, strict=True):
        assert repr(entry) in problem.detail
        assert 'CYCLAMENLIFT_SEEDS' in problem.advice()


def test_environment_separates_addresses_by_commas(monkeypatch):
    monkeypatch.setenv('CYCLAMENLIFT_SEEDS', 'a:1, b:2')
    found = load_settings(DaemonSettings, NAMES).unwrap()
    assert found.seeds == ('a:1', 'b:2')


@pytest.mark.parametrize(
    'flags', [{'service': 'prices'}, {'target': '127.0.0.1:1'}]
)
def test_service_and_target_require_each_other(flags):
    assert load_settings(DaemonSettings, {**NAMES, **flags}).failure()


def test_control_requires_a_data_folder():
    (problem,) = load_settings(ControlSettings, NAMES).failure()
    assert problem.where == 'data'


def test_misspelt_variable_is_reported(monkeypatch):
    monkeypatch.setenv('CYCLAMENLIFT_SLOTZ', '6')
    assert unknown_environment() == ['CYCLAMENLIFT_SLOTZ']
