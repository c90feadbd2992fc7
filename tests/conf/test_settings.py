"""Settings: flags over environment, every problem at once."""

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


def test_flag_wins_over_environment_and_both_over_default(monkeypatch):
    monkeypatch.setenv('CYCLAMENLIFT_SLOTS', '6')
    monkeypatch.setenv('CYCLAMENLIFT_CLUSTER', 'dundee')
    found = load_settings(DaemonSettings, {**NAMES, 'slots': 9}).unwrap()
    assert (found.slots, found.cluster) == (9, 'dundee')
    assert found.log_format == 'json'


def test_every_wrong_setting_is_listed_at_once():
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
def test_addresses_come_with_commas_or_as_a_sequence(value):
    found = load_settings(DaemonSettings, {**NAMES, 'seeds': value}).unwrap()
    assert found.seeds == ('a:1', 'b:2')


@pytest.mark.parametrize(
    'flags', [{'service': 'prices'}, {'target': '127.0.0.1:1'}]
)
def test_service_and_target_go_together(flags):
    assert load_settings(DaemonSettings, {**NAMES, **flags}).failure()


def test_control_needs_its_data_folder():
    (problem,) = load_settings(ControlSettings, NAMES).failure()
    assert problem.where == 'data'


def test_misspelt_variable_is_noticed(monkeypatch):
    monkeypatch.setenv('CYCLAMENLIFT_SLOTZ', '6')
    assert unknown_environment() == ['CYCLAMENLIFT_SLOTZ']
