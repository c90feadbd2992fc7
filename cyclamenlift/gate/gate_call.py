"""One call at the gate, from its first frame to its answer.

A ``GateCall`` listens to the target and sends to the entry. The entry gets
exactly one outcome: a complete answer, ``Refused`` (proven not run),
``Broken`` (may have run) or ``Cancelled``.
"""

import typing

from cyclamenlift.core.clock import MICROSECONDS
from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.gate.admission import AdmissionRequest
from cyclamenlift.gate.admission import retry_after_refusal
from cyclamenlift.gate.answer_transfers import ANSWER_WINDOW
from cyclamenlift.gate.call_boundary import run_step
from cyclamenlift.gate.decision_log import log_refusal
from cyclamenlift.gate.decision_log import log_slots_chosen
from cyclamenlift.gate.decision_log import log_unknown_outcome
from cyclamenlift.gate.occupancy import OccupancyMark
from cyclamenlift.gate.performance import PaceAtStart
from cyclamenlift.gate.verdicts import AnswerVerdict
from cyclamenlift.gate.verdicts import classify_answer
from cyclamenlift.http.headers import end_to_end
from cyclamenlift.http.target import FailureKind
from cyclamenlift.http.target import TargetFailure
from cyclamenlift.http.target import TargetRequest
from cyclamenlift.wire.gen.protocol.ttypes import AnswerStart
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import EndReport
from cyclamenlift.wire.gen.protocol.ttypes import Header
from cyclamenlift.wire.gen.protocol.ttypes import Refused

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

# Answers up to this size are sent in one frame with their head.
INLINE_ANSWER = 64 * 1024
# Bytes of an answer that may be in flight without a credit.
WINDOW = 256 * 1024
# Bodies up to this size are buffered before the call is sent to the target,
# since a target starts working when it has read the body: one of 60 KB takes a
# quarter of a second on a link of 2 Mbit/s, and half a slowdown may have
# passed by then. A gate buffers at most as many bodies as it has slots and
# queue places.
MAX_BUFFERED_BODY = 256 * 1024
CHUNK = 64 * 1024
# A response that is not passed on is read to its end, so that its connection
# can be used again, but only up to this size and for this time, in seconds.
MAX_IGNORED_BODY = 64 * 1024
IGNORED_BODY_SECONDS = 0.1
SERVER_ERROR = 500


class GateCall:
    """State of one call; also the listener of its target connection."""

    def __init__(
        self, gate: 'Gate', link, start: CallStart, now: float, lag: float
    ):
        self.gate = gate
        self.link = link
        self.start = start
        self.key = (link.number, start.call_id)
        # The time left is relative to when the call was sent, so subtract the
        # transit delay.
        self.sent_at = now - lag
        self.deadline = self.sent_at + start.time_left_us / MICROSECONDS
        self.timer = None
        self.wait_timer = None
        self.target_call = None
        self.started_at = 0.0
        self.mark: OccupancyMark | None = None
        self.pace_at_start: PaceAtStart | None = None
        self.nested_open = 0
        self.nested_since = 0.0
        self.nested_seconds = 0.0
        self.ended = False
        # Whether the entry has been sent an outcome, or all of an answer.
        self.outcome_sent = False
        self.body: list[bytes] = [start.body] if start.body else []
        self.body_received = start.body_complete
        self.is_buffering = False
        self.received = len(start.body or b'')
        self.status = 0
        self.headers: list[Header] = []
        self.length: int | None = None
        self.answer: list[bytes] = []
        self.answer_size = 0
        self.streaming = False
        # What is queued of a large answer that takes turns with others.
        self.outgoing = bytearray()
        self.outgoing_complete = False
        self.sent_bytes = 0
        self.verdict = AnswerVerdict.ANSWER
        self.ignored_bytes = 0
        self.window = WINDOW
        self.owed_credit = 0

    # -- from the gate ----------------------------------------------------

    @property
    def buffers_body(self) -> bool:
        """Whether the body is buffered before the call is sent."""
        if self.body_received:
            return False
        return (self.start.body_length or 0) <= MAX_BUFFERED_BODY

    def begin(self, now: float) -> None:
        """Send the request to the target; the call has a slot.

        If the body is incomplete, the call keeps its slot and waits for it.
        The quarantine is checked again, as it may have changed while the call
        waited.
        """
        if self.buffers_body:
            self.is_buffering = True
            return
        if self.gate.suspects.refuse_suspect(self):
            return
        self.is_buffering = False
        self.gate.sent += 1
        self.gate.state.start_limits.note_sent(self.key, now)
        self.started_at = now
        self.mark = self.gate.state.occupancy.mark(now)
        self.pace_at_start = self.gate.state.performance.pace.pace_at_start(
            now
        )
        self.target_call = self.gate.client.request(self.request(), self)
        self.forward_body()

    def request(self) -> TargetRequest:
        start = self.start
        headers = [(h.name, h.value) for h in start.headers]
        headers.extend(self.gate.call_headers(self))
        return TargetRequest(
            method=start.method,
            path=start.path,
            headers=headers,
            body_length=start.body_length,
            call_id=start.trace_id if self.gate.verifies_call_ids else '',
            repeatable=start.idempotent,
        )

    def request_body(self) -> None:
        """Let the entry send a body that did not come with the call."""
        if not self.body_received:
            self.gate.body_transfers.request_transfer(self)

    @property
    def is_local(self) -> bool:
        """Whether the call came from the entry of this instance.

        Links within a process have no handshake.
        """
        return self.link.hello is None

    def bytes_due(self) -> int:
        """Return the bytes of the body that the link has yet to deliver."""
        if self.body_received or self.is_local:
            return 0
        return max(0, (self.start.body_length or 0) - self.received)

    def receive_body(self, data: bytes, last: bool) -> None:
        """Process a chunk of the request's body."""
        if data:
            self.body.append(data)
            self.received += len(data)
        self.body_received = self.body_received or last
        self.gate.body_transfers.note_chunk(self)
        if self.ended:
            return
        if self.target_call is not None:
            self.forward_body()
        elif self.body_received:
            if self.is_buffering:
                self.gate.admission_control.on_body_complete(self)
        elif data and self.buffers_body:
            self.link.send(Credit(self.start.call_id, len(data)))

    def forward_body(self) -> None:
        if self.ended or not (self.body or self.body_received):
            return
        data = b''.join(self.body)
        self.body.clear()
        self.target_call.send_body(data, self.body_received)
        if self.ended or self.body_received:
            return
        if self.target_call.pending < WINDOW:
            self.link.send(Credit(self.start.call_id, len(data)))
        else:
            self.owed_credit += len(data)

    def add_credit(self, allowed: int) -> None:
        """Allow that many more bytes of the answer to be sent."""
        self.window += allowed
        if self.window > 0 and self.target_call is not None:
            self.target_call.resume()

    def stop_target(self) -> None:
        """Close the connection to the target; the call may have run."""
        if self.target_call is not None:
            self.target_call.cancel()

    def was_sent(self) -> bool:
        return self.target_call is not None and self.target_call.sent

    @property
    def begun_pace_percent(self) -> int:
        """The target's pace when it began this call, 0 if unknown."""
        return self.pace_at_start.pace_percent if self.pace_at_start else 0

    def admission_request(self) -> AdmissionRequest:
        """Return the admission request for this call, which has a route."""
        start = self.start
        objective = (start.objective_left_us or 0) / MICROSECONDS
        useful = self.sent_at + objective
        if start.nested or useful > self.deadline:
            useful = self.deadline
        return AdmissionRequest(
            key=self.key,
            deadline=self.deadline,
            useful_deadline=useful,
            rank=start.rank or 0,
            nested=bool(start.nested),
            repeated=bool(start.repeated),
            route=start.route_name,
            returned=bool(start.returned),
            objective=objective,
            # A nested call's parent already holds a slot.
            account='' if start.nested else self.account,
        )

    # -- calls that the target makes while it runs this one ---------------

    @property
    def repeated(self) -> bool:
        """Whether this is a retry."""
        return bool(self.start.repeated)

    @property
    def account(self) -> str:
        """The client account of this call, '' for none."""
        return self.start.account or ''

    def nested_began(self) -> None:
        """Record that the target waits for a nested call."""
        if not self.nested_open:
            self.nested_since = self.gate.now()
        self.nested_open += 1

    def nested_ended(self) -> None:
        """Record the end of a nested call; concurrent ones count once."""
        self.nested_open -= 1
        if not self.nested_open:
            self.nested_seconds += self.gate.now() - self.nested_since

    # -- from the target --------------------------------------------------

    def on_head(self, status, headers, length: int | None) -> None:
        self.verdict = classify_answer(self.gate.dialect, status, headers)
        self.gate.reports.note_answer(headers, self.started_at, self.verdict)
        self.status = status
        if self.verdict is not AnswerVerdict.ANSWER:
            self.gate.scheduler.after(IGNORED_BODY_SECONDS, self.stop_reading)
            return
        self.headers = [Header(n, v) for n, v in end_to_end(headers)]
        self.length = length
        if length is not None and length > self.small_answer:
            self.start_streaming()

    def on_body(self, data: bytes) -> None:
        if self.verdict is not AnswerVerdict.ANSWER:
            self.ignored_bytes += len(data)
            if self.ignored_bytes > MAX_IGNORED_BODY:
                self.stop_reading()
            return
        if self.streaming:
            self.stream(data)
            return
        self.answer.append(data)
        self.answer_size += len(data)
        if self.answer_size > self.small_answer:
            self.start_streaming()

    def stop_reading(self) -> None:
        """End a response that is not passed on and whose end does not come."""
        if self.target_call.done:
            return
        self.target_call.cancel()
        run_step(self, self.end)

    @property
    def small_answer(self) -> int:
        """Up to how many bytes an answer is sent in one frame."""
        return self.gate.answer_transfers.small_answer(self, INLINE_ANSWER)

    def on_end(self) -> None:
        run_step(self, self.end)

    def end(self) -> None:
        """Pass the end of the answer on and give the slot back."""
        seconds = self.gate.now() - self.started_at
        if self.verdict is not AnswerVerdict.ANSWER:
            self.end_without_answer()
            return
        if self.status < SERVER_ERROR:
            self.gate.quarantine.note_answer(
                self.gate.service, self.start.fingerprint or b''
            )
            if self.start.route_name:
                self.note_work(seconds)
        self.gate.termination.note_answer(self.started_at)
        self.gate.release(self, seconds, self.status >= SERVER_ERROR)
        if self.streaming:
            self.finish_streaming()
            return
        body = b''.join(self.answer)
        message = self.head(body, True, seconds)
        self.outcome_sent = True
        self.link.send(message)
        if not self.is_local:
            self.gate.answer_transfers.note_small_answer(len(body))

    def note_work(self, seconds: float) -> None:
        """Update the performance model with this answered call."""
        state = self.gate.state
        now = self.gate.now()
        concurrent = state.occupancy.mean_since(self.mark, now) - 1.0
        before = state.performance.limiter.chosen
        state.note_work(
            self.start.route_name,
            seconds,
            concurrent,
            now,
            self.nested_seconds,
            self.pace_at_start,
        )
        if state.performance.limiter.chosen != before:
            log_slots_chosen(self.gate, before)

    def end_without_answer(self) -> None:
        """Report a target's response that can't be passed on."""
        self.gate.release(self, None, True)
        if self.verdict is AnswerVerdict.UNPROVEN:
            detail = f'status {self.status} without proof'
            self.send_broken(ResultCode.BAD_TARGET_ANSWER, detail)
            return
        code = ResultCode.TARGET_REFUSED
        if self.verdict is AnswerVerdict.REPLACED:
            code = ResultCode.TARGET_REPLACED
            self.gate.doubt_target()
        detail = f'status {self.status}, says it did not run'
        state = self.gate.state
        wait = retry_after_refusal(len(state.running), state.concurrency_limit)
        self.send_refused(code, detail, wait)

    def on_drained(self) -> None:
        if self.owed_credit:
            self.link.send(Credit(self.start.call_id, self.owed_credit))
            self.owed_credit = 0

    def on_failure(self, failure: TargetFailure) -> None:
        self.gate.answer_transfers.drop(self.key)
        self.gate.release(self, None, True)
        if not failure.sent:
            code = ResultCode.TARGET_UNREACHABLE
            self.send_refused(code, failure.detail)
        elif failure.kind is FailureKind.CLOSED:
            self.gate.termination.note_broken(self, failure.detail)
        else:
            self.send_broken(ResultCode.TARGET_BROKE_OFF, failure.detail)

    # -- to the entry -----------------------------------------------------

    def head(self, body: bytes, whole: bool, seconds: float) -> AnswerStart:
        length = len(body) if whole else self.length
        return AnswerStart(
            call_id=self.start.call_id,
            status=self.status,
            headers=self.headers,
            body_length=-1 if length is None else length,
            body=body,
            body_complete=whole,
            load=self.gate.figures(self.link),
            service_time_us=int(seconds * MICROSECONDS),
            begun_pace_percent=self.begun_pace_percent,
        )

    def start_streaming(self) -> None:
        self.streaming = True
        if self.gate.answer_transfers.takes_turns(self):
            self.window = ANSWER_WINDOW
        seconds = self.gate.now() - self.started_at
        self.link.send(self.head(b'', False, seconds))
        waiting = b''.join(self.answer)
        self.answer.clear()
        if waiting:
            self.stream(waiting)

    def stream(self, data: bytes) -> None:
        self.window -= len(data)
        if self.window <= 0:
            self.target_call.pause()
        if self.gate.answer_transfers.takes_turns(self):
            self.gate.answer_transfers.add(self, data)
            return
        for at in range(0, len(data), CHUNK):
            part = data[at : at + CHUNK]
            self.link.send(BodyChunk(self.start.call_id, part, False))

    def finish_streaming(self) -> None:
        """Send the end of a large answer, after all of it."""
        self.outcome_sent = True
        if self.gate.answer_transfers.takes_turns(self):
            self.gate.answer_transfers.finish(self)
        else:
            self.link.send(BodyChunk(self.start.call_id, b'', True))

    def send_refused(
        self, code: ResultCode, detail: str = '', wait: float = 0.0
    ) -> None:
        """Report that the call did not run: nothing reached the target."""
        self.gate.refused += 1
        self.outcome_sent = True
        log_refusal(self.gate, self, code, detail, wait)
        message = Refused(
            call_id=self.start.call_id,
            code=int(code),
            detail=detail,
            retry_after_ms=int(wait * MILLISECONDS),
            load=self.gate.figures(self.link),
        )
        self.link.send(message)

    def send_broken(
        self,
        code: ResultCode,
        detail: str = '',
        end: EndReport | None = None,
    ) -> None:
        """Report that the call may have run, and a target's end if known."""
        self.outcome_sent = True
        log_unknown_outcome(self.gate, self, code, detail)
        message = Broken(
            call_id=self.start.call_id,
            code=int(code),
            detail=detail,
            load=self.gate.figures(self.link),
            end=end,
        )
        self.link.send(message)
