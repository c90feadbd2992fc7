"""Evacuations through real programs, from the order to daemons and back.

Guards against orders that no instance takes, that are lost with a restart of
everything, and against daemons that do not learn them.
"""

import time

import pytest

from tests.platform.fleet import EVACUATE
from tests.platform.fleet import Fleet
from tests.platform.fleet import TAKE_BACK
from tests.platform.fleet import WAIT_SECONDS

# Time within which daemons send nothing more there, in seconds.
IN_FORCE_SECONDS = 5.0
# Time in which a daemon that has woken up handles what lay there, in seconds.
WAKING_SECONDS = 2.0


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path, control=3, daemons=1)
    yield started
    started.close()


def wait_for_line(fleet: Fleet, host: str, count: int, text: str) -> None:
    """Wait until the log of an instance has ``count`` such lines."""
    deadline = time.monotonic() + IN_FORCE_SECONDS
    while fleet.log(host).count(text) < count:
        assert time.monotonic() < deadline, fleet.log(host)[-2000:]
        time.sleep(0.05)


def order(fleet: Fleet, host: str, path: str, name: str) -> int:
    """Send an order until it gets a clear answer; return the status."""
    deadline = time.monotonic() + WAIT_SECONDS
    while time.monotonic() < deadline:
        status = fleet.ask(host, path + name, base=0).status
        if status in (200, 404, 409):
            return status
        time.sleep(0.05)
    raise AssertionError(fleet.log(host)[-2000:])


def test_every_instance_takes_orders_and_daemons_learn_them(fleet):
    leader = fleet.publish_first()
    (daemon,) = fleet.daemons
    follower = next(h for h in fleet.control if h != leader)
    for number, host in enumerate((daemon, follower, leader), start=1):
        assert order(fleet, host, EVACUATE, 'here') == 200
        assert order(fleet, host, EVACUATE, 'here') == 200
        wait_for_line(fleet, daemon, number, 'gate_evacuated')
        assert order(fleet, host, TAKE_BACK, 'here') == 200
        wait_for_line(fleet, daemon, number, 'gate_taken_back')
    assert order(fleet, daemon, EVACUATE, 'nowhere') == 404


def test_an_evacuation_survives_a_restart_of_everything(fleet):
    fleet.publish_first()
    assert order(fleet, fleet.control[0], EVACUATE, 'here') == 200
    hosts = [*fleet.control, *fleet.daemons]
    for host in hosts:
        fleet.kill(host)
    for host in fleet.control:
        fleet.start(host, 'control')
    (daemon,) = fleet.daemons
    seen = fleet.log(daemon).count('gate_evacuated')
    fleet.start(daemon, 'daemon')
    wait_for_line(fleet, daemon, seen + 1, 'gate_evacuated')
    assert order(fleet, daemon, TAKE_BACK, 'here') == 200
    wait_for_line(fleet, daemon, 1, 'gate_taken_back')


# Guards against the copy of an order that lay unread at a frozen instance,
# which takes the data centre back after it was evacuated anew.
@pytest.mark.parametrize('kind', ['daemon', 'control'])
def test_an_order_that_lay_at_a_frozen_instance_has_no_effect(fleet, kind):
    leader = fleet.publish_first()
    (daemon,) = fleet.daemons
    other, frozen = (h for h in fleet.control if h != leader)
    if kind == 'daemon':
        frozen = daemon
    assert order(fleet, other, EVACUATE, 'here') == 200
    wait_for_line(fleet, frozen, 1, 'evacuations_in_force')
    fleet.freeze(frozen)
    assert fleet.ask(frozen, TAKE_BACK + 'here', base=0).status == 0
    assert order(fleet, other, TAKE_BACK, 'here') == 200
    assert order(fleet, other, EVACUATE, 'here') == 200
    fleet.thaw(frozen)
    wait_for_line(fleet, frozen, 1, '"revision": 3')
    time.sleep(WAKING_SECONDS)
    for host in (frozen, other, leader):
        assert '"revision": 4' not in fleet.log(host)
