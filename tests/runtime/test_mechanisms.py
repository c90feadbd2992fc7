"""Every mechanism can be disabled by its registered name."""

import random

import pytest

from cyclamenlift.conf.settings import DaemonSettings
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.runtime.daemon import DaemonNode
from cyclamenlift.runtime.mechanisms import MECHANISMS
from cyclamenlift.runtime.mechanisms import unknown_mechanisms
from tests.runtime.builders import platform_like_dialect
from tests.runtime.builders import rules


def make_node(*without: str) -> DaemonNode:
    settings = DaemonSettings(
        instance='one',
        data_centre='here',
        control=('127.0.0.1:1',),
        entry_listen='127.0.0.1:0',
        peer_listen='127.0.0.1:0',
        gossip_listen='127.0.0.1:0',
        admin_listen='127.0.0.1:0',
        service='prices',
        target='127.0.0.1:1',
        without=without,
    )
    return DaemonNode(settings, random.Random(1), platform_like_dialect())


@pytest.fixture
def make_daemon():
    nodes = []

    def make(*without: str) -> DaemonNode:
        nodes.append(make_node(*without))
        return nodes[-1]

    yield make
    for daemon in nodes:
        daemon.entry.close_all()
        daemon.network.close_all()


@pytest.mark.parametrize('name', sorted(MECHANISMS))
def test_daemon_starts_without_any_one_mechanism(make_daemon, name):
    daemon = make_daemon(name)
    assert daemon.disable_mechanisms() == []
    daemon.on_rules(rules())
    assert MECHANISMS.get(name).benefit


def test_an_unknown_name_is_a_numbered_problem(make_daemon):
    problems = make_daemon('hedges', 'luck').disable_mechanisms()
    assert [p.code for p in problems] == [ResultCode.SETTING_INVALID]
    assert 'luck' in problems[0].line()
    assert 'hedges' in problems[0].hint


def test_no_mechanism_is_disabled_by_default(make_daemon):
    assert make_daemon().disable_mechanisms() == []
    assert unknown_mechanisms(()) == []


def test_slots_are_not_learned_without_crowding(make_daemon):
    daemon = make_daemon('slots_by_crowding')
    daemon.disable_mechanisms()
    daemon.gate.set_slots(15)
    assert daemon.gate.state.concurrency_limit == 15


def test_hedges_are_off_in_every_document(make_daemon):
    daemon = make_daemon('hedges')
    daemon.disable_mechanisms()
    daemon.on_rules(rules(hedge=True))
    assert not daemon.calls.rules.services['prices'].hedge
