"""Contract of the claim client, with a scripted network."""

import pytest

from cyclamenlift.core.streams import Address
from cyclamenlift.ledger.errands import SILENCE_SECONDS
from cyclamenlift.ledger.tasks import MAX_RELEASES
from cyclamenlift.ledger.tasks import PATIENCE_SECONDS
from cyclamenlift.ledger.tasks import RELEASE_SECONDS
from cyclamenlift.wire.gen.protocol import ttypes
from tests.ledger.builders import ClientBed
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


def releases(bed):
    return [m for _, m in bed.network.sent if isinstance(m, ttypes.ClaimEnd)]


def reply_once(bed, answer):
    """Answer the last question unless that was done before."""
    asked = len(bed.network.sent)
    if asked != bed.answered:
        bed.answered = asked
        bed.reply(answer)


@pytest.mark.parametrize('kind', [GRANTED, RECORDED, Verdict.REFUSED])
def test_a_decision_is_handed_over_once(kind):
    bed = ClientBed()
    bed.claim()
    bed.reply(verdict(kind))
    bed.reply(verdict(kind))
    assert [a.verdict for a in bed.answers] == [kind]
    bed.pass_time(10)
    assert not releases(bed)
    assert not bed.client.errands


def test_a_silent_instance_is_followed_by_another_with_the_same_attempt():
    bed = ClientBed()
    bed.claim()
    bed.pass_time(SILENCE_SECONDS)
    first, second = bed.asked(Request)
    assert first != second
    assert {m.attempt_id for _, m in bed.network.sent} == {'a1'}
    bed.reply(verdict(GRANTED), first)
    assert bed.answers[0].verdict == GRANTED


def test_the_leader_is_remembered():
    bed = ClientBed()
    for _ in range(5):
        bed.claim()
        bed.reply(verdict(GRANTED))
    assert len(set(bed.asked(Request))) == 1


def test_a_hint_is_followed_once_names_are_known():
    bed = ClientBed()
    bed.claim()
    (first,) = bed.asked(Request)
    second, third = others_than(first)
    bed.client.finder.note_name(NAMES[third], third)
    bed.reply(verdict(NOT_LEADER, NAMES[third]))
    assert bed.asked(Request)[-1] == third
    bed.reply(verdict(GRANTED))
    assert not releases(bed)


def test_without_a_hint_every_instance_is_asked():
    bed = ClientBed()
    bed.claim()
    for _ in range(2):
        bed.reply(verdict(NOT_LEADER))
    assert set(bed.asked(Request)) == set(CONTROL)
    for address in bed.network.links:
        assert address in bed.client.finder.control


def test_a_refused_connection_moves_on_at_once():
    bed = ClientBed()
    bed.claim()
    bed.network.lose(bed.asked(Request)[0], was_established=False)
    bed.root.scheduler.run_due()
    assert len(bed.asked(Request)) == 2


def lose_all(was_established):
    def step(bed):
        for address in CONTROL:
            bed.network.lose(address, was_established)

    return step


def reply_each(kind):
    return lambda bed: reply_once(bed, verdict(kind))


# What happens until patience ends, and whether a claim may be left behind.
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
def test_without_a_majority_the_answer_comes_within_patience(
    step, left_behind
):
    bed = ClientBed()
    bed.claim(seconds=60)
    for _ in range(int(PATIENCE_SECONDS / 0.01) - 1):
        assert not bed.answers
        step(bed)
        bed.pass_time(0.01)
    bed.pass_time(0.01)
    (answer,) = bed.answers
    assert answer.verdict == NO_MAJORITY
    assert answer.retry_after_ms > 0
    found = {(m.ending, m.attempt_id) for m in releases(bed)}
    assert found == ({(Ending.RELEASED, 'a1')} if left_behind else set())


def test_no_control_instance_at_all_is_no_majority():
    bed = ClientBed(control=())
    bed.claim()
    assert not bed.answers
    bed.root.scheduler.run_due()
    assert bed.answers[0].verdict == NO_MAJORITY


@pytest.mark.parametrize('late_by', [0.0, 0.2])
def test_a_grant_after_the_deadline_is_not_used(late_by):
    bed = ClientBed()
    bed.claim(seconds=0.2)
    number = bed.network.sent[0][1].request_id
    first = bed.asked(Request)[0]
    bed.clock.instant += 0.2 + late_by
    late = verdict(GRANTED)
    late.request_id = number
    bed.network.deliver(first, late)
    bed.root.scheduler.run_due()
    assert [a.verdict for a in bed.answers] == [NO_MAJORITY]
    assert releases(bed)


def test_time_left_falls_with_each_question():
    bed = ClientBed()
    bed.claim(seconds=2)
    assert bed.network.sent[0][1].time_left_ms == 2000
    bed.pass_time(SILENCE_SECONDS)
    assert bed.network.sent[1][1].time_left_ms == 1750


def test_a_full_ledger_after_an_open_question_releases():
    bed = ClientBed()
    bed.claim()
    bed.pass_time(SILENCE_SECONDS)
    bed.reply(verdict(Verdict.REFUSED, code=LEDGER_FULL))
    assert bed.answers[0].code == LEDGER_FULL
    assert len(releases(bed)) == 1


def test_a_release_is_repeated_until_it_is_confirmed():
    bed = ClientBed()
    bed.claim()
    bed.pass_time(PATIENCE_SECONDS + 3)
    assert len(releases(bed)) > 2
    bed.reply(EndAnswer(None, True, ''))
    before = len(releases(bed))
    bed.pass_time(RELEASE_SECONDS)
    assert len(releases(bed)) == before
    assert not bed.client.errands


def test_releases_during_an_outage_are_bounded_and_end():
    bed = ClientBed()
    for number in range(MAX_RELEASES + 50):
        bed.claim(attempt=str(number))
    bed.clock.instant += PATIENCE_SECONDS
    bed.root.scheduler.run_due()
    assert len(bed.answers) == MAX_RELEASES + 50
    assert len(bed.client.errands) == MAX_RELEASES
    bed.clock.instant += RELEASE_SECONDS
    bed.root.scheduler.run_due()
    assert not bed.client.errands
    assert bed.client.releases == 0


# ``leader`` in the answer: the own name marks a decision.
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
    bed = ClientBed()
    bed.client.end(ending(), bed.clock.instant + 5, bed.ended.append)
    name = leader.replace('own', NAMES[bed.asked(ttypes.ClaimEnd)[-1]])
    bed.reply(EndAnswer(None, committed, name))
    assert bed.ended == expected
    bed.pass_time(5)
    assert bed.ended == (expected or [False])


def test_answers_to_unknown_numbers_are_ignored():
    bed = ClientBed()
    for message in (verdict(GRANTED), EndAnswer(None, True, 'a')):
        message.request_id = 77
        bed.network.deliver(CONTROL[0], message)
    assert not bed.answers


# Guards against claims that know the seeds alone: once these were replaced
# or dark, no claim found the leader though the others did.
def test_an_instance_that_became_known_later_is_asked_as_well():
    bed = ClientBed()
    finder = bed.client.finder
    later = Address('127.0.0.1', 9)
    finder.note_control(later, live=True)
    for address in CONTROL:
        finder.note_control(address, live=False)
    assert finder.control == [later]
    finder.note_control(later, live=False)
    bed.claim()
    assert bed.asked(Request) == [later]


# Guards against a second spent on dark instances while others are up.
def test_instances_whose_connection_is_up_are_asked_first():
    bed = ClientBed()
    up = CONTROL[1]
    bed.network.links = {up: bed.network.links[up]}
    bed.claim()
    assert bed.asked(Request) == [up]


# Guards against going in circles between a leader that froze and those who
# go on naming it until they have another one.
def test_a_hint_to_a_silent_instance_is_not_followed():
    bed = ClientBed()
    bed.claim()
    silent, _ = bed.network.sent[-1]
    bed.client.finder.note_name('gone', silent)
    bed.pass_time(SILENCE_SECONDS)
    bed.reply(verdict(NOT_LEADER, 'gone'))
    bed.pass_time(0.01)
    assert bed.asked(Request)[-1] != silent


# Guards against a leader that nobody asks: its connection was lost, those to
# the others are up, and these name it each time.
def test_a_leader_without_a_connection_is_asked_when_it_is_named():
    bed = ClientBed()
    leader = CONTROL[2]
    del bed.network.links[leader]
    bed.client.finder.note_name('leads', leader)
    bed.claim()
    bed.reply(verdict(NOT_LEADER, 'leads'))
    assert bed.asked(Request)[-1] == leader


# Guards against instances that are never asked since others are up.
def test_each_round_reaches_all_instances():
    bed = ClientBed()
    for address in CONTROL[1:]:
        del bed.network.links[address]
    bed.claim()
    for _ in CONTROL[1:]:
        bed.pass_time(SILENCE_SECONDS)
    assert sorted(bed.asked(Request)) == sorted(CONTROL)
