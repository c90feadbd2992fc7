"""Members with real sockets on loopback."""

import socket

import pytest

from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.membership.builders import SocketCluster

NAMES = 'abcdefgh'


@pytest.fixture
def cluster():
    found = SocketCluster()
    for name in NAMES:
        found.start(name)
    assert found.wait(lambda: found.all_see(NAMES))
    yield found
    found.close()


def test_a_drain_reaches_all_members_and_subscribers(cluster):
    seen = []
    cluster.members['b'].subscribe(seen.append)
    cluster.members['d'].announce(target_state=TargetState.DRAINING)
    assert cluster.wait(
        lambda: all(
            r.target_state == TargetState.DRAINING
            for r in cluster.records_of('d')
        )
    )
    assert [(r.instance, r.target_state) for r in seen] == [
        ('d', TargetState.DRAINING)
    ]


def test_a_leaving_member_is_removed_without_suspicion(cluster):
    cluster.members['e'].leave()
    cluster.kill('e')
    rest = NAMES.replace('e', '')
    assert cluster.wait(lambda: cluster.all_see(rest))
    assert {r.state for r in cluster.records_of('e')} == {MemberState.LEFT}
    found = [m.counters.suspicions for m in cluster.members.values()]
    assert sum(found) == 0


def test_a_killed_member_is_declared_dead_and_can_return(cluster):
    cluster.kill('f')
    rest = NAMES.replace('f', '')
    assert cluster.wait(lambda: cluster.all_see(rest))
    assert {r.state for r in cluster.records_of('f')} == {MemberState.DEAD}
    cluster.start('f', target_state=TargetState.STARTING)
    assert cluster.wait(lambda: cluster.all_see(NAMES))


def test_a_newer_version_is_reported_with_the_peer_that_has_it(cluster):
    seen = []
    cluster.members['c'].subscribe_version(lambda *found: seen.append(found))
    cluster.members['g'].announce(config_version=9)
    assert cluster.wait(lambda: seen)
    assert seen[0] == (9, '127.0.0.1:7100')


@pytest.mark.parametrize('data', [b'', b'\xff' * 40, b'\x15\x00' * 900])
def test_malformed_datagrams_are_counted(cluster, data):
    member = cluster.members['a']
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as stranger:
        stranger.sendto(data, member.sock.getsockname())
        assert cluster.wait(lambda: member.counters.malformed == 1)
    assert cluster.all_see(NAMES)
