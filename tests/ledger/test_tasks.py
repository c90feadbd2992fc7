"""Contract of the claim client, with a fake network."""

import pytest

from cyclamenlift.core.streams import Address
from cyclamenlift.ledger.leader_client import ANSWER_TIMEOUT_SECONDS
from cyclamenlift.ledger.tasks import CLAIM_TIMEOUT_SECONDS
from cyclamenlift.ledger.tasks import MAX_PENDING_RELEASES
from cyclamenlift.ledger.tasks import RELEASE_SECONDS
from cyclamenlift.wire.gen.protocol import ttypes
from tests.ledger.builders import ClaimClientHarness
from tests.ledger.builders import CONTROL
from tests.ledger.builders import NAMES

Verdict = ttypes.ClaimVerdict
Ending = ttypes.ClaimEnding
EndAnswer = ttypes.ClaimEndAnswer
Request = ttypes.ClaimRequest
GRANTED = Verdict.GRANTED
NO_MAJORITY = Verdict.NO_MAJORITY
NOT_LEADER = Verdict.NOT_LEADER
RECORDED = Verdict.RECORDED
LEDGER_FULL = 2008


def verdict(kind, leader='', code=0):
    return ttypes.ClaimAnswer(None, kind, code, leader, 0)


def ending():
    return ttypes.ClaimEnd(None, 'booking', 'k', 'a1', Ending.ANSWERED)


def others_than(address):
    return [a for a in CONTROL if a != address]


def releases(harness):
    return [
        m for _, m in harness.network.sent if isinstance(m, ttypes.ClaimEnd)
    ]


def reply_once(harness, answer):
    """Answer the last request unless it was answered already."""
    asked = len(harness.network.sent)
    if asked != harness.answered:
        harness.answered = asked
        harness.reply(answer)


@pytest.mark.parametrize('kind', [GRANTED, RECORDED, Verdict.REFUSED])
def test_decision_is_delivered_once(kind):
    harness = ClaimClientHarness()
    harness.claim()
    harness.reply(verdict(kind))
    harness.reply(verdict(kind))
    assert [a.verdict for a in harness.answers] == [kind]
    harness.pass_time(10)
    assert not releases(harness)
    assert not harness.client.pending_requests


def test_next_instance_gets_the_same_attempt_after_a_timeout():
    harness = ClaimClientHarness()
    harness.claim()
    harness.pass_time(ANSWER_TIMEOUT_SECONDS)
    first, second = harness.asked(Request)
    assert first != second
    assert {m.attempt_id for _, m in harness.network.sent} == {'a1'}
    harness.reply(verdict(GRANTED), first)
    assert harness.answers[0].verdict == GRANTED


def test_the_leader_is_remembered():
    harness = ClaimClientHarness()
    for _ in range(5):
        harness.claim()
        harness.reply(verdict(GRANTED))
    assert len(set(harness.asked(Request))) == 1


def test_a_hint_is_followed_once_names_are_known():
    harness = ClaimClientHarness()
    harness.claim()
    (first,) = harness.asked(Request)
    second, third = others_than(first)
    harness.client.finder.record_address(NAMES[third], third)
    harness.reply(verdict(NOT_LEADER, NAMES[third]))
    assert harness.asked(Request)[-1] == third
    harness.reply(verdict(GRANTED))
    assert not releases(harness)


def test_without_a_hint_every_instance_is_asked():
    harness = ClaimClientHarness()
    harness.claim()
    for _ in range(2):
        harness.reply(verdict(NOT_LEADER))
    assert set(harness.asked(Request)) == set(CONTROL)
    for address in harness.network.links:
        assert address in harness.client.finder.control


def test_refused_connection_is_retried_at_once_elsewhere():
    harness = ClaimClientHarness()
    harness.claim()
    harness.network.lose(harness.asked(Request)[0], was_established=False)
    harness.root.scheduler.run_due()
    assert len(harness.asked(Request)) == 2


def lose_all(was_established):
    def step(harness):
        for address in CONTROL:
            harness.network.lose(address, was_established)

    return step


def reply_each(kind):
    return lambda harness: reply_once(harness, verdict(kind))


# What happens until the timeout, and whether a claim may be left behind.
@pytest.mark.parametrize(
    'step, left_behind',
    [
        pytest.param(lambda _: None, True, id='all silent'),
        pytest.param(lose_all(False), False, id='connections refused'),
        pytest.param(lose_all(True), True, id='lost after the question'),
        pytest.param(reply_each(NOT_LEADER), False, id='none leads'),
        pytest.param(reply_each(NO_MAJORITY), True, id='no majority'),
    ],
)
def test_missing_majority_is_answered_within_the_timeout(step, left_behind):
    harness = ClaimClientHarness()
    harness.claim(seconds=60)
    for _ in range(int(CLAIM_TIMEOUT_SECONDS / 0.01) - 1):
        assert not harness.answers
        step(harness)
        harness.pass_time(0.01)
    harness.pass_time(0.01)
    (answer,) = harness.answers
    assert answer.verdict == NO_MAJORITY
    assert answer.retry_after_ms > 0
    found = {(m.ending, m.attempt_id) for m in releases(harness)}
    assert found == ({(Ending.RELEASED, 'a1')} if left_behind else set())


def test_no_control_instance_at_all_is_no_majority():
    harness = ClaimClientHarness(control=())
    harness.claim()
    assert not harness.answers
    harness.root.scheduler.run_due()
    assert harness.answers[0].verdict == NO_MAJORITY


@pytest.mark.parametrize('late_by', [0.0, 0.2])
def test_a_grant_after_the_deadline_is_not_used(late_by):
    harness = ClaimClientHarness()
    harness.claim(seconds=0.2)
    number = harness.network.sent[0][1].request_id
    first = harness.asked(Request)[0]
    harness.clock.instant += 0.2 + late_by
    late = verdict(GRANTED)
    late.request_id = number
    harness.network.deliver(first, late)
    harness.root.scheduler.run_due()
    assert [a.verdict for a in harness.answers] == [NO_MAJORITY]
    assert releases(harness)


def test_time_left_decreases_with_each_attempt():
    harness = ClaimClientHarness()
    harness.claim(seconds=2)
    assert harness.network.sent[0][1].time_left_ms == 2000
    harness.pass_time(ANSWER_TIMEOUT_SECONDS)
    assert harness.network.sent[1][1].time_left_ms == 1750


def test_full_ledger_after_an_unanswered_attempt_releases():
    harness = ClaimClientHarness()
    harness.claim()
    harness.pass_time(ANSWER_TIMEOUT_SECONDS)
    harness.reply(verdict(Verdict.REFUSED, code=LEDGER_FULL))
    assert harness.answers[0].code == LEDGER_FULL
    assert len(releases(harness)) == 1


def test_a_release_is_repeated_until_it_is_confirmed():
    harness = ClaimClientHarness()
    harness.claim()
    harness.pass_time(CLAIM_TIMEOUT_SECONDS + 3)
    assert len(releases(harness)) > 2
    harness.reply(EndAnswer(None, True, ''))
    before = len(releases(harness))
    harness.pass_time(RELEASE_SECONDS)
    assert len(releases(harness)) == before
    assert not harness.client.pending_requests


def test_releases_during_an_outage_are_bounded_and_end():
    harness = ClaimClientHarness()
    for number in range(MAX_PENDING_RELEASES + 50):
        harness.claim(attempt=str(number))
    harness.clock.instant += CLAIM_TIMEOUT_SECONDS
    harness.root.scheduler.run_due()
    assert len(harness.answers) == MAX_PENDING_RELEASES + 50
    assert len(harness.client.pending_requests) == MAX_PENDING_RELEASES
    harness.clock.instant += RELEASE_SECONDS
    harness.root.scheduler.run_due()
    assert not harness.client.pending_requests
    assert harness.client.pending_releases == 0


# An answer that names its sender as ``leader`` is a decision.
@pytest.mark.parametrize(
    'committed, leader, expected',
    [
        (True, 'own', [True]),
        (False, 'own', [False]),
        (False, '', []),
        (False, 'z', []),
    ],
)
def test_an_end_is_sent_until_it_is_decided(committed, leader, expected):
    harness = ClaimClientHarness()
    harness.client.end(
        ending(), harness.clock.instant + 5, harness.ended.append
    )
    name = leader.replace('own', NAMES[harness.asked(ttypes.ClaimEnd)[-1]])
    harness.reply(EndAnswer(None, committed, name))
    assert harness.ended == expected
    harness.pass_time(5)
    assert harness.ended == (expected or [False])


def test_answers_to_unknown_numbers_are_ignored():
    harness = ClaimClientHarness()
    for message in (verdict(GRANTED), EndAnswer(None, True, 'a')):
        message.request_id = 77
        harness.network.deliver(CONTROL[0], message)
    assert not harness.answers


# Guards against a client that knows only the configured instances: after
# these were replaced or unreachable, no claim found the leader.
def test_instance_that_is_added_later_is_asked():
    harness = ClaimClientHarness()
    finder = harness.client.finder
    later = Address('127.0.0.1', 9)
    finder.update_control_address(later, live=True)
    for address in CONTROL:
        finder.update_control_address(address, live=False)
    assert finder.control == [later]
    finder.update_control_address(later, live=False)
    harness.claim()
    assert harness.asked(Request) == [later]


# Guards against a second spent on unreachable instances while others are up.
def test_instances_whose_connection_is_up_are_asked_first():
    harness = ClaimClientHarness()
    up = CONTROL[1]
    harness.network.links = {up: harness.network.links[up]}
    harness.claim()
    assert harness.asked(Request) == [up]


# Guards against a loop between a frozen leader and followers, which name it
# until another leader is elected.
def test_a_hint_to_a_silent_instance_is_not_followed():
    harness = ClaimClientHarness()
    harness.claim()
    silent, _ = harness.network.sent[-1]
    harness.client.finder.record_address('gone', silent)
    harness.pass_time(ANSWER_TIMEOUT_SECONDS)
    harness.reply(verdict(NOT_LEADER, 'gone'))
    harness.pass_time(0.01)
    assert harness.asked(Request)[-1] != silent


# Guards against a leader that is never asked: its connection is lost, while
# the followers are connected and name it in each answer.
def test_hinted_leader_without_a_connection_is_asked():
    harness = ClaimClientHarness()
    leader = CONTROL[2]
    del harness.network.links[leader]
    harness.client.finder.record_address('leads', leader)
    harness.claim()
    harness.reply(verdict(NOT_LEADER, 'leads'))
    assert harness.asked(Request)[-1] == leader


# Guards against unconnected instances never being asked while others are up.
def test_each_round_reaches_all_instances():
    harness = ClaimClientHarness()
    for address in CONTROL[1:]:
        del harness.network.links[address]
    harness.claim()
    for _ in CONTROL[1:]:
        harness.pass_time(ANSWER_TIMEOUT_SECONDS)
    assert sorted(harness.asked(Request)) == sorted(CONTROL)
