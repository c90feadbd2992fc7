"""A control instance that lost its disk counts again in time."""

import json
import shutil
import time

from tests.platform.builders import as_body
from tests.platform.builders import configuration
from tests.platform.builders import route
from tests.platform.fleet import Fleet
from tests.platform.fleet import GET
from tests.platform.fleet import PATCH
from tests.platform.fleet import REPLACE

# ``catch_up``: an instance that is back counts as lost for so long, in
# seconds, and another disk may be lost afterwards.
CATCH_UP_SECONDS = 4.0
ROUTES = 1400
# Their log takes the empty disk longer than that to apply, one by one.
CHANGES = 200
ORDER_SECONDS = 10.0
# ``recover``: when all is served again after the last loss, in seconds.
RECOVER_SECONDS = 15.0


def large_configuration() -> dict:
    """Return a configuration with many routes of different names."""
    rules = [
        route(f'r-{n * 7919}', f'/{n * 104729:x}/') for n in range(ROUTES)
    ]
    hosts = [{'host': 'a.example', 'path_rules': rules}]
    return configuration(version=2, virtual_hosts=hosts)


def changed_timeout(version: int) -> bytes:
    """Return the body of an order that changes one route."""
    rules = [route('r-0', '/0/', timeout=f'{1000 + version}ms')]
    hosts = [{'host': 'a.example', 'path_rules': rules}]
    return as_body({'version': version, 'upsert': {'virtual_hosts': hosts}})


def logged(fleet: Fleet, host: str, event: str) -> list[dict]:
    """Return the log lines of an event."""
    lines = [json.loads(line) for line in fleet.log(host).splitlines()]
    return [line for line in lines if line['event'] == event]


def counting_storage(fleet: Fleet, leader: str, host: str) -> str:
    """Return the storage of an instance in the newest final voter set."""
    final = [v for v in logged(fleet, leader, 'voters_changed') if v['final']]
    return final[-1]['voters'].get(host, '')


def lose_disk(fleet: Fleet, host: str) -> None:
    """Start an instance again with an empty disk."""
    fleet.kill(host)
    shutil.rmtree(fleet.folder / host)
    fleet.start(host, 'control')


# Guards against an acknowledged configuration that is lost with a second
# disk, as the first one, long back, did not count yet after many changes.
def test_a_lost_disk_is_repaired_in_time_after_many_changes(tmp_path):
    fleet = Fleet(tmp_path, control=3, daemons=0)
    try:
        leader = fleet.publish_first()
        large = as_body(large_configuration())
        # As operators do: on a disk that stalls for a second an order gets
        # 504 and is sent again.
        fleet.ask_until(leader, REPLACE, large, 1, ORDER_SECONDS)
        for version in range(3, 3 + CHANGES):
            body = changed_timeout(version)
            fleet.ask_until(leader, PATCH, body, version - 1, ORDER_SECONDS)
        lost = next(host for host in fleet.control if host != leader)
        lose_disk(fleet, lost)
        time.sleep(CATCH_UP_SECONDS)
        storage_id = logged(fleet, lost, 'replica_started')[-1]['storage_id']
        assert counting_storage(fleet, leader, lost) == storage_id
    finally:
        fleet.close()


# Guards against a first configuration that is lost with two disks right after
# its confirmation, as only three of the five instances were voters by then.
def test_two_disks_lost_after_the_first_confirmation_lose_nothing(tmp_path):
    fleet = Fleet(tmp_path, control=5, daemons=0)
    try:
        leader = fleet.publish_first()
        other = next(h for h in fleet.control[:3] if h != leader)
        for host in (leader, other):
            lose_disk(fleet, host)
        deadline = time.monotonic() + RECOVER_SECONDS
        versions = set()
        while not versions and time.monotonic() < deadline:
            answers = [fleet.ask(host, GET) for host in fleet.control]
            versions = {a.value['version'] for a in answers if a.status == 200}
            time.sleep(0.1)
        assert versions == {1}
    finally:
        fleet.close()


# Guards against a system that never takes an order, as a seed was lost for
# good before it had voted for the first leader.
def test_a_seed_that_is_lost_at_the_first_start_is_not_waited_for(tmp_path):
    fleet = Fleet(tmp_path, control=5, daemons=0)
    try:
        lost, *others = fleet.control
        fleet.kill(lost)
        assert not logged(fleet, lost, 'leader_known')
        fleet.control = others
        leader = fleet.publish_first()
        voters = logged(fleet, leader, 'voters_changed')[-1]['voters']
        assert all(voters.get(host) for host in others)
    finally:
        fleet.close()
