"""Operators' orders: each instance that takes one sees it through."""

import time

import pytest

from tests.platform.builders import as_body
from tests.platform.builders import configuration
from tests.platform.builders import route
from tests.platform.fleet import Fleet
from tests.platform.fleet import PATCH
from tests.platform.fleet import REPLACE

# The most that an order may take, from its first sending, in seconds.
ACK_SECONDS = 4.0


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path, control=3, daemons=1)
    yield started
    started.close()


def added_route(version: int) -> bytes:
    """Return an order that adds one route."""
    rules = [route(f'r-{version}', f'/v{version}/')]
    hosts = [{'host': 'a.example', 'path_rules': rules}]
    return as_body({'version': version, 'upsert': {'virtual_hosts': hosts}})


# Guards against an order whose every way leads through one instance: a
# follower that only names the leader takes two answers in a row to be heard.
def test_a_follower_answers_orders_itself(fleet):
    leader = fleet.found()
    version = 1
    for host in fleet.control:
        if host == leader:
            continue
        whole = as_body(configuration(version=version + 1))
        assert fleet.ask(host, REPLACE, whole, version).status == 200
        part = added_route(version + 2)
        assert fleet.ask(host, PATCH, part, version + 1).status == 200
        version += 2


# Guards against an acknowledgement that is lost for good: the order comes
# again at an instance that does not lead, which has the outcome in its log.
def test_an_order_that_comes_again_elsewhere_gets_its_first_answer(fleet):
    leader = fleet.found()
    order = added_route(2)
    assert fleet.ask(leader, PATCH, order, 1).status == 200
    lost = as_body(configuration(version=9))
    assert fleet.ask(leader, REPLACE, lost, 1).status == 412
    for host in [*fleet.control, *fleet.daemons]:
        assert fleet.ask(host, PATCH, order, 1).status == 200
        assert fleet.ask(host, REPLACE, lost, 1).status == 412


# Guards against few doors: with orders taken by control instances alone,
# two dark ones of five cost an operator a second at each other visit.
def test_a_daemon_takes_orders_for_the_leader(fleet):
    fleet.found()
    (daemon,) = fleet.daemons
    fleet.ask_until(daemon, PATCH, added_route(2), 1)
    assert fleet.ask(daemon, PATCH, added_route(4), 2).status == 200
    assert fleet.ask(daemon, PATCH, added_route(6), 2).status == 412
    assert fleet.ask(daemon, REPLACE, b'{"version":8}', 4).status == 400


# Guards against callers who are sent to a leader that has just frozen: they
# wait a second for nothing, and longer before each further try.
def test_orders_are_answered_while_the_leader_is_frozen(fleet):
    leader = fleet.found()
    fleet.ask_until(fleet.daemons[0], PATCH, added_route(2), 1)
    fleet.freeze(leader)
    frozen_at = time.monotonic()
    doors = [h for h in fleet.control if h != leader] + fleet.daemons
    version = 2
    while time.monotonic() - frozen_at < 2.5:
        host = doors[version // 2 % len(doors)]
        order = added_route(version + 2)
        assert fleet.ask_until(host, PATCH, order, version) < ACK_SECONDS
        version += 2
    assert version > 8


# Guards against callers who stay with an instance that is cut off from all
# others and are refused there for as long as the cut lasts.
def test_an_instance_that_reaches_nobody_names_a_daemon(fleet):
    leader = fleet.found()
    (daemon,) = fleet.daemons
    fleet.ask_until(daemon, PATCH, added_route(2), 1)
    alone = next(host for host in fleet.control if host != leader)
    for host in fleet.control:
        if host != alone:
            fleet.freeze(host)
    fleet.freeze(daemon)
    deadline = time.monotonic() + 10
    answer = fleet.ask(alone, PATCH, added_route(4), 2, seconds=3.0)
    while answer.status != 307 and time.monotonic() < deadline:
        answer = fleet.ask(alone, PATCH, added_route(4), 2, seconds=3.0)
    assert answer.location.startswith(f'http://{daemon}:')
