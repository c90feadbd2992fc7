"""The lifecycle of one call at the entry, up to its final answer."""

import typing

from cyclamenlift.accounts.messages import Decision
from cyclamenlift.accounts.messages import Passage
from cyclamenlift.calls.answers import answer_headers
from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.claim_holder import ClaimHolder
from cyclamenlift.calls.intake import Request
from cyclamenlift.calls.nested import Parent
from cyclamenlift.calls.relay import Relay
from cyclamenlift.calls.relay import relay_headers
from cyclamenlift.calls.state import CallState
from cyclamenlift.calls.state import Ending
from cyclamenlift.calls.state import EndKind
from cyclamenlift.calls.state import OVERLOAD_CODES
from cyclamenlift.calls.state import Step
from cyclamenlift.calls.tries import Tries
from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import code_of_peer
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.response import problem_body
from cyclamenlift.http.response import problem_headers
from cyclamenlift.http.response import problem_status
from cyclamenlift.routing.state import Outcome
from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import Cancelled
from cyclamenlift.wire.gen.protocol.ttypes import Header
from cyclamenlift.wire.gen.protocol.ttypes import RecordedAnswer
from cyclamenlift.wire.gen.protocol.ttypes import Refused

if typing.TYPE_CHECKING:
    from cyclamenlift.calls.tasks import Calls

SERVER_ERROR = 500
# How long after a call's deadline a streamed answer may still end, in seconds.
# Gates end what their targets still send at the deadline; what a target had
# finished by then is delivered.
LATE_ANSWER_SECONDS = 0.2
# The largest answer that is held until it is whole for the sake of other
# calls on its connection.
MAX_HELD_ANSWER_BYTES = 1024 * 1024
OVERLOAD_HEADER = 'cyclamenlift-overloaded'


class Call:
    """One caller's request and all its tries."""

    def __init__(self, calls: 'Calls', exchange: Exchange, request: Request):
        self.calls = calls
        self.exchange = exchange
        self.request = request
        self.service = request.rule.name
        self.state = CallState(
            idempotent=request.idempotent,
            max_tries=request.max_tries,
            deadline=request.deadline,
            budget=calls.retry_budget(request.rule),
            gate_refusals_free=request.route is not None,
        )
        self.body: list[bytes] = []
        self.body_size = 0
        self.reserved = 0
        self.whole_body = b''
        self.hash = calls.request_hash(exchange)
        self.fingerprint = b''
        self.tries = Tries(self)
        self.relay: Relay | None = None
        self.fallback: Try | None = None
        self.claim_holder: ClaimHolder | None = None
        self.answered = False
        self.status = 0
        self.service_seconds: float | None = None
        self.trail: list[str] = []
        self.caller_disconnected = False
        self.parent: Parent | None = None
        # Whether it counts for the limit of its account.
        self.counted = False
        self.timer = calls.scheduler.at(request.deadline, self.on_deadline)

    # -- the request ------------------------------------------------------

    def begin(self) -> None:
        """Start the call if its account's limit lets it pass.

        Nested calls have passed with their parents.
        """
        self.exchange.on_disconnect = self.on_disconnect
        self.exchange.on_broken = self.give_up
        account = self.request.account
        if account is None or self.request.nested:
            self.receive_body()
        else:
            self.calls.account_limits.request_passage(account, self.on_passage)

    def on_passage(self, decision: Decision) -> None:
        """Go on with a call that may pass, refuse it otherwise."""
        if decision.passage is Passage.PASS:
            self.counted = True
            self.receive_body()
            return
        wait_ms = int(decision.wait_seconds * MILLISECONDS)
        self.state.retry_after_ms = wait_ms
        self.trail.append(f'account {decision.basis}')
        self.give_up(Problem(decision.code, retry_after_ms=wait_ms))

    def receive_body(self) -> None:
        """Read the body, if there is one, then send the call."""
        length = self.exchange.body_length
        if length == 0:
            self.body_ready()
            return
        if not self.reserve(length or 0):
            self.give_up(Problem(ResultCode.BODY_BUDGET_FULL))
            return
        self.exchange.read_body(self.on_body)

    def reserve(self, size: int) -> bool:
        if not self.calls.body_budget.reserve(size):
            return False
        self.reserved += size
        return True

    def on_body(self, data: bytes, last: bool) -> None:
        if self.answered:
            return
        self.body.append(data)
        self.hash.add(data)
        self.body_size += len(data)
        if self.body_size > self.request.rule.max_body_bytes:
            self.give_up(Problem(ResultCode.BODY_TOO_LARGE))
            return
        missing = self.body_size - self.reserved
        if missing > 0 and not self.reserve(missing):
            self.give_up(Problem(ResultCode.BODY_BUDGET_FULL))
            return
        if last:
            self.body_ready()

    def body_ready(self) -> None:
        self.whole_body = b''.join(self.body)
        self.body.clear()
        self.fingerprint = self.hash.digest()
        if self.request.key:
            self.claim_holder = ClaimHolder(self)
            self.claim_holder.claim()
            return
        self.tries.start()

    # -- ends of tries ----------------------------------------------------

    def end_try(self, attempt: Try, outcome: Outcome, ending: Ending) -> None:
        """Record how a try ended and take the next step.

        An answer is sent before routing is updated; a retry needs the updated
        routing state first.
        """
        self.tries.forget(attempt)
        now = self.calls.now()
        self.record_trail(attempt, ending, now)
        step = self.state.try_ended(ending, now)
        if step is Step.ANSWER:
            self.respond_buffered(attempt)
        self.tries.report_outcome(attempt, outcome)
        if step is Step.RETRY:
            self.tries.start()
        elif step is Step.GIVE_UP:
            self.respond_failed()

    def record_trail(self, attempt: Try, ending: Ending, now: float) -> None:
        """Record how a try ended, for the log line of the call."""
        milliseconds = int((now - attempt.started_at) * MILLISECONDS)
        pace = f' begun at {attempt.pace_percent}%'
        self.trail.append(
            f'{attempt.instance} {ending.kind.value} {int(ending.code)} '
            f'{milliseconds}ms{pace if attempt.pace_percent else ""} '
            f'{ending.detail}'.rstrip()
        )

    def end_unsent(self, attempt: Try) -> None:
        code = ResultCode.TARGET_UNREACHABLE
        ending = Ending(EndKind.NOT_RUN, code)
        self.end_try(attempt, Outcome.LOST, ending)

    def on_refused(self, attempt: Try, refused: Refused) -> None:
        code = code_of_peer(refused.code, ResultCode.OVERLOADED)
        if code == ResultCode.TARGET_SLOW:
            # Its current pace is known now; it may still be the best choice.
            self.tries.tried.discard(attempt.instance)
        if code == ResultCode.EVACUATED:
            self.tries.skip_data_centre_of(attempt.instance)
        draining = code == ResultCode.DRAINING
        outcome = (
            Outcome.REFUSED_DRAINING if draining else Outcome.REFUSED_OVERLOAD
        )
        if code == ResultCode.TARGET_UNREACHABLE:
            outcome = Outcome.LOST
        elif code in (ResultCode.TARGET_SLOW, ResultCode.REQUEST_QUARANTINED):
            outcome = Outcome.CANCELLED
        ending = Ending(
            EndKind.NOT_RUN,
            code,
            refused.retry_after_ms,
            refusal_detail(refused, code),
        )
        self.end_try(attempt, outcome, ending)

    def on_broken(self, attempt: Try, broken: Broken) -> None:
        code = code_of_peer(broken.code, ResultCode.TARGET_BROKE_OFF)
        timed_out = code == ResultCode.DEADLINE_UNKNOWN
        outcome = Outcome.TIMEOUT if timed_out else Outcome.LOST
        self.end_unknown(attempt, outcome, code, broken.detail or '')

    def on_cancelled(self, attempt: Try, cancelled: Cancelled) -> None:
        """Handle the confirmed cancellation of a try that was still needed."""
        if cancelled.not_run:
            code = ResultCode.CANCELLED_NOT_RUN
            ending = Ending(EndKind.NOT_RUN, code)
            self.end_try(attempt, Outcome.CANCELLED, ending)
            return
        code = ResultCode.DEADLINE_UNKNOWN
        self.end_unknown(attempt, Outcome.CANCELLED, code)

    def on_link_lost(self, attempt: Try) -> None:
        if attempt.was_never_sent():
            self.end_unsent(attempt)
            return
        self.end_unknown(attempt, Outcome.LOST, ResultCode.PEER_LOST)

    def end_unknown(
        self,
        attempt: Try,
        outcome: Outcome,
        code: ResultCode,
        detail: str = '',
    ) -> None:
        if self.relay is not None and self.relay.attempt is attempt:
            self.tries.drop(attempt, outcome)
            self.relay.break_off(ResultCode.TARGET_BROKE_OFF)
            return
        ending = Ending(EndKind.UNKNOWN, code, detail=detail)
        self.end_try(attempt, outcome, ending)

    # -- answers ----------------------------------------------------------

    def on_answer_start(self, attempt: Try, answer: AnswerStart) -> None:
        attempt.answering = True
        self.service_seconds = answer.service_time_us / MICROSECONDS
        attempt.status = answer.status
        attempt.pace_percent = answer.begun_pace_percent or 0
        attempt.headers = answer.headers
        attempt.length = answer.body_length
        if answer.body:
            attempt.buffered.append(answer.body)
            attempt.buffered_size = len(answer.body)
        if answer.body_complete:
            self.end_answered(attempt)
        elif self.must_stream(attempt, answer.body_length):
            self.start_relay(attempt)

    def on_answer_body(self, attempt: Try, chunk: BodyChunk) -> None:
        if self.relay is not None:
            self.relay.take(attempt, chunk)
            return
        if chunk.data:
            attempt.buffered.append(chunk.data)
            attempt.buffered_size += len(chunk.data)
        if chunk.last:
            self.end_answered(attempt)
        elif self.must_stream(attempt, attempt.buffered_size):
            self.start_relay(attempt)
        else:
            self.calls.credit(attempt, len(chunk.data))

    def must_stream(self, attempt: Try, size: int) -> bool:
        """Return whether an answer of this size is too large to be held.

        With other calls on the same connection, larger ones are held: those
        calls would get no answer if a streamed one broke off.
        """
        if size <= self.request.rule.whole_answer_bytes:
            return False
        if not self.exchange.shares_connection:
            return True
        if size > MAX_HELD_ANSWER_BYTES:
            return True
        if not self.reserve(size - attempt.held):
            return True
        attempt.held = size
        return False

    def end_answered(self, attempt: Try) -> None:
        """Handle a whole answer; an idempotent call may retry an error."""
        failed = attempt.status >= SERVER_ERROR
        if attempt.length >= 0 and attempt.buffered_size != attempt.length:
            # The answer to HEAD announces a length without a body.
            if self.exchange.method != 'HEAD':
                code = ResultCode.BAD_TARGET_ANSWER
                self.end_unknown(attempt, Outcome.LOST, code)
                return
        if not failed:
            self.calls.quarantine.note_answer(self.service, self.fingerprint)
        outcome = Outcome.TARGET_ERROR if failed else Outcome.ANSWERED
        retry = failed and not self.overloaded_downstream(attempt)
        if retry:
            self.fallback = attempt
        kind = EndKind.TARGET_ERROR if retry else EndKind.ANSWERED
        self.end_try(attempt, outcome, Ending(kind))

    def overloaded_downstream(self, attempt: Try) -> bool:
        """Return whether a service further downstream was overloaded.

        Retrying at every level of a call chain would multiply the load.
        """
        return any(h.name == OVERLOAD_HEADER for h in attempt.headers)

    def respond_buffered(self, attempt: Try) -> None:
        body = b''.join(attempt.buffered)
        if self.claim_holder is not None:
            self.claim_holder.record(attempt, body)
        headers = relay_headers(attempt)
        self.respond(ResultCode.ANSWERED, attempt.status, headers, body)

    def start_relay(self, attempt: Try) -> None:
        """Stream a large answer; the call is committed to this try."""
        if self.answered:
            return
        self.state.done = True
        self.status = attempt.status
        self.tries.cancel(Outcome.OVERTAKEN, except_for=attempt)
        self.timer.cancel()
        self.relay = Relay(self, attempt)
        self.timer = self.calls.scheduler.at(
            self.request.deadline + LATE_ANSWER_SECONDS, self.relay.on_deadline
        )
        if not self.caller_disconnected:
            self.relay.start()

    # -- giving up --------------------------------------------------------

    def respond_failed(self) -> None:
        """Answer a call whose tries have all ended without success.

        An error that a target returned on an earlier try is an answer:
        reporting "not run" after it would be wrong.
        """
        if self.fallback is not None:
            self.respond_buffered(self.fallback)
            return
        code = self.state.final_code()
        self.give_up(Problem(code, '', '', '', self.state.retry_after_ms))

    def fail(self) -> None:
        """End the call after an error in its handling here.

        A target may have run it. If what it answered can't be passed on, the
        caller gets an error in its place, or a broken connection.
        """
        if self.answered:
            return
        self.tries.cancel(Outcome.CANCELLED)
        if self.relay is not None:
            self.relay.break_off(ResultCode.TARGET_BROKE_OFF)
        else:
            self.give_up(Problem(ResultCode.BAD_TARGET_ANSWER))

    def on_deadline(self) -> None:
        if self.answered:
            return
        if self.fallback is not None:
            self.respond_buffered(self.fallback)
            return
        code = self.state.deadline_code(self.tries.none_sent())
        self.tries.cancel(Outcome.TIMEOUT)
        self.give_up(Problem(code))

    def give_up(self, problem: Problem) -> None:
        """Answer with a problem at once, including when to retry.

        Only the release of a key comes first: a caller that is told "not run"
        must be able to reuse its key.
        """
        if self.answered:
            return
        self.state.done = True
        if self.claim_holder is not None and self.claim_holder.settle(problem):
            return
        self.send_problem(problem)

    def send_problem(self, problem: Problem) -> None:
        headers = problem_headers(problem, self.exchange.dialect)
        if problem.code in OVERLOAD_CODES:
            headers.append((OVERLOAD_HEADER, 'here'))
        status = problem_status(problem)
        self.respond(problem.code, status, headers, problem_body(problem))

    def answer_record(self, record: RecordedAnswer) -> None:
        """Answer with the recorded answer of an earlier attempt."""
        headers = [(h.name, h.value) for h in record.headers]
        headers.extend(answer_headers(ResultCode.ANSWERED_FROM_RECORD))
        code = ResultCode.ANSWERED_FROM_RECORD
        self.respond(code, record.status, headers, record.body)

    def respond(self, code, status: int, headers, body: bytes) -> None:
        if self.answered:
            return
        self.state.done = True
        self.status = status
        # The answer is sent before the cleanup, which would delay it.
        if not self.caller_disconnected:
            self.exchange.respond(status, headers, body)
        self.tries.cancel(Outcome.OVERTAKEN)
        self.close(code)

    def close(self, code: ResultCode) -> None:
        """End the call and release what it holds."""
        if self.answered:
            return
        self.answered = True
        self.timer.cancel()
        if self.request.account is not None and not self.counted:
            self.calls.account_limits.withdraw(
                self.request.account, self.on_passage
            )
        self.calls.body_budget.free(self.reserved)
        self.reserved = 0
        self.whole_body = b''
        self.calls.finished(self, code)
        self.release_references()

    def release_references(self) -> None:
        """Break the reference cycles through this call.

        Its objects are then freed at once, instead of by the cyclic garbage
        collector, which stops the process for milliseconds.
        """
        self.tries.close()
        self.relay = None
        self.parent = None
        self.exchange.on_disconnect = None
        self.exchange.on_broken = None
        self.exchange.on_drained = None

    def on_disconnect(self) -> None:
        """Handle a caller that disconnected: stop all but keyed calls.

        A keyed call continues, so that its outcome is recorded.
        """
        self.caller_disconnected = True
        if self.answered or self.claim_holder is not None:
            return
        self.tries.cancel(Outcome.CANCELLED)
        self.close(ResultCode.CANCELLED_NOT_RUN)


def as_headers(pairs: list[tuple[str, str]]) -> list[Header]:
    """Return HTTP header pairs as wire headers."""
    return [Header(name, value) for name, value in pairs]


def refusal_detail(refused: Refused, code: ResultCode) -> str:
    """Return the detail of a refusal, with a code that is not known here."""
    detail = refused.detail or ''
    return detail if refused.code == code else f'{refused.code} {detail}'
