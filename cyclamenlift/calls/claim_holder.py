"""Claims in the ledger for calls with an idempotency key.

A majority grants the claim before the first try is sent, and every outcome of
the call ends the claim. See docs/design/claims.md.
"""

import typing

import xxhash

from cyclamenlift.calls.attempt import Try
from cyclamenlift.core.codes import is_not_run
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnd
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimRequest
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import RecordedAnswer

if typing.TYPE_CHECKING:
    from cyclamenlift.calls.call import Call

# How long the end of a claim is resent to a ledger that does not confirm it.
END_RETRY_SECONDS = 30.0
# The longest time that a caller waits for confirmation that its key was
# released, in seconds. Callers get a final answer half a second after their
# deadlines at the latest.
RELEASE_SECONDS = 0.4

VERDICT_CODES = {
    ClaimVerdict.IN_PROGRESS: ResultCode.CLAIM_IN_PROGRESS,
    ClaimVerdict.UNKNOWN: ResultCode.CLAIM_UNKNOWN,
    ClaimVerdict.NO_MAJORITY: ResultCode.NO_MAJORITY,
    ClaimVerdict.NOT_LEADER: ResultCode.NO_MAJORITY,
}


class ClaimHolder:
    """Claims the key of one call and ends the claim exactly once."""

    def __init__(self, call: 'Call'):
        self.call = call
        self.calls = call.calls
        self.attempt_id = self.calls.next_attempt_id()
        self.held = False
        # Answers the caller if the release of its key is not confirmed.
        self.release_timer = None

    def claim(self) -> None:
        """Request the claim; the first try waits until it is granted."""
        request = self.call.request
        message = ClaimRequest(
            service_name=self.call.service,
            key=request.key,
            attempt_id=self.attempt_id,
            key_expires_unix_ms=request.key_expires_unix_ms,
            fingerprint=self.fingerprint(),
        )
        claims = self.calls.claims
        claims.claim(message, request.deadline, self.on_claim)

    def fingerprint(self) -> bytes:
        """Return a hash that distinguishes requests that share a key."""
        exchange = self.call.exchange
        digest = xxhash.xxh3_128()
        digest.update(f'{exchange.method} {exchange.path}\n'.encode())
        digest.update(self.call.whole_body)
        return digest.digest()

    def on_claim(self, answer: ClaimAnswer) -> None:
        verdict = answer.verdict
        if verdict == ClaimVerdict.GRANTED:
            self.on_granted()
        elif self.call.answered:
            return
        elif verdict == ClaimVerdict.RECORDED:
            self.on_recorded(answer.answer)
        else:
            code = VERDICT_CODES.get(verdict) or ResultCode(answer.code)
            wait = answer.retry_after_ms or 0
            self.call.give_up(Problem(code, '', '', '', wait))

    def on_granted(self) -> None:
        """Start the call, unless it was given up before the grant arrived."""
        self.held = True
        late = self.calls.now() >= self.call.request.deadline
        if self.call.answered or self.call.state.done or late:
            self.end(ClaimEnding.RELEASED, None)
            return
        self.call.tries.start()

    def on_recorded(self, record: RecordedAnswer) -> None:
        if record.body_kept:
            self.call.answer_record(record)
            return
        self.call.give_up(Problem(ResultCode.RECORD_TOO_LARGE))

    # -- ends -------------------------------------------------------------

    def record(self, attempt: Try, body: bytes | None) -> None:
        """Record the answer; ``None`` marks a body too large to keep."""
        answer = RecordedAnswer(
            status=attempt.status,
            headers=attempt.headers,
            body=body or b'',
            body_kept=body is not None,
        )
        self.end(ClaimEnding.ANSWERED, answer)

    def mark_unknown(self) -> None:
        self.end(ClaimEnding.UNKNOWN, None)

    def settle(self, problem: Problem) -> bool:
        """End the claim of a call that failed.

        Return True if the caller is answered later: once the release is
        confirmed, or after ``RELEASE_SECONDS``. In the latter case the
        release is resent, and until it is confirmed the key answers "in
        progress".
        """
        if not self.held:
            return False
        if not is_not_run(problem.code):
            self.mark_unknown()
            return False
        self.release_timer = self.calls.scheduler.after(
            RELEASE_SECONDS, lambda: self.reply(problem)
        )
        self.end(ClaimEnding.RELEASED, None, lambda _done: self.reply(problem))
        return True

    def reply(self, problem: Problem) -> None:
        self.release_timer.cancel()
        if not self.call.answered:
            self.call.send_problem(problem)

    def end(
        self,
        ending: ClaimEnding,
        answer: RecordedAnswer | None,
        then: typing.Callable[[bool], None] | None = None,
    ) -> None:
        if not self.held:
            return
        self.held = False
        message = ClaimEnd(
            service_name=self.call.service,
            key=self.call.request.key,
            attempt_id=self.attempt_id,
            ending=ending,
            answer=answer,
            key_expires_unix_ms=self.call.request.key_expires_unix_ms,
        )
        deadline = self.calls.now() + END_RETRY_SECONDS
        self.calls.claims.end(message, deadline, then or ignore)


def ignore(_confirmed: bool) -> None:
    """Do nothing: the claim client has logged a failed ending."""
