"""Control instances as processes: kills, pauses, races, restarts."""

import random
import shutil
import signal
import threading
import time

import pytest

from cyclamenlift.cli.program import run
from cyclamenlift.core.tasks import build_root
from cyclamenlift.events.tasks import ConfigFollower
from cyclamenlift.ledger.tasks import ClaimClient
from cyclamenlift.wire.gen.protocol import ttypes
from cyclamenlift.wire.tasks import PeerNetwork
from tests.runtime.control_builders import change
from tests.runtime.control_builders import ControlCluster
from tests.runtime.control_builders import NAMES
from tests.runtime.control_builders import WAIT_SECONDS
from tests.runtime.control_builders import wait_until

ACCEPTED = 5000
CONFLICT = 5001
CHANGES = 500


@pytest.fixture
def cluster(tmp_path):
    started = ControlCluster(tmp_path, snapshot_entries=100)
    yield started
    started.close()


class ControlClients:
    """The clients of a daemon for control, on a loop driven by the test."""

    def __init__(self, cluster):
        self.loop = build_root()
        self.loop._running = True
        rng = random.Random(1)
        self.network = PeerNetwork(
            self.loop.poller, 'd', 'bole', 'cyclamenlift'
        ).register(self.loop)
        control = cluster.peer_addresses
        self.claims = ClaimClient(self.loop, self.network, control, rng)
        self.follower = ConfigFollower(self.loop, self.network, control, rng)

    def run_until(self, condition) -> None:
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            assert time.monotonic() < deadline, (
                'timed out waiting for a condition'
            )
            self.loop.tick(0.01)

    def claim(self, key: str, attempt: str, seconds=10.0):
        """Return the answer to a claim and its duration."""
        answers = []
        request = ttypes.ClaimRequest(0, 'sale', key, attempt, 0, 0, b'f')
        began = time.monotonic()
        self.claims.claim(request, began + seconds, answers.append)
        self.run_until(lambda: answers)
        return answers[0], time.monotonic() - began

    def claim_until(self, verdict, key: str, attempt: str):
        """Repeat a claim with new attempts until it returns ``verdict``."""
        for number in range(int(WAIT_SECONDS)):
            answer, _ = self.claim(key, f'{attempt}-{number}')
            if answer.verdict == verdict:
                return answer
            assert answer.verdict == ttypes.ClaimVerdict.NO_MAJORITY
        raise AssertionError('no majority was restored')

    def end(self, key: str, attempt: str) -> bool:
        ended = []
        record = ttypes.RecordedAnswer(201, [], b'booked', True)
        message = ttypes.ClaimEnd(
            0, 'sale', key, attempt, ttypes.ClaimEnding.ANSWERED, record
        )
        deadline = time.monotonic() + WAIT_SECONDS
        self.claims.end(message, deadline, ended.append)
        self.run_until(lambda: ended)
        return ended[0]


def test_one_of_two_publishers_wins_and_repeats_get_first_answers(cluster):
    cluster.leader()
    bodies = [change(f'p{number}', 0) for number in range(2)]
    answers = [{}, {}]

    def publish(number):
        answers[number] = cluster.publish(bodies[number])

    threads = [threading.Thread(target=publish, args=(n,)) for n in (0, 1)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    codes = [answer['code'] for answer in answers]
    assert sorted(codes) == [ACCEPTED, CONFLICT]
    loser = answers[codes.index(CONFLICT)]
    assert loser['current_version'] == 1
    cluster.kill(cluster.leader())
    again = [cluster.publish(body)['code'] for body in bodies]
    assert again == codes


def test_all_instances_recover_the_current_state_after_500_changes(cluster):
    cluster.leader()
    for number in range(CHANGES):
        made = cluster.publish(change(f'c{number}', number))
        assert (made['code'], made['version']) == (ACCEPTED, number + 1)
    for name in NAMES:
        cluster.kill(name)
    for name in NAMES:
        cluster.start(name)
    leader = cluster.leader()
    shown = cluster.get(leader, '/api/document')
    assert (shown['version'], shown['confirmed']) == (CHANGES, True)
    first = cluster.publish(change('c0', 0))
    assert (first['code'], first['version']) == (ACCEPTED, 1)
    assert cluster.publish(change('new', 0))['code'] == CONFLICT
    clients = ControlClients(cluster)
    clients.follower.start()
    clients.run_until(lambda: clients.follower.confirmed)
    assert clients.follower.version == CHANGES


def test_a_leader_without_its_majority_accepts_and_confirms_nothing(cluster):
    leader = cluster.leader()
    cluster.publish(change('x', 0))
    clients = ControlClients(cluster)
    granted, _ = clients.claim('k', 'a')
    assert granted.verdict == ttypes.ClaimVerdict.GRANTED
    others = [name for name in NAMES if name != leader]
    for name in others:
        cluster.signal(name, signal.SIGSTOP)
    refused, seconds = clients.claim('other', 'a', seconds=60.0)
    assert refused.verdict == ttypes.ClaimVerdict.NO_MAJORITY
    assert refused.retry_after_ms > 0
    assert seconds < 60.0 / 4
    assert cluster.post(leader, change('y', 1)) != ACCEPTED
    shown = cluster.get(leader, '/api/document')
    assert not shown['confirmed']
    for name in others:
        cluster.signal(name, signal.SIGCONT)
    cluster.leader()
    late = cluster.publish(change('y', 1))
    assert late['version'] == 2
    answer = clients.claim_until(ttypes.ClaimVerdict.IN_PROGRESS, 'k', 'b')
    assert answer.retry_after_ms > 0


def test_claim_survives_a_crash_of_the_leader(cluster):
    leader = cluster.leader()
    cluster.publish(change('x', 0))
    clients = ControlClients(cluster)
    answer, _ = clients.claim('k', 'a')
    assert answer.verdict == ttypes.ClaimVerdict.GRANTED
    cluster.kill(leader)
    assert clients.end('k', 'a')
    recorded = clients.claim_until(ttypes.ClaimVerdict.RECORDED, 'k', 'b')
    assert recorded.answer.body == b'booked'


def test_resumed_leader_does_not_confirm_without_a_majority(cluster):
    leader = cluster.leader()
    cluster.publish(change('x', 0))
    cluster.signal(leader, signal.SIGSTOP)
    process = cluster.processes.pop(leader)
    other = cluster.leader()
    assert cluster.post(other, change('y', 1)) == ACCEPTED
    cluster.processes[leader] = process
    cluster.signal(leader, signal.SIGCONT)
    shown = cluster.get(leader, '/api/document')
    assert shown['version'] == 2 or not shown['confirmed']


def test_second_disk_may_be_lost_after_the_first_is_replaced(cluster):
    leader = cluster.leader()
    assert cluster.publish(change('x', 0))['code'] == ACCEPTED
    lost = next(name for name in NAMES if name != leader)
    cluster.kill(lost)
    shutil.rmtree(cluster.folder / lost)
    cluster.start(lost)

    def replica_entry() -> dict:
        replica = cluster.get(leader, '/api/status')['replica']
        found = {item['instance']: item for item in replica['instances']}
        return found[lost]

    def new_storage_id() -> str:
        item = replica_entry()
        counted = item['storage_id'] == item['voter_storage_id']
        return '' if counted else item['storage_id']

    wait_until(new_storage_id)
    assert not replica_entry()['counts']
    consoles = ','.join(map(str, cluster.consoles))
    flags = ['--console', consoles]
    assert run(['replace-storage', lost, *flags]) == 0
    wait_until(
        lambda: replica_entry()['counts'] and replica_entry()['caught_up']
    )
    cluster.kill(leader)
    shutil.rmtree(cluster.folder / leader)
    assert cluster.publish(change('x', 0))['version'] == 1
    assert cluster.publish(change('y', 1))['version'] == 2


def test_bad_requests_are_numbered_and_change_nothing(cluster):
    leader = cluster.leader()
    bad = {'change_id': 'x', 'base_version': -1, 'document': ''}
    wrong = change('x', 0, '{"event": 1}')
    codes = [
        cluster.post(leader, bad),
        cluster.post(leader, {}),
        cluster.post(leader, wrong),
        cluster.get(leader, '/api/publish')['code'],
        cluster.get(leader, '/api/document?version=-1')['code'],
        cluster.get(leader, '/api/document?version=' + '9' * 40)['code'],
        cluster.get(leader, '/api/document?version=7')['code'],
        cluster.get(leader, '/api/nothing')['code'],
    ]
    assert codes == [4000, 4000, 5003, 4010, 4000, 4000, 4009, 4009]
    assert cluster.get(leader, '/api/status')['version'] == 0
    assert cluster.post(leader, change('x', 0)) == ACCEPTED


def test_a_graceful_stop_ends_with_status_0_and_frees_the_folder(cluster):
    leader = cluster.leader()
    cluster.publish(change('x', 0))
    process = cluster.processes[leader]
    process.send_signal(signal.SIGTERM)
    assert process.wait(WAIT_SECONDS) == 0
    cluster.start(leader)
    wait_until(lambda: cluster.get(leader, '/api/document').get('version'))


def test_a_second_process_on_one_folder_is_refused(cluster):
    cluster.leader()
    first = cluster.processes['a']
    cluster.start('a')
    second = cluster.processes['a']
    try:
        assert second.wait(WAIT_SECONDS) == 1
    finally:
        cluster.processes['a'] = first
    assert b'7002' in (cluster.folder / 'a.log').read_bytes()
