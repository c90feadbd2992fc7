"""Conversion between thrift messages and the ledger's data classes."""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.ledger.records import AnswerRecord
from cyclamenlift.ledger.records import Attempt
from cyclamenlift.ledger.records import ClaimKey
from cyclamenlift.ledger.records import ClaimOutcome
from cyclamenlift.ledger.records import Ending
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEndAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import Header
from cyclamenlift.wire.gen.protocol.ttypes import RecordedAnswer

LEDGER_FULL_RETRY_MS = 5_000


def apply_claim(
    ledger: Ledger, request: ClaimRequest, event_ends_ms: int
) -> ClaimAnswer:
    """Apply a committed claim to the ledger."""
    outcome = ledger.claim(attempt_from_wire(request), event_ends_ms)
    return answer_to_wire(outcome, request.request_id or 0)


def apply_claim_end(ledger: Ledger, ending: ClaimEnd) -> ClaimEndAnswer:
    """Apply the committed end of an attempt to the ledger.

    Raises ValueError if the message has no valid ending.
    """
    committed = ledger.end(
        ClaimKey(ending.service_name or '', ending.key or ''),
        ending.attempt_id or '',
        Ending(ending.ending),
        record_from_wire(ending.answer),
    )
    return ClaimEndAnswer(ending.request_id or 0, committed, '')


def attempt_from_wire(request: ClaimRequest) -> Attempt:
    """Return the attempt of a request; missing fields become empty."""
    return Attempt(
        service_name=request.service_name or '',
        key=request.key or '',
        attempt_id=request.attempt_id or '',
        key_expires_ms=request.key_expires_unix_ms or 0,
        fingerprint=request.fingerprint or b'',
        time_left_ms=request.time_left_ms or 0,
    )


def answer_to_wire(outcome: ClaimOutcome, request_id: int) -> ClaimAnswer:
    """Return the wire form of a ledger outcome."""
    return ClaimAnswer(
        request_id=request_id,
        verdict=ClaimVerdict(outcome.verdict),
        code=int(outcome.code),
        leader='',
        retry_after_ms=outcome.retry_after_ms,
        answer=record_to_wire(outcome.answer),
    )


def record_from_wire(answer: RecordedAnswer | None) -> AnswerRecord | None:
    if answer is None:
        return None
    headers = [(h.name or '', h.value or '') for h in answer.headers or ()]
    return AnswerRecord(
        answer.status or 0,
        headers,
        answer.body or b'',
        bool(answer.body_kept),
    )


def record_to_wire(record: AnswerRecord | None) -> RecordedAnswer | None:
    if record is None:
        return None
    headers = [Header(name, value) for name, value in record.headers]
    return RecordedAnswer(
        record.status, headers, record.body, record.body_kept
    )


def limit_record(ending: ClaimEnd, limit: int) -> None:
    """Drop a body of more than ``limit`` bytes before it is proposed.

    The limit is a setting and may differ between instances, so the ledger
    itself must not depend on it.
    """
    answer = ending.answer
    if answer is not None and len(answer.body or b'') > limit:
        answer.body = b''
        answer.body_kept = False


def not_leader(request_id: int, leader: str) -> ClaimAnswer:
    """Return the answer of an instance that is not the leader."""
    return ClaimAnswer(
        request_id=request_id,
        verdict=ClaimVerdict.NOT_LEADER,
        code=int(ResultCode.NOT_LEADER),
        leader=leader,
        retry_after_ms=0,
    )


def ledger_full(request_id: int) -> ClaimAnswer:
    """Return the refusal for a ledger that holds too many keys."""
    return ClaimAnswer(
        request_id=request_id,
        verdict=ClaimVerdict.REFUSED,
        code=int(ResultCode.LEDGER_FULL),
        leader='',
        retry_after_ms=LEDGER_FULL_RETRY_MS,
    )
