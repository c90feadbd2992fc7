"""Operators' orders: every instance accepts and completes them."""

import time

import pytest

from tests.platform.builders import as_body
from tests.platform.builders import configuration
from tests.platform.builders import route
from tests.platform.fleet import Fleet
from tests.platform.fleet import PATCH
from tests.platform.fleet import REPLACE

# Maximum time from the first sending of an order to its answer, in seconds.
ACK_SECONDS = 4.0


@pytest.fixture
def fleet(tmp_path):
    started = Fleet(tmp_path, control=3, daemons=1)
    yield started
    started.close()


def added_route(version: int) -> bytes:
    """Return the body of an order that adds a route."""
    rules = [route(f'r-{version}', f'/v{version}/')]
    hosts = [{'host': 'a.example', 'path_rules': rules}]
    return as_body({'version': version, 'upsert': {'virtual_hosts': hosts}})


# Guards against a single point of failure: with a follower that only
# redirects to the leader, both have to answer in turn.
def test_a_follower_answers_orders_itself(fleet):
    leader = fleet.publish_first()
    version = 1
    for host in fleet.control:
        if host == leader:
            continue
        whole = as_body(configuration(version=version + 1))
        assert fleet.ask(host, REPLACE, whole, version).status == 200
        part = added_route(version + 2)
        assert fleet.ask(host, PATCH, part, version + 1).status == 200
        version += 2


# Guards against lost acknowledgements: an order is repeated at an instance
# other than the leader, which has the outcome in its log.
def test_order_repeated_elsewhere_gets_its_first_answer(fleet):
    leader = fleet.publish_first()
    order = added_route(2)
    assert fleet.ask(leader, PATCH, order, 1).status == 200
    lost = as_body(configuration(version=9))
    assert fleet.ask(leader, REPLACE, lost, 1).status == 412
    for host in [*fleet.control, *fleet.daemons]:
        assert fleet.ask(host, PATCH, order, 1).status == 200
        assert fleet.ask(host, REPLACE, lost, 1).status == 412


# Guards against too few endpoints: if only control instances accept orders
# and two of five are unreachable, every other request of an operator waits a
# second for its timeout.
def test_daemon_forwards_orders_to_the_leader(fleet):
    fleet.publish_first()
    (daemon,) = fleet.daemons
    fleet.ask_until(daemon, PATCH, added_route(2), 1)
    assert fleet.ask(daemon, PATCH, added_route(4), 2).status == 200
    assert fleet.ask(daemon, PATCH, added_route(6), 2).status == 412
    assert fleet.ask(daemon, REPLACE, b'{"version":8}', 4).status == 400


# Guards against redirects to a leader that has just hung: operators time out
# after a second and back off longer before each retry.
def test_orders_are_answered_while_the_leader_is_frozen(fleet):
    leader = fleet.publish_first()
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


# Guards against operators who keep using an instance that is partitioned from
# all others and are refused there until the partition ends.
def test_partitioned_instance_redirects_to_a_daemon(fleet):
    leader = fleet.publish_first()
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
