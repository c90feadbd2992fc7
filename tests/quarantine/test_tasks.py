"""Many instances learn which requests end targets.

The load: 700 daemons, one request that ends each target that runs it, and
datagrams of which a tenth is lost.
"""

import dataclasses

import pytest
from structlog.testing import capture_logs

from cyclamenlift.membership.packets import EndsDigest
from cyclamenlift.quarantine import Standing
from tests.quarantine.builders import Group
from tests.quarantine.builders import name

BAD, OTHER = name('bad'), name('other')
# What is allowed is 3 s; a report is told by datagrams and asked for later.
KNOWN_SECONDS = 3.0
BYTES_OF_REPORT = 400
AIM_BYTES = 5000


def note_end(member, *ran: bytes) -> None:
    now = member.now()
    member.note_end('prices', dict.fromkeys(ran, now - 0.1), 'x-1')


def keep_away(group: Group) -> int:
    """Return how many instances keep the harmful request away."""
    return sum(
        m.judge('prices', BAD).standing is Standing.QUARANTINED
        for m in group.members.values()
    )


def is_clear(member, fingerprint: bytes) -> bool:
    return member.judge('prices', fingerprint).standing is Standing.CLEAR


@pytest.mark.parametrize(('count', 'seed'), [(13, 1), (13, 2), (700, 3)])
def test_all_know_within_three_seconds_though_packets_are_lost(count, seed):
    group = Group(count, seed, loss=0.1)
    members = list(group.members.values())
    note_end(members[0], BAD, OTHER)
    group.run(0.5)
    note_end(members[1], BAD)
    group.run(KNOWN_SECONDS)
    assert keep_away(group) == count


def test_the_bytes_of_an_end_do_not_grow_with_the_number_of_daemons():
    group = Group(700, 1)
    note_end(next(iter(group.members.values())), BAD)
    group.run(1.0)
    assert group.told * BYTES_OF_REPORT / 700 < AIM_BYTES / 2


def test_one_that_starts_later_knows_before_it_takes_callers():
    group = Group(5, 4)
    members = list(group.members.values())
    note_end(members[0], BAD)
    group.run(0.2)
    note_end(members[1], BAD)
    group.run(0.2)
    late = group.add()
    assert not late.is_synced()
    while not late.evidence.reports:
        heard = late.others_know_more
        assert late.is_behind() == heard
        group.heap.run(0.001)
    assert heard
    assert late.is_synced()
    assert not late.is_behind()
    assert late.judge('prices', BAD).standing is Standing.QUARANTINED


def test_those_that_start_together_do_not_believe_each_other_at_once():
    """All daemons are restarted; a control instance has kept the reports."""
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


def test_one_that_stayed_tells_all_others_that_were_restarted():
    """Control instances, the seeds, stay while daemons are restarted."""
    group = Group(6, 10)
    members = list(group.members.values())
    for member in members[:2]:
        note_end(member, BAD)
        group.run(0.5)
    for port in range(2, 7):
        del group.members[group.names.pop(port)]
    started = [group.add() for _ in range(5)]
    group.run(KNOWN_SECONDS)
    assert keep_away(group) == 1 + len(started)


def test_a_bystander_that_is_answered_is_soon_clear_everywhere():
    """It was at two ends alone with nobody else: all keep it away."""
    group = Group(40, 5, loss=0.1)
    members = list(group.members.values())
    for member in members[:2]:
        note_end(member, OTHER)
        group.run(0.5)
    members[3].note_answer('prices', OTHER)
    members[4].note_answer('prices', OTHER)
    group.run(KNOWN_SECONDS)
    assert all(is_clear(m, OTHER) for m in members)


def test_an_operator_lifts_an_entry_for_all():
    group = Group(20, 6)
    members = list(group.members.values())
    for member in members[:3]:
        note_end(member, BAD)
        group.run(0.5)
    assert keep_away(group) == len(members)
    members[7].lift([BAD])
    group.run(KNOWN_SECONDS)
    assert keep_away(group) == 0


def test_what_was_answered_here_lately_is_not_accused():
    group = Group(3, 7)
    member = next(iter(group.members.values()))
    member.note_answer('prices', OTHER)
    note_end(member, OTHER)
    assert member.evidence.reports == {}


def test_a_line_tells_which_ends_keep_a_request_away():
    group = Group(2, 8)
    first, second = group.members.values()
    with capture_logs() as logs:
        note_end(first, BAD)
        group.run(0.5)
        note_end(second, BAD)
    lines = [e for e in logs if e['event'] == 'request_quarantined']
    assert lines[0]['fingerprint'] == BAD.hex()
    assert len(lines[0]['reports']) == 2


def test_those_who_know_the_same_do_not_ask():
    group = Group(6, 9)
    note_end(next(iter(group.members.values())), BAD)
    group.run(2.0)
    before = group.heap.due[:]
    group.ping()
    assert group.heap.due == before
