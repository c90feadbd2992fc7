"""Replica processes that are killed, frozen, restarted or lose a disk."""

import shutil
import signal

import pytest

from bench.replication_cluster import Processes
from cyclamenlift.core.codes import ResultCode
from tests.replication.builders import NAMES


@pytest.fixture
def cluster(tmp_path):
    with Processes(tmp_path, NAMES) as processes:
        yield processes


def test_killed_leader_loses_nothing(cluster):
    for number in range(1, 4):
        leader = cluster.leader()
        cluster.propose(f'change-{number}')
        leader.kill()
        assert cluster.leader().ask('read')['size'] == number
        cluster.restart(leader.name)


def test_frozen_leader_serves_nothing_stale_after_it_resumes(cluster):
    old = cluster.leader()
    cluster.propose('before')
    old.send_signal(signal.SIGSTOP)
    cluster.propose('after', without=old.name)
    old.sock.sendall(b'read\npropose late\n')
    old.send_signal(signal.SIGCONT)
    answers = [old.ask('status'), old.ask('read'), old.ask('propose', 'x')]
    codes = {answer.get('code') for answer in answers}
    assert ResultCode.NOT_LEADER in codes
    assert not any(answer.get('size') == 1 for answer in answers)


def test_lost_disk_is_repaired_then_a_second_one_is_lost(cluster):
    cluster.propose('one')
    first, second = [n for n in NAMES if n != cluster.leader().name]
    cluster.instances[first].kill()
    shutil.rmtree(cluster.folder / first)
    cluster.propose('two')
    blank = cluster.restart(first).ask('status')['storage_id']
    cluster.wait_for(lambda: row(cluster, first)['storage_id'] == blank)
    assert not row(cluster, first)['counts']
    assert 'answer' in cluster.leader().ask('replace', first, blank)
    cluster.wait_for(lambda: complete(row(cluster, first)))
    cluster.instances[second].kill()
    shutil.rmtree(cluster.folder / second)
    for name in NAMES:
        if name != second:
            cluster.instances[name].kill()
            cluster.restart(name)
    assert cluster.leader().ask('read')['size'] == 2


def row(cluster, name) -> dict:
    status = cluster.leader().ask('status')
    return next(i for i in status['instances'] if i['instance'] == name)


def complete(instance: dict) -> bool:
    return all(instance[n] for n in ('counts', 'caught_up', 'reachable'))


def test_restart_after_500_changes_recovers_the_current_state(cluster):
    leader = cluster.leader()
    for number in range(500):
        leader.ask('propose', number)
    for instance in cluster.instances.values():
        instance.kill()
    for name in NAMES:
        cluster.restart(name)
    assert cluster.leader().ask('read')['size'] == 500
