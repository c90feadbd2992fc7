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


def node(*without: str) -> DaemonNode:
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
def made():
    nodes = []

    def make(*without: str) -> DaemonNode:
        nodes.append(node(*without))
        return nodes[-1]

    yield make
    for one in nodes:
        one.entry.close_all()
        one.network.close_all()


@pytest.mark.parametrize('name', sorted(MECHANISMS))
def test_a_daemon_starts_without_any_of_them(made, name):
    one = made(name)
    assert one.disable_mechanisms() == []
    one.on_rules(rules())
    assert MECHANISMS.get(name).benefit


def test_an_unknown_name_is_a_numbered_problem(made):
    problems = made('hedges', 'luck').disable_mechanisms()
    assert [p.code for p in problems] == [ResultCode.SETTING_INVALID]
    assert 'luck' in problems[0].line()
    assert 'hedges' in problems[0].hint


def test_nothing_is_left_out_where_nothing_is_named(made):
    assert made().disable_mechanisms() == []
    assert unknown_mechanisms(()) == []


def test_slots_are_not_learned_without_crowding(made):
    one = made('slots_by_crowding')
    one.disable_mechanisms()
    one.gate.set_slots(15)
    assert one.gate.state.room == 15


def test_hedges_are_off_in_every_document(made):
    one = made('hedges')
    one.disable_mechanisms()
    one.on_rules(rules(hedge=True))
    assert not one.calls.rules.services['prices'].hedge
