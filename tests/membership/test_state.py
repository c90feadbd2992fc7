"""The protocol state machine of one member and of simulated clusters."""

import pytest

from bench.gossip_loop import address_of
from bench.gossip_loop import GossipLoop
from cyclamenlift.core.streams import Address
from cyclamenlift.membership.health import MAX_FAILING_SHARE
from cyclamenlift.membership.liveness import TOMBSTONE_PERIODS
from cyclamenlift.membership.packets import MAX_PACKET_BYTES
from cyclamenlift.membership.records import revise
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState
from tests.membership.builders import packet
from tests.membership.builders import record
from tests.membership.builders import START_UNIX_MS
from tests.membership.builders import state

DRAINING = TargetState.DRAINING


@pytest.mark.parametrize(
    'fields, counter',
    [
        ({'cluster': 'other'}, 'strangers'),
        ({'cluster': None}, 'strangers'),
        ({'kind': None}, 'malformed'),
        ({'kind': 9}, 'malformed'),
        ({'sender': ''}, 'malformed'),
        ({'sender_incarnation': None}, 'malformed'),
        ({'sender_address': 'nowhere'}, 'malformed'),
        ({'subject': 'x' * 600}, 'malformed'),
        ({'records': None}, 'malformed'),
        ({'config_version': -1}, 'malformed'),
        ({'records': [record('x', state=9)]}, 'bad_records'),
        ({'records': [record('a', incarnation=2**60)]}, 'bad_records'),
    ],
)
def test_an_invalid_packet_is_counted_and_ignored(fields, counter):
    one = state(others='b')
    before = one.table.digest
    one.on_packet(packet(**fields), 1.0)
    assert getattr(one.counters, counter) == 1
    assert one.table.digest == before


@pytest.mark.parametrize(
    'fields, raised_to',
    [
        ({'state': MemberState.SUSPECT}, START_UNIX_MS + 1),
        ({'state': MemberState.DEAD}, START_UNIX_MS + 1),
        ({'state': MemberState.LEFT, 'incarnation': 5_000}, 5_001),
        ({'incarnation': 5_000, 'slots': 9}, 5_001),
        ({'slots': 9}, START_UNIX_MS + 1),
        ({'state': MemberState.DEAD, 'incarnation': 7}, START_UNIX_MS),
    ],
)
def test_a_member_refutes_foreign_records_of_itself(fields, raised_to):
    one = state(others='b')
    heard = revise(one.own, **fields)
    one.on_packet(packet(records=[heard]), 1.0)
    assert one.own.incarnation == raised_to
    assert one.own.state == MemberState.ALIVE


@pytest.mark.parametrize(
    'stored, is_sent',
    [
        ({'state': MemberState.SUSPECT}, True),
        ({'state': MemberState.DEAD}, True),
        ({'incarnation': START_UNIX_MS + 1}, True),
        ({'incarnation': START_UNIX_MS - 1}, False),
        ({}, False),
    ],
)
def test_an_answer_contains_the_record_that_the_sender_must_refute(
    stored, is_sent
):
    one = state(others='c')
    one.store(record('b', **stored), 0.0, spread=False)
    one.budget.spend(10**6)
    (answer,) = one.on_packet(packet('b'), 0.0)
    assert answer.packet.kind == GossipKind.ACK
    assert answer.packet.records == (
        [record('b', **stored)] if is_sent else []
    )


def test_a_restart_with_an_older_clock_gets_a_higher_incarnation():
    loop = GossipLoop()
    for number in range(4):
        loop.add(number)
    assert loop.run_until(loop.all_agree, 20) is not None
    old = loop.members[address_of(2)].own.incarnation
    loop.kill(2)
    again = loop.add(2, boot=-500_000)
    assert again.own.incarnation < old
    assert loop.run_until(loop.all_agree, 20) is not None
    assert again.own.incarnation > old


def test_an_unanswered_probe_is_tried_through_others_then_suspected():
    one = state(others='bcdef')
    sent = one.on_period(1.0)
    probed = sent[0].packet.subject
    asked = [o for o in one.on_period(2.0) if o.packet.subject == probed]
    assert [o.packet.kind for o in asked] == [GossipKind.PING_REQUEST] * 3
    assert one.table.get(probed).state == MemberState.ALIVE
    one.on_period(3.0)
    assert one.table.get(probed).state == MemberState.SUSPECT


def test_a_relayed_answer_ends_the_probe():
    helper = state(others='bc')
    ask = packet('b', kind=GossipKind.PING_REQUEST, sequence=77, subject='c')
    (ping,) = helper.on_packet(ask, 1.0)
    assert ping.address == Address.parse(record('c').gossip_address)
    answer = packet('c', kind=GossipKind.ACK, sequence=ping.packet.sequence)
    (relayed,) = helper.on_packet(answer, 1.1)
    assert relayed.address == Address.parse(record('b').gossip_address)
    assert (relayed.packet.sequence, relayed.packet.subject) == (77, 'c')


def test_only_known_members_are_probed_for_others():
    ask = packet('b', kind=GossipKind.PING_REQUEST, subject='z')
    ask.subject_address = '10.9.9.9:1'
    assert state(others='bc').on_packet(ask, 1.0) == []


def test_a_stalled_process_suspects_no_member():
    one = state(others='bcde')
    one.store(record('b', state=MemberState.SUSPECT), 0.0)
    one.on_period(1.0)
    one.on_period(500.0)
    assert len(one.members()) == 5
    assert one.counters.suspicions == 0


def test_late_gossip_does_not_revive_the_dead():
    one = state(others='bcdef')
    one.on_packet(packet('c', [record('b', state=MemberState.DEAD)]), 1.0)
    one.on_packet(packet('d', [record('b')]), 2.0)
    assert one.table.get('b').state == MemberState.DEAD
    for second in range(3, TOMBSTONE_PERIODS + 5):
        one.prober.pending_probes.clear()
        one.on_period(float(second))
    assert one.table.get('b') is None


@pytest.mark.parametrize('accused', ['bcdefg', 'bcdefghij'])
def test_deaths_beyond_the_limit_stay_suspicions(accused):
    one = state(others='bcdefghij')
    for name in accused:
        one.on_packet(packet('b', [record(name, state=MemberState.DEAD)]), 1)
    dead = [r for r in one.table.entries.values() if r.expires_at is not None]
    assert len(dead) == MAX_FAILING_SHARE * 10
    for second in range(2, 3 * TOMBSTONE_PERIODS):
        one.prober.pending_probes.clear()
        one.on_period(float(second))
    assert len(one.members()) == 10 - len(dead)


def test_a_forgotten_member_is_still_contacted_occasionally():
    one = state(others='bcdef')
    one.store(record('b', state=MemberState.DEAD), 0.0)
    one.table.remove('b')
    asked = [
        out.packet.kind
        for second in range(1, 31)
        for out in one.on_period(float(second))
        if str(out.address) == record('b').gossip_address
    ]
    assert asked.count(GossipKind.JOIN) >= 3


@pytest.mark.parametrize('members, minority', [(6, 2), (12, 5), (40, 13)])
def test_a_partition_ejects_no_majority_and_heals(members, minority):
    loop = GossipLoop(seed=members)
    for number in range(members):
        loop.add(number)
    assert loop.run_until(loop.all_agree, 40) is not None
    small = {address_of(n) for n in range(minority)}
    loop.cut(lambda address: address in small)
    for _ in range(3 * TOMBSTONE_PERIODS):
        loop.run_period()
    for one in loop.members.values():
        ejected = members - one.table.live_count()
        assert ejected <= MAX_FAILING_SHARE * members
    loop.cut(None)
    assert loop.run_until(loop.all_agree, 100) is not None


def test_losing_a_tenth_of_all_packets_causes_no_death():
    loop = GossipLoop(seed=5, loss=0.1)
    for number in range(20):
        loop.add(number)
    for _ in range(80):
        loop.run_period()
    assert sum(s.counters.deaths for s in loop.members.values()) == 0
    loop.loss = 0.0
    assert loop.run_until(loop.all_agree, 40) is not None


def test_a_drain_reaches_all_at_once_and_packets_stay_small():
    loop = GossipLoop()
    for number in range(60):
        loop.add(number)
    assert loop.run_until(loop.all_agree, 60) is not None
    one = loop.members[address_of(7)]
    loop.send(address_of(7), one.announce(DRAINING, None, loop.now))
    loop.deliver()

    def drained(found) -> bool:
        return found.target_state == DRAINING

    assert loop.run_until(
        lambda: loop.all_know(one.own.instance, drained), 4
    ) in (0, 1, 2)
    largest = max(t.largest for t in loop.traffic.values())
    assert largest <= MAX_PACKET_BYTES


def test_a_newer_version_is_reported_until_it_is_announced():
    one = state(others='bc')
    one.on_packet(packet('b', config_version=4), 1.0)
    one.on_packet(packet('b', [record('c', config_version=6)]), 1.0)
    seen = {(v.version, v.peer_address) for v in one.versions}
    assert seen == {
        (4, record('b').peer_address),
        (6, record('c').peer_address),
    }
    one.versions.clear()
    before = one.own.incarnation
    assert one.announce(None, 6, 2.0)
    one.on_packet(packet('b', config_version=6), 3.0)
    assert (one.versions, one.own.incarnation) == ([], before)


def test_after_leaving_nothing_is_answered():
    one = state(others='bcd')
    (first, *_) = one.leave(1.0)
    assert first.packet.records[0].state == MemberState.LEFT
    assert one.on_packet(packet('b'), 2.0) == []
    assert one.on_period(3.0) == []
