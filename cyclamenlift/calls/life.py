"""The life of one call at the entry, from its head to its final answer."""

import typing

from cyclamenlift.calls.answers import answer_headers
from cyclamenlift.calls.attempt import Try
from cyclamenlift.calls.intake import Request
from cyclamenlift.calls.keyed import KeyedEnd
from cyclamenlift.calls.nested import Parent
from cyclamenlift.calls.relay import Relay
from cyclamenlift.calls.relay import relay_headers
from cyclamenlift.calls.state import CallState
from cyclamenlift.calls.state import Ending
from cyclamenlift.calls.state import EndKind
from cyclamenlift.calls.state import Step
from cyclamenlift.calls.tries import Tries
from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
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
OVERLOAD_HEADER = 'cyclamenlift-overloaded'
OVERLOAD_CODES = frozenset((ResultCode.OVERLOADED, ResultCode.QUEUE_DEADLINE))


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
        self.keyed: KeyedEnd | None = None
        self.answered = False
        self.status = 0
        self.service_seconds: float | None = None
        self.trail: list[str] = []
        self.caller_gone = False
        self.parent: Parent | None = None
        self.timer = calls.scheduler.at(request.deadline, self.on_deadline)

    # -- the request ------------------------------------------------------

    def begin(self) -> None:
        """Gather the body, if there is one, then go on."""
        self.exchange.on_disconnect = self.on_disconnect
        self.exchange.on_broken = self.give_up
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
            self.keyed = KeyedEnd(self)
            self.keyed.claim()
            return
        self.tries.start()

    # -- ends of tries ----------------------------------------------------

    def end_try(self, attempt: Try, outcome: Outcome, ending: Ending) -> None:
        """Note how a try ended and do what follows from it.

        An answer leaves before routing takes note of it; a retry needs
        routing to know first.
        """
        self.tries.forget(attempt)
        now = self.calls.now()
        self.note_trail(attempt, ending, now)
        step = self.state.try_ended(ending, now)
        if step is Step.ANSWER:
            self.answer_whole(attempt)
        self.tries.tell_routing(attempt, outcome)
        if step is Step.RETRY:
            self.tries.start()
        elif step is Step.GIVE_UP:
            self.finish_failed()

    def note_trail(self, attempt: Try, ending: Ending, now: float) -> None:
        """Keep how a try ended, for the line that explains the call."""
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
        code = ResultCode(refused.code)
        if code == ResultCode.TARGET_SLOW:
            # Its new pace is known now; it may still be the best of all.
            self.tries.tried.discard(attempt.instance)
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
            refused.detail or '',
        )
        self.end_try(attempt, outcome, ending)

    def on_broken(self, attempt: Try, broken: Broken) -> None:
        code = ResultCode(broken.code)
        timed_out = code == ResultCode.DEADLINE_UNKNOWN
        outcome = Outcome.TIMEOUT if timed_out else Outcome.LOST
        self.end_unknown(attempt, outcome, code, broken.detail or '')

    def on_cancelled(self, attempt: Try, cancelled: Cancelled) -> None:
        """A cancellation was confirmed for a call that still matters."""
        if cancelled.not_run:
            code = ResultCode.CANCELLED_NOT_RUN
            ending = Ending(EndKind.NOT_RUN, code)
            self.end_try(attempt, Outcome.CANCELLED, ending)
            return
        code = ResultCode.DEADLINE_UNKNOWN
        self.end_unknown(attempt, Outcome.CANCELLED, code)

    def on_link_lost(self, attempt: Try) -> None:
        if attempt.never_left():
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
            self.break_off()
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
            attempt.gathered.append(answer.body)
            attempt.gathered_size = len(answer.body)
        if answer.body_complete:
            self.end_answered(attempt)
        elif answer.body_length > self.request.rule.whole_answer_bytes:
            self.start_relay(attempt)

    def on_answer_body(self, attempt: Try, chunk: BodyChunk) -> None:
        if self.relay is not None:
            self.relay_body(attempt, chunk)
            return
        if chunk.data:
            attempt.gathered.append(chunk.data)
            attempt.gathered_size += len(chunk.data)
        if chunk.last:
            self.end_answered(attempt)
        elif attempt.gathered_size > self.request.rule.whole_answer_bytes:
            self.start_relay(attempt)
        else:
            self.calls.credit(attempt, len(chunk.data))

    def end_answered(self, attempt: Try) -> None:
        """Take a whole answer; an error of an idempotent call may retry."""
        failed = attempt.status >= SERVER_ERROR
        if attempt.length >= 0 and attempt.gathered_size != attempt.length:
            # A HEAD answer names a length that it does not carry.
            if self.exchange.method != 'HEAD':
                code = ResultCode.BAD_TARGET_ANSWER
                self.end_unknown(attempt, Outcome.LOST, code)
                return
        if not failed:
            self.calls.quarantine.note_answer(self.service, self.fingerprint)
        outcome = Outcome.TARGET_ERROR if failed else Outcome.ANSWERED
        retry = failed and not self.refused_deeper(attempt)
        if retry:
            self.fallback = attempt
        kind = EndKind.TARGET_ERROR if retry else EndKind.ANSWERED
        self.end_try(attempt, outcome, Ending(kind))

    def refused_deeper(self, attempt: Try) -> bool:
        """Tell whether a service further down was overloaded.

        Trying again at each level of a chain would multiply the load.
        """
        return any(h.name == OVERLOAD_HEADER for h in attempt.headers)

    def answer_whole(self, attempt: Try) -> None:
        body = b''.join(attempt.gathered)
        if self.keyed is not None:
            self.keyed.record(attempt, body)
        headers = relay_headers(attempt)
        self.respond(ResultCode.ANSWERED, attempt.status, headers, body)

    def start_relay(self, attempt: Try) -> None:
        """Stream a large answer: from here on this try is the answer."""
        if self.answered:
            return
        self.state.done = True
        self.relay = Relay(self.exchange, attempt)
        self.status = attempt.status
        self.tries.cancel(Outcome.OVERTAKEN, except_for=attempt)
        self.timer.cancel()
        if not self.caller_gone:
            self.relay.start()

    def relay_body(self, attempt: Try, chunk: BodyChunk) -> None:
        if self.relay.attempt is not attempt:
            return
        if chunk.data and not self.caller_gone:
            self.relay.send(chunk.data)
        if not chunk.last:
            return
        if self.keyed is not None:
            self.keyed.record(attempt, None)
        self.tries.drop(attempt, Outcome.ANSWERED)
        if not self.caller_gone:
            self.relay.finish()
        self.close(ResultCode.ANSWERED)

    def break_off(self) -> None:
        if self.keyed is not None:
            self.keyed.unknown()
        if not self.caller_gone:
            self.relay.abort()
        self.close(ResultCode.TARGET_BROKE_OFF)

    # -- giving up --------------------------------------------------------

    def finish_failed(self) -> None:
        """Answer a call whose tries have all ended without an answer.

        An error that a target gave on an earlier try is an answer: to say
        "not run" after it would be false.
        """
        if self.fallback is not None:
            self.answer_whole(self.fallback)
            return
        code = self.state.final_code()
        self.give_up(Problem(code, '', '', '', self.state.retry_after_ms))

    def on_deadline(self) -> None:
        if self.answered:
            return
        if self.fallback is not None:
            self.answer_whole(self.fallback)
            return
        code = self.state.deadline_code(self.tries.none_left())
        self.tries.cancel(Outcome.TIMEOUT)
        self.give_up(Problem(code))

    def give_up(self, problem: Problem) -> None:
        """Give the final answer at once, with the time to come back.

        Only a key's release goes before it: a caller that is told "not
        run" must find its key free.
        """
        if self.answered:
            return
        self.state.done = True
        if self.keyed is not None and self.keyed.settle(problem):
            return
        self.say(problem)

    def say(self, problem: Problem) -> None:
        headers = problem_headers(problem, self.exchange.dialect)
        if problem.code in OVERLOAD_CODES:
            headers.append((OVERLOAD_HEADER, 'here'))
        status = problem_status(problem)
        self.respond(problem.code, status, headers, problem_body(problem))

    def answer_record(self, record: RecordedAnswer) -> None:
        """Answer with what an earlier attempt with this key was told."""
        headers = [(h.name, h.value) for h in record.headers]
        headers.extend(answer_headers(ResultCode.ANSWERED_FROM_RECORD))
        code = ResultCode.ANSWERED_FROM_RECORD
        self.respond(code, record.status, headers, record.body)

    def respond(self, code, status: int, headers, body: bytes) -> None:
        if self.answered:
            return
        self.state.done = True
        self.status = status
        # The answer leaves first: the rest would only delay it.
        if not self.caller_gone:
            self.exchange.respond(status, headers, body)
        self.tries.cancel(Outcome.OVERTAKEN)
        self.close(code)

    def close(self, code: ResultCode) -> None:
        """End the call: from here on nothing of it is kept."""
        if self.answered:
            return
        self.answered = True
        self.timer.cancel()
        self.calls.body_budget.free(self.reserved)
        self.reserved = 0
        self.whole_body = b''
        self.calls.finished(self, code)
        self.let_go()

    def let_go(self) -> None:
        """Break the rings of references through this call.

        Its objects are then freed at once. Rings wait for the cyclic
        collector, which stops the process for milliseconds.
        """
        self.tries.close()
        self.parent = None
        self.exchange.on_disconnect = None
        self.exchange.on_broken = None
        self.exchange.on_drained = None

    def on_disconnect(self) -> None:
        """The caller left: stop, unless the call must not run in vain."""
        self.caller_gone = True
        if self.answered or self.keyed is not None:
            return
        self.tries.cancel(Outcome.CANCELLED)
        self.close(ResultCode.CANCELLED_NOT_RUN)


def as_headers(pairs: list[tuple[str, str]]) -> list[Header]:
    """Return HTTP header pairs as they travel on the wire."""
    return [Header(name, value) for name, value in pairs]
