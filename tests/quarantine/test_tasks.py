"""Distribution of reports among many instances.

The scenario is 700 daemons, one request that ends every target that runs it,
and a loss of one datagram in ten.
"""

import dataclasses

import pytest
from structlog.testing import capture_logs

from cyclamenlift.membership.packets import EndsDigest
from cyclamenlift.quarantine import QuarantineStatus
from tests.quarantine.builders import Group
from tests.quarantine.builders import name

BAD, OTHER = name('bad'), name('other')
# The allowed time is 3 s. Reports are sent by datagrams, and missing ones are
# requested later.
KNOWN_SECONDS = 3.0
BYTES_OF_REPORT = 400
AIM_BYTES = 5000


def note_end(member, *ran: bytes) -> None:
    now = member.now()
    member.note_end('prices', dict.fromkeys(ran, now - 0.1), 'x-1')


def count_quarantining(group: Group) -> int:
    """Return how many instances quarantine the harmful request."""
    return sum(
        m.assess('prices', BAD).status is QuarantineStatus.QUARANTINED
        for m in group.members.values()
    )


def is_clear(member, fingerprint: bytes) -> bool:
    return (
        member.assess('prices', fingerprint).status is QuarantineStatus.CLEAR
    )


@pytest.mark.parametrize(('count', 'seed'), [(13, 1), (13, 2), (700, 3)])
def test_all_instances_know_within_three_seconds_despite_packet_loss(
    count, seed
):
    group = Group(count, seed, loss=0.1)
    members = list(group.members.values())
    note_end(members[0], BAD, OTHER)
    group.run(0.5)
    note_end(members[1], BAD)
    group.run(KNOWN_SECONDS)
    assert count_quarantining(group) == count


def test_the_bytes_of_an_end_do_not_grow_with_the_number_of_daemons():
    group = Group(700, 1)
    note_end(next(iter(group.members.values())), BAD)
    group.run(1.0)
    assert group.sent * BYTES_OF_REPORT / 700 < AIM_BYTES / 2


def test_a_new_instance_is_synced_before_it_takes_callers():
    group = Group(5, 4)
    members = list(group.members.values())
    note_end(members[0], BAD)
    group.run(0.2)
    note_end(members[1], BAD)
    group.run(0.2)
    late = group.add()
    assert not late.is_synced()
    while not late.history.reports:
        heard = late.is_missing_reports
        assert late.is_behind() == heard
        group.heap.run(0.001)
    assert heard
    assert late.is_synced()
    assert not late.is_behind()
    assert late.assess('prices', BAD).status is QuarantineStatus.QUARANTINED


def test_instances_started_together_do_not_trust_empty_digests_at_once():
    """All daemons restart while a control instance keeps the reports."""
    group = Group(2, 4)
    first, second = group.members.values()
    nothing = EndsDigest(0, '127.0.0.1:1', from_control=False)
    second.on_digest(nothing)
    assert not second.is_synced()
    second.on_digest(dataclasses.replace(nothing, from_control=True))
    assert second.is_synced()
    group.heap.run(0.5)
    first.on_digest(nothing)
    assert first.is_synced()


def test_a_running_instance_informs_all_restarted_ones():
    """Control instances are the seeds and run on while daemons restart."""
    group = Group(6, 10)
    members = list(group.members.values())
    for member in members[:2]:
        note_end(member, BAD)
        group.run(0.5)
    for port in range(2, 7):
        del group.members[group.names.pop(port)]
    started = [group.add() for _ in range(5)]
    group.run(KNOWN_SECONDS)
    assert count_quarantining(group) == 1 + len(started)


def test_an_answered_request_is_soon_clear_everywhere():
    """It ran alone at two ends, so all instances quarantine it."""
    group = Group(40, 5, loss=0.1)
    members = list(group.members.values())
    for member in members[:2]:
        note_end(member, OTHER)
        group.run(0.5)
    members[3].note_answer('prices', OTHER)
    members[4].note_answer('prices', OTHER)
    group.run(KNOWN_SECONDS)
    assert all(is_clear(m, OTHER) for m in members)


def test_a_lift_by_an_operator_applies_to_all_instances():
    group = Group(20, 6)
    members = list(group.members.values())
    for member in members[:3]:
        note_end(member, BAD)
        group.run(0.5)
    assert count_quarantining(group) == len(members)
    members[7].lift([BAD])
    group.run(KNOWN_SECONDS)
    assert count_quarantining(group) == 0


def test_a_recently_answered_request_is_not_reported():
    group = Group(3, 7)
    member = next(iter(group.members.values()))
    member.note_answer('prices', OTHER)
    note_end(member, OTHER)
    assert member.history.reports == {}


def test_a_log_line_names_the_reports_behind_a_quarantine():
    group = Group(2, 8)
    first, second = group.members.values()
    with capture_logs() as logs:
        note_end(first, BAD)
        group.run(0.5)
        note_end(second, BAD)
    lines = [e for e in logs if e['event'] == 'request_quarantined']
    assert lines[0]['fingerprint'] == BAD.hex()
    assert len(lines[0]['reports']) == 2


def test_members_with_equal_digests_do_not_request_reports():
    group = Group(6, 9)
    note_end(next(iter(group.members.values())), BAD)
    group.run(2.0)
    before = group.heap.due[:]
    group.ping()
    assert group.heap.due == before
