"""Contract of the claim server, with a fake replica."""

import pytest
from returns.result import Failure
from returns.result import Success

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.ledger.records import Attempt
from cyclamenlift.ledger.server import ClaimServer
from cyclamenlift.ledger.server import MAX_PROPOSALS
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.wire.codec import decode_struct
from cyclamenlift.wire.codec import encode_struct
from cyclamenlift.wire.gen.protocol import ttypes
from tests.ledger.builders import CONTROL
from tests.ledger.builders import EVENT_END
from tests.ledger.builders import FakeLink
from tests.ledger.builders import FakeNetwork
from tests.ledger.builders import START

Verdict = ttypes.ClaimVerdict
GRANT = encode_struct(ttypes.ClaimAnswer(7, Verdict.GRANTED, 0, '', 0))


class FakeReplica:
    """Records proposals; tests set the leader and the outcomes."""

    def __init__(self, leader='a'):
        self.leader = leader
        self.proposed = []

    def propose(self, command, done) -> None:
        self.proposed.append((decode_struct(ttypes.Command, command), done))


class ServerHarness:
    def __init__(self, leader='a', max_claims=10):
        self.network = FakeNetwork()
        self.replica = FakeReplica(leader)
        self.ledger = Ledger()
        self.ledger.advance(START)
        self.server = ClaimServer(
            self.network, self.replica, self.ledger, 'a', max_claims, 8
        )
        self.link = FakeLink(CONTROL[1], 'd')

    def claim(self, key='k'):
        request = ttypes.ClaimRequest(7, 'booking', key, 'a1', 500, 0, b'f')
        self.server.on_claim(self.link, request)

    def end(self, body=b''):
        record = ttypes.RecordedAnswer(200, [], body, True)
        ending = ttypes.ClaimEnd(
            8, 'booking', 'k', 'a1', ttypes.ClaimEnding.ANSWERED, record
        )
        self.server.on_end(self.link, ending)

    def conclude(self, result):
        _, done = self.replica.proposed.pop()
        done(result)
        return self.link.sent[-1]


def failure(code):
    return Failure(Problem(code))


@pytest.mark.parametrize(
    'result, expected',
    [
        (Success(GRANT), Verdict.GRANTED),
        # Not appended at all, then: appended and may still be granted.
        (failure(ResultCode.NOT_LEADER), Verdict.NOT_LEADER),
        (failure(ResultCode.CHANGE_UNKNOWN), Verdict.NO_MAJORITY),
        # No answer from the ledger, then an answer that is not decodable.
        (Success(b''), Verdict.NO_MAJORITY),
        (Success(b'\x0b\xff'), Verdict.NO_MAJORITY),
    ],
)
def test_claim_is_answered_with_the_outcome_of_the_log(result, expected):
    harness = ServerHarness()
    harness.claim()
    assert harness.replica.proposed[0][0].claim.attempt_id == 'a1'
    answer = harness.conclude(result)
    assert (answer.request_id, answer.verdict) == (7, expected)
    assert harness.server.proposals == 0


@pytest.mark.parametrize('leader', ['', 'b'])
def test_an_instance_that_does_not_lead_proposes_nothing(leader):
    harness = ServerHarness(leader)
    harness.claim()
    harness.end()
    claim, end = harness.link.sent
    assert claim.verdict == Verdict.NOT_LEADER
    assert claim.leader == end.leader == leader
    assert not end.committed
    assert not harness.replica.proposed


def test_a_malformed_claim_is_refused_before_the_log():
    harness = ServerHarness()
    harness.claim(key='')
    harness.server.on_claim(harness.link, ttypes.ClaimRequest())
    assert [a.code for a in harness.link.sent] == [ResultCode.BAD_REQUEST] * 2
    assert not harness.replica.proposed


def test_a_full_ledger_refuses_new_keys_only():
    harness = ServerHarness(max_claims=1)
    attempt = Attempt('booking', 'k', 'a1', 0, b'f', 500)
    harness.ledger.claim(attempt, EVENT_END)
    harness.claim(key='other')
    assert harness.link.sent[0].code == ResultCode.LEDGER_FULL
    harness.claim()
    assert len(harness.replica.proposed) == 1


def test_too_many_proposals_are_rejected():
    harness = ServerHarness()
    harness.server.proposals = MAX_PROPOSALS
    harness.claim()
    harness.end()
    assert harness.link.sent[0].verdict == Verdict.NO_MAJORITY
    assert harness.link.sent[0].retry_after_ms > 0
    assert not harness.link.sent[1].committed


@pytest.mark.parametrize('size, kept', [(8, True), (9, False)])
def test_only_a_small_body_enters_the_log(size, kept):
    harness = ServerHarness()
    harness.end(b'x' * size)
    record = harness.replica.proposed[0][0].claim_end.answer
    assert record.body_kept is kept
    assert len(record.body) == (size if kept else 0)


@pytest.mark.parametrize(
    'result, committed, leader',
    [
        (
            Success(encode_struct(ttypes.ClaimEndAnswer(8, True, ''))),
            True,
            'a',
        ),
        (
            Success(encode_struct(ttypes.ClaimEndAnswer(8, False, ''))),
            False,
            'a',
        ),
        (failure(ResultCode.CHANGE_UNKNOWN), False, ''),
    ],
)
def test_decided_end_names_this_instance_as_leader(result, committed, leader):
    harness = ServerHarness()
    harness.end()
    answer = harness.conclude(result)
    assert (answer.committed, answer.leader) == (committed, leader)
