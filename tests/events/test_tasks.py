"""The configuration follower over a fake network."""

import itertools

import pytest

from cyclamenlift.core.compression import compress
from cyclamenlift.core.streams import Address
from cyclamenlift.events.document_answers import MAX_QUEUED_SECONDS
from cyclamenlift.events.document_pulling import MAX_PULL_SECONDS
from cyclamenlift.events.document_pulling import PULL_STALL_SECONDS
from cyclamenlift.events.tasks import FALL_BACK_SECONDS
from cyclamenlift.events.tasks import HINT_SECONDS
from cyclamenlift.events.tasks import POLL_SECONDS
from cyclamenlift.wire.gen.protocol.ttypes import DocumentAnswer
from cyclamenlift.wire.gen.protocol.ttypes import DocumentChange
from cyclamenlift.wire.gen.protocol.ttypes import DocumentRequest
from tests.events.builders import CONTROL
from tests.events.builders import document
from tests.events.builders import FakeLink
from tests.events.builders import FollowerBed
from tests.events.builders import PEERS

FIRST = Address.parse(PEERS[0])
# The bound set by users for a change to be in force everywhere.
BOUND_SECONDS = 2.0


def running(version=3) -> FollowerBed:
    bed = FollowerBed()
    bed.follower.start()
    bed.give(CONTROL[0], version, committed=True)
    bed.asked()
    return bed


def test_a_starting_daemon_asks_every_control_instance_until_confirmed():
    bed = FollowerBed()
    bed.follower.start()
    assert bed.asked() == CONTROL
    bed.give(CONTROL[1], 4)
    bed.give(CONTROL[2], 4)
    assert bed.follower.rules is None
    bed.pass_time(1.0)
    assert set(bed.asked()) == set(CONTROL)
    bed.give(CONTROL[0], 5, committed=True)
    assert (bed.follower.version, bed.follower.confirmed) == (5, True)
    assert bed.seen == [5]


def test_a_confirmed_daemon_polls_one_at_a_time_and_slowly():
    bed = running()
    bed.pass_time(POLL_SECONDS * 100)
    asked = bed.asked()
    assert 70 <= len(asked) <= 140
    assert set(asked) == set(CONTROL)


def test_a_peer_can_not_confirm_for_a_majority():
    bed = FollowerBed()
    bed.follower.start()
    bed.give(FIRST, 9, committed=True)
    assert bed.follower.rules is None
    assert not bed.follower.confirmed


@pytest.mark.parametrize('version, pulls', [(2, 0), (3, 0), (4, 1)])
def test_gossip_of_a_newer_version_pulls_it_from_that_peer(version, pulls):
    bed = running(3)
    bed.follower.note_version(version, PEERS[0])
    assert bed.asked() == [FIRST] * pulls
    bed.give(FIRST, version)
    assert bed.follower.version == max(3, version)


def test_one_pull_at_a_time_and_another_peer_when_it_is_lost():
    bed = running(3)
    for peer in PEERS:
        bed.follower.note_version(4, peer)
    assert bed.asked() == [FIRST]
    bed.clock.instant += PULL_STALL_SECONDS
    bed.follower.note_version(4, PEERS[1])
    assert bed.asked() == [Address.parse(PEERS[1])]
    bed.follower.note_version(5, PEERS[2])
    assert bed.asked() == [Address.parse(PEERS[2])]


def test_gossip_with_a_bad_address_is_ignored():
    bed = running(3)
    bed.follower.note_version(9, 'nowhere')
    assert bed.asked() == []


def test_without_a_majority_the_highest_of_several_peers_is_taken():
    bed = FollowerBed()
    bed.follower.start()
    bed.follower.note_version(6, PEERS[0])
    bed.pass_time(FALL_BACK_SECONDS + 1)
    assert FIRST not in bed.asked()
    bed.follower.note_version(5, PEERS[1])
    bed.pass_time(1)
    assert FIRST in bed.asked()
    bed.give(FIRST, 6)
    bed.pass_time(1)
    assert (bed.follower.version, bed.follower.confirmed) == (6, False)
    bed.give(CONTROL[0], 6, committed=True, data=b'')
    assert bed.follower.confirmed


def test_an_invalid_document_is_rejected_and_later_ones_are_adopted():
    bed = running(3)
    bed.give(CONTROL[0], 4, committed=True, data=b'{}')
    assert bed.follower.version == 3
    bed.give(CONTROL[0], 5, committed=True)
    assert bed.seen == [3, 5]


def test_a_document_of_an_earlier_release_comes_unpacked():
    bed = running(3)
    answer = DocumentAnswer(1, 4, document('v4'), False)
    bed.network.deliver(CONTROL[0], answer)
    assert bed.seen == [3, 4]


def test_a_document_that_can_not_be_unpacked_is_refused():
    bed = running(3)
    answer = DocumentAnswer(1, 4, b'', False, b'no packed bytes')
    bed.network.deliver(CONTROL[0], answer)
    assert bed.follower.version == 3


def test_a_daemon_sends_peers_newer_documents():
    bed = running(3)
    link = FakeLink()
    for known in (0, 2, 3, 4):
        bed.follower.on_request(link, DocumentRequest(known, known))
    assert [bool(answer.packed_document) for answer in link.sent] == [
        True,
        True,
        False,
        False,
    ]
    assert {answer.version for answer in link.sent} == {3}


def test_a_stopped_follower_asks_no_more():
    bed = running()
    bed.follower.stop()
    bed.pass_time(POLL_SECONDS * 4)
    assert bed.asked() == []


def test_a_starting_daemon_asks_a_hinted_leader_once():
    bed = FollowerBed()
    bed.follower.start()
    bed.asked()
    stranger = Address('127.0.0.1', 99)
    hint = DocumentAnswer(1, 0, b'', False, b'', str(stranger))
    for source in CONTROL[:2]:
        bed.network.deliver(source, hint)
    assert bed.asked() == [stranger]
    bed.give(stranger, 4, committed=True)
    assert bed.follower.confirmed
    bed.pass_time(HINT_SECONDS)
    bed.network.deliver(CONTROL[0], hint)
    assert stranger not in bed.asked()


def test_a_newly_started_control_instance_is_asked_at_once():
    """After a full power failure the first requests reach no instance."""
    bed = FollowerBed()
    bed.follower.start()
    bed.asked()
    bed.follower.update_control_address(CONTROL[1], True)
    assert bed.asked() == [CONTROL[1]]
    assert bed.network.given_up == [CONTROL[1]]
    bed.give(CONTROL[1], 4, committed=True)
    bed.follower.update_control_address(CONTROL[1], True)
    assert bed.asked() == []


def test_the_first_requests_are_repeated_soon():
    bed = FollowerBed()
    bed.follower.start()
    bed.asked()
    bed.pass_time(0.8)
    assert len(bed.asked()) >= 2 * len(CONTROL)


def test_a_stalled_pull_moves_to_a_control_instance():
    bed = running(3)
    bed.follower.note_version(4, PEERS[0])
    assert bed.asked() == [FIRST]
    bed.pass_time(PULL_STALL_SECONDS + 0.1)
    pulled_from = bed.follower.puller.current.address
    assert pulled_from in CONTROL
    assert pulled_from in bed.asked()


def test_a_progressing_pull_is_extended_up_to_a_limit():
    bed = running(3)
    came = [0]
    bed.network.bytes_received_from = lambda address: came[0]
    bed.follower.note_version(4, PEERS[0])
    assert bed.asked() == [FIRST]
    for _ in range(10):
        came[0] += 1000
        bed.pass_time(MAX_PULL_SECONDS / 10 - 0.01)
        assert bed.follower.puller.current.address == FIRST
    came[0] += 1000
    bed.pass_time(PULL_STALL_SECONDS)
    assert bed.follower.puller.current.address in CONTROL
    bed.give(FIRST, 4)
    assert bed.follower.version == 4


# Guards against waiting for a source that has answered without the version.
def test_an_empty_answer_moves_the_pull_at_once():
    bed = running(3)
    bed.follower.note_version(4, PEERS[0])
    bed.follower.note_version(4, PEERS[1])
    _, request = bed.network.sent.pop()
    bed.network.deliver(FIRST, DocumentAnswer(request.request_id, 3, b''))
    assert bed.asked() == [Address.parse(PEERS[1])]


# Guards against fetching a document that a starting daemon already holds.
def test_an_unconfirmed_document_is_not_fetched_again():
    bed = FollowerBed()
    bed.follower.start()
    for peer in PEERS[:2]:
        bed.follower.note_version(6, peer)
    while FIRST not in bed.asked():
        bed.pass_time(0.05)
        request = bed.network.sent[-1][1] if bed.network.sent else None
    answer = DocumentAnswer(
        request.request_id, 6, b'', False, compress(document('v6'))
    )
    bed.network.deliver(FIRST, answer)
    assert bed.asked() == []
    bed.pass_time(1.0)
    assert bed.follower.version == 6


# Guards against ignoring a peer that announces a version after the pull has
# failed with no source left.
def test_a_new_announcer_is_asked_at_once_when_no_source_is_left():
    bed = running(3)
    bed.follower.note_version(4, PEERS[0])
    asked = bed.asked()
    while asked:
        asked = lose(bed, asked[-1])
    bed.follower.note_version(4, PEERS[0])
    assert bed.asked() == []
    bed.follower.note_version(4, PEERS[1])
    assert bed.asked() == [Address.parse(PEERS[1])]


def test_a_control_instance_whose_connection_is_up_is_asked_first():
    for number in range(3):
        bed = running(3)
        up = CONTROL[number]
        bed.network.is_established = lambda address, up=up: address == up
        bed.follower.note_version(4, PEERS[0])
        bed.asked()
        assert lose(bed, FIRST) == [up]


# Guards against mistaking the bytes of calls for a document for longer than a
# change may take.
def test_a_pull_over_a_connection_with_calls_ends_within_the_bound():
    bed = running(3)
    came = itertools.count(1000, 1000)
    bed.network.bytes_received_from = lambda _address: next(came)
    bed.follower.note_version(4, PEERS[0])
    bed.follower.note_version(4, PEERS[1])
    bed.asked()
    bed.pass_time(BOUND_SECONDS - PULL_STALL_SECONDS)
    assert Address.parse(PEERS[1]) in bed.asked()


def lose(bed, address, was_established=True) -> list:
    """Drop the connection to ``address``; return who is asked next."""
    link = FakeLink(address)
    link.was_established = was_established
    for hook in bed.network.lost_hooks:
        hook(link)
    return bed.asked()


@pytest.mark.parametrize('was_established', [True, False])
def test_a_pull_moves_to_another_source_on_disconnect(
    was_established,
):
    bed = running(3)
    bed.follower.note_version(4, PEERS[0])
    bed.asked()
    asked = [FIRST]
    for _ in CONTROL:
        (other,) = lose(bed, asked[-1], was_established)
        asked.append(other)
    # Each source is asked once, which prevents a loop; then the pull restarts
    # at its next check.
    assert sorted(asked[1:]) == sorted(CONTROL)
    for address in asked:
        assert lose(bed, address, was_established) == []
    bed.pass_time(PULL_STALL_SECONDS + 0.1)
    assert bed.follower.puller.current.address != asked[-1]


def test_a_busy_peer_is_replaced_by_a_control_instance():
    bed = running(3)
    bed.follower.note_version(4, PEERS[0])
    bed.asked()
    bed.network.deliver(FIRST, DocumentAnswer(1, 4, b'', busy=True))
    (asked,) = bed.asked()
    assert asked in CONTROL


# Guards against busy peers that redirect requesters to one another.
def test_a_busy_peer_is_replaced_by_control_despite_other_announcers():
    bed = running(3)
    for peer in PEERS:
        bed.follower.note_version(4, peer)
    bed.asked()
    bed.network.deliver(FIRST, DocumentAnswer(1, 4, b'', busy=True))
    (asked,) = bed.asked()
    assert asked in CONTROL


def test_a_majority_confirmed_version_is_pulled_from_one_source():
    bed = FollowerBed()
    bed.follower.start()
    assert {m.without_document for _, m in bed.network.sent} == {True}
    bed.asked()
    for address in CONTROL:
        bed.give(address, 4, committed=address == CONTROL[1], data=b'')
    sent, bed.network.sent = bed.network.sent, []
    assert [(a, bool(m.without_document)) for a, m in sent] == [
        (CONTROL[1], False)
    ]
    bed.give(CONTROL[1], 4)
    assert (bed.follower.version, bed.follower.confirmed) == (4, True)


def test_requests_beyond_the_link_budget_are_answered_busy():
    """All daemons that learn of a version from one daemon ask that one."""
    bed = running(3)
    link = FakeLink()
    # A document takes longer than others may wait.
    bed.follower.link_budget.link_rate = 1000.0
    for number in range(3):
        request = DocumentRequest(number, 0, takes_changes=True)
        bed.follower.on_request(link, request)
    assert [bool(a.busy) for a in link.sent] == [False, True, True]
    assert [bool(a.changes) for a in link.sent] == [True, False, False]
    assert {a.version for a in link.sent} == {3}
    bed.clock.instant += 10 * MAX_QUEUED_SECONDS
    bed.follower.on_request(link, DocumentRequest(4, 0, takes_changes=True))
    assert link.sent[-1].changes


def test_a_change_that_does_not_apply_is_fetched_in_full():
    bed = running(3)
    change = DocumentChange(3, 4, b'no change')
    answer = DocumentAnswer(1, 4, b'', changes=[change])
    bed.network.deliver(FIRST, answer)
    assert bed.follower.version == 3
    (request,) = [m for _, m in bed.network.sent]
    assert request.known_version == 0
    bed.give(FIRST, 4)
    assert bed.follower.version == 4


def test_an_unreadable_document_is_not_pulled_repeatedly():
    """It may need a later release; polls look for its successor."""
    bed = running(3)
    bed.follower.note_version(4, PEERS[0])
    bed.asked()
    bed.give(FIRST, 4, data=b'{}')
    for _ in range(20):
        bed.follower.note_version(4, PEERS[1])
        bed.pass_time(0.1)
    assert len(bed.asked()) <= 1
    bed.follower.note_version(5, PEERS[1])
    assert bed.asked() == [Address.parse(PEERS[1])]
    bed.give(Address.parse(PEERS[1]), 5)
    assert bed.follower.version == 5


# Guards against a daemon that is mistaken for a control instance, as a seed
# may be: its answer must not count as confirmed by a majority.
def test_a_daemon_never_answers_that_a_version_is_committed():
    bed = FollowerBed()
    bed.follower.start()
    bed.give(CONTROL[0], 3, committed=True)
    assert bed.follower.confirmed
    peer = bed.network.links[CONTROL[1]]
    bed.network.deliver(CONTROL[1], DocumentRequest(1, 0))
    assert peer.sent[-1].version == 3
    assert not peer.sent[-1].committed


# Guards against reads that are redirected twice: a daemon that forwarded no
# order knew no leader, although each poll reports it.
def test_the_leader_is_learned_from_polls():
    bed = FollowerBed()
    reported_leaders = []
    bed.follower.leader_hooks.append(reported_leaders.append)
    bed.follower.start()
    bed.give(CONTROL[0], 3, committed=True)
    hint = DocumentAnswer(1, 3, leader_address=str(CONTROL[2]))
    bed.network.deliver(CONTROL[1], hint)
    assert reported_leaders == [CONTROL[0], CONTROL[2]]
