"""The call path over real sockets: failures of targets and gates."""

import gc
import json
import threading
import time

import pytest
import structlog

from cyclamenlift.calls.call import Call
from cyclamenlift.calls.tries import Tries
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.gate.gate_call import GateCall
from cyclamenlift.http.exchange import Exchange
from cyclamenlift.http.target_call import TargetCall
from cyclamenlift.runtime.local_link import local_link_pair
from cyclamenlift.wire.gen.protocol.ttypes import BodyChunk
from cyclamenlift.wire.gen.protocol.ttypes import CallStart
from cyclamenlift.wire.gen.protocol.ttypes import ClaimEnding
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict
from cyclamenlift.wire.gen.protocol.ttypes import Credit
from cyclamenlift.wire.gen.protocol.ttypes import Header
from cyclamenlift.wire.gen.protocol.ttypes import RecordedAnswer
from tests.runtime.builders import answer
from tests.runtime.builders import CallPathHarness
from tests.runtime.builders import delayed
from tests.runtime.builders import FakeClaims
from tests.runtime.builders import raw
from tests.runtime.builders import ScriptedTarget

CALL_CLASSES = (Call, Tries, GateCall, Exchange, TargetCall)
BROKEN = raw(b'HTTP/1.1 200 X\r\nContent-Length: 10\r\n\r\nabc')
UNREACHABLE = Address('127.0.0.1', 1)
# By when a caller has a final answer if nothing else holds it up.
LATEST_ANSWER_SECONDS = 0.5 + 0.2


@pytest.fixture
def make_path():
    created = []

    def make(*targets, **fields):
        addresses = [getattr(t, 'address', t) for t in targets]
        created.append(CallPathHarness(*addresses, **fields))
        return created[-1]

    yield make
    for each in created:
        each.close()


def test_answer_is_complete_and_has_a_result_code(make_path):
    target = ScriptedTarget(answer(b'x' * 5000, extra=b'X-A: b\r\n'))
    found = make_path(target).ask()
    assert (found.status, found.result) == (200, ResultCode.ANSWERED)
    assert found.body == b'x' * 5000
    assert found.headers['x-a'] == 'b'
    assert b'cyclamenlift-timeout-ms' in target.requests[0]


@pytest.mark.parametrize(
    'script',
    [answer(), answer(b'x' * 400_000), BROKEN, raw(b'')],
    ids=['whole', 'streamed', 'cut', 'closed'],
)
def test_a_call_leaves_nothing_for_the_cyclic_collector(make_path, script):
    path = make_path(ScriptedTarget(script))
    gc.collect()
    gc.disable()
    try:
        path.ask()
        path.run_until(lambda: not path.gates[0].calls)
        kept = [o for o in gc.get_objects() if isinstance(o, CALL_CLASSES)]
    finally:
        gc.enable()
    assert kept == []


@pytest.mark.parametrize(
    ('script', 'code'),
    [
        (raw(b''), ResultCode.TARGET_BROKE_OFF),
        (BROKEN, ResultCode.TARGET_BROKE_OFF),
        (raw(b'HTTP/1.1 200 X\r\nContent-'), ResultCode.TARGET_BROKE_OFF),
        (raw(b'garbage\r\n\r\n'), ResultCode.TARGET_BROKE_OFF),
        (delayed(1.0, answer()), ResultCode.DEADLINE_UNKNOWN),
    ],
    ids=['closed', 'body cut', 'head cut', 'garbage', 'late'],
)
def test_broken_booking_is_unknown_and_runs_once(make_path, script, code):
    targets = [ScriptedTarget(script), ScriptedTarget(script)]
    path = make_path(*targets, deadline_ms=400)
    found = path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    assert found.result == code
    assert json.loads(found.body)['run'] == 'unknown'
    assert sum(len(t.requests) for t in targets) == 1
    assert [e.ending for e in path.claims.ends] == [ClaimEnding.UNKNOWN]


@pytest.mark.parametrize('script', [raw(b''), BROKEN, answer(status=500)])
def test_broken_look_up_is_retried_at_the_other_target(make_path, script):
    bad, good = ScriptedTarget(script), ScriptedTarget(answer(b'good'))
    path = make_path(bad, good)
    found = [path.ask() for _ in range(6)]
    assert {f.body for f in found} == {b'good'}


def test_unreachable_target_is_not_run_and_its_key_is_released(make_path):
    path = make_path(UNREACHABLE)
    found = path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.TARGET_UNREACHABLE
    assert found.headers['retry-after'] == '1'
    assert [e.ending for e in path.claims.ends] == [ClaimEnding.RELEASED]


def test_booking_moves_from_an_unreachable_target_to_a_good_one(make_path):
    good = ScriptedTarget()
    path = make_path(UNREACHABLE, good)
    for number in range(4):
        found = path.ask('POST', '/book', b'{}', Idempotency_Key=f'k{number}')
        assert found.status == 200
    assert len(good.requests) == 4


def test_call_to_an_unreachable_peer_is_not_run(make_path):
    path = make_path()
    path.add_member('gone', UNREACHABLE)
    found = path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    assert found.result == ResultCode.TARGET_UNREACHABLE


def test_call_queued_for_a_connection_is_not_sent_after_its_end(make_path):
    # Regression: the connection was established after the deadline, and a
    # call that had been reported as not run was run.
    target = ScriptedTarget(answer())
    path = make_path(target)
    started = []
    path.gates[0].network.subscribe(CallStart, lambda _, m: started.append(m))
    finish_connect = path.network.finish_connect
    path.network.finish_connect = lambda _stream: None
    found = path.ask(cyclamenlift_timeout_ms=50)
    assert found.result == ResultCode.DEADLINE_NOT_RUN
    path.network.finish_connect = finish_connect
    link = next(iter(path.network.outgoing.values()))
    path.run_until(lambda: link.hello)
    path.loop.tick(0.01)
    assert started == []


def test_gate_lost_after_the_frame_is_unknown(make_path):
    target = ScriptedTarget(delayed(1.0, answer()))
    path = make_path(target)
    caller = path.send('POST', '/book', b'{}', Idempotency_Key='k')
    path.run_until(lambda: target.requests)
    path.gates[0].network.close_all()
    found = path.receive(caller)
    assert found.result == ResultCode.PEER_LOST


def test_target_error_is_never_reported_as_not_run(make_path):
    """A refusal by another target after a 500 must not yield "not run"."""
    path = make_path(ScriptedTarget(answer(b'boom', 500)), UNREACHABLE)
    for _ in range(4):
        found = path.ask()
        assert (found.status, found.result) == (500, ResultCode.ANSWERED)


def test_overload_from_deeper_in_the_chain_is_passed_up_once(make_path):
    script = answer(b'busy', 503, b'Cyclamenlift-Overloaded: here\r\n')
    targets = [ScriptedTarget(script), ScriptedTarget(script)]
    path = make_path(*targets)
    found = path.ask()
    assert found.status == 503
    assert found.headers['cyclamenlift-overloaded'] == 'here'
    assert sum(len(t.requests) for t in targets) == 1


def test_queued_call_is_refused_by_a_drain_and_runs_elsewhere(make_path):
    hold = threading.Event()

    def held(conn, request):
        hold.wait(10)
        answer(b'held')(conn, request)

    slow, other = ScriptedTarget(held), ScriptedTarget(answer(b'other'))
    path = make_path(slow, slots=1)
    running = path.send()
    path.run_until(lambda: slow.requests)
    queued = path.send()
    path.run_until(lambda: path.gates[0].state.queue)
    path.gates.append(path.add_gate(other.address, 1))
    path.gates[0].drain()
    assert path.receive(queued).body == b'other'
    hold.set()
    assert path.receive(running).body == b'held'
    assert len(slow.requests) == 1


def test_full_gate_sends_a_retry_delay(make_path):
    target = ScriptedTarget(delayed(0.5, answer()))
    path = make_path(target, slots=1, queue_limit=0)
    path.send()
    path.run_until(lambda: target.requests)
    found = path.ask()
    assert found.result == ResultCode.OVERLOADED
    assert found.headers['cyclamenlift-overloaded'] == 'here'
    assert int(found.headers['cyclamenlift-retry-after-ms']) > 0


@pytest.mark.parametrize('size', [70_000, 900_000])
def test_upload_reaches_the_target_complete(make_path, size):
    target = ScriptedTarget()
    body = bytes(range(256)) * (size // 256)
    found = make_path(target).ask('PUT', '/safe', body)
    assert found.status == 200
    assert target.requests[0].endswith(b'\r\n\r\n' + body)


def test_upload_moves_when_its_first_target_refuses(make_path):
    good = ScriptedTarget()
    path = make_path(UNREACHABLE, good)
    body = b'u' * 300_000
    for number in range(3):
        key = f'k{number}'
        found = path.ask('POST', '/up', body, Idempotency_Key=key)
        assert found.status == 200
    assert all(r.endswith(body) for r in good.requests)
    assert path.calls.body_budget.used == 0


def test_a_gate_that_refuses_an_upload_is_not_sent_its_body(make_path):
    # Bodies cause most of the traffic on slow links and most of the cost
    # between data centres.
    target = ScriptedTarget(answer())
    path = make_path(target)
    gate = path.gates[0]
    gate.drain()
    sizes = []

    def take_start(link, start) -> None:
        sizes.append(len(start.body))
        gate.on_call_start(link, start)

    gate.network.subscribe(CallStart, take_start)
    gate.network.subscribe(BodyChunk, lambda _, m: sizes.append(len(m.data)))
    body = bytes(60_000)
    found = path.ask('POST', '/book', body, Idempotency_Key='k')
    assert found.result == ResultCode.DRAINING
    assert sizes == [0]


def test_upload_beyond_the_budget_is_refused_before_it_is_read(make_path):
    path = make_path(ScriptedTarget())
    caller = path.send(
        'POST', '/up', Idempotency_Key='k', Content_Length=2_000_000
    )
    found = path.receive(caller)
    assert found.result == ResultCode.BODY_BUDGET_FULL
    assert not path.claims.claims


def test_large_answer_is_streamed_completely(make_path):
    body = b'0123456789abcdef' * 100_000
    path = make_path(ScriptedTarget(answer(body)), whole_answer_bytes=1000)
    assert path.ask().body == body


def test_large_answer_that_breaks_closes_the_connection(make_path):
    head = b'HTTP/1.1 200 X\r\nContent-Length: 900000\r\n\r\n'
    target = ScriptedTarget(raw(head + b'x' * 500_000))
    path = make_path(target, whole_answer_bytes=1000)
    found = path.ask()
    assert found.status == 0
    assert len(found.body) < 900_000


class SilentEnds(FakeClaims):
    """A ledger client whose control instances confirm no end of a claim."""

    def end(self, ending, _deadline, _done) -> None:
        self.ends.append(ending)


# Guards against a caller that waits half a minute for a ledger that is silent.
def test_a_caller_does_not_wait_for_a_silent_ledger(make_path):
    path = make_path(UNREACHABLE, claims=SilentEnds())
    began = time.monotonic()
    found = path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    assert time.monotonic() - began < LATEST_ANSWER_SECONDS
    assert found.result == ResultCode.TARGET_UNREACHABLE
    assert path.calls.is_idle()


@pytest.mark.parametrize(
    ('verdict', 'code', 'result'),
    [
        (ClaimVerdict.IN_PROGRESS, 0, ResultCode.CLAIM_IN_PROGRESS),
        (ClaimVerdict.UNKNOWN, 0, ResultCode.CLAIM_UNKNOWN),
        (ClaimVerdict.NO_MAJORITY, 0, ResultCode.NO_MAJORITY),
        (
            ClaimVerdict.REFUSED,
            int(ResultCode.KEY_EXPIRED),
            ResultCode.KEY_EXPIRED,
        ),
    ],
)
def test_claim_that_is_not_granted_runs_nothing(
    make_path, verdict, code, result
):
    target = ScriptedTarget()
    path = make_path(target, claims=FakeClaims(verdict, code=code))
    found = path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    assert found.result == result
    assert not target.requests


def test_recorded_answer_is_returned_without_running(make_path):
    record = RecordedAnswer(201, [Header('x-a', 'b')], b'done', True)
    target = ScriptedTarget()
    path = make_path(target, claims=FakeClaims(ClaimVerdict.RECORDED, record))
    found = path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    assert (found.status, found.body) == (201, b'done')
    assert found.result == ResultCode.ANSWERED_FROM_RECORD
    assert not target.requests


def test_answer_of_a_booking_is_recorded(make_path):
    path = make_path(ScriptedTarget(answer(b'booked', 201)))
    path.ask('POST', '/book', b'{}', Idempotency_Key='k')
    (end,) = path.claims.ends
    assert (end.ending, end.answer.status) == (ClaimEnding.ANSWERED, 201)
    assert end.answer.body == b'booked'


@pytest.mark.parametrize(
    ('method', 'headers', 'code'),
    [
        ('POST', {}, ResultCode.KEY_REQUIRED),
        ('GET', {'Host': 'other'}, ResultCode.BAD_FRAMING),
        ('GET', {'Cyclamenlift_Timeout_Ms': 'x'}, ResultCode.BAD_TIMEOUT),
        ('GET', {'Cyclamenlift_Timeout_Ms': '0'}, ResultCode.BAD_TIMEOUT),
        ('GET', {'Cyclamenlift_Depth': '-3'}, ResultCode.BAD_REQUEST),
        ('GET', {'Cyclamenlift_Depth': '7'}, ResultCode.TOO_DEEP),
        ('POST', {'Idempotency_Key': 'k' * 300}, ResultCode.KEY_REQUIRED),
    ],
)
def test_invalid_requests_get_their_code(make_path, method, headers, code):
    target = ScriptedTarget()
    found = make_path(target).ask(method, **headers)
    assert found.result == code
    assert not target.requests


def test_hedge_wins_over_a_straggler_and_the_loser_is_cancelled(make_path):
    slow = ScriptedTarget(delayed(3.0, answer(b'slow')))
    fast = ScriptedTarget(answer(b'fast'))
    path = make_path(slow, fast, hedge=True, policy='round_robin')
    path.routing.hedge_delay = lambda service, now: 0.02
    found = [path.ask().body for _ in range(2)]
    assert found == [b'fast', b'fast']
    path.run_until(lambda: all(g.is_idle() for g in path.gates))


def test_frozen_first_target_is_hedged_before_any_answer_was_seen(make_path):
    """Regression: no hedges before enough answers gave a hedge delay."""
    frozen = ScriptedTarget(delayed(5.0, answer(b'late')))
    path = make_path(frozen, ScriptedTarget(answer(b'good')), hedge=True)
    assert path.routing.hedge_delay('prices', 0.0) is None
    assert {path.ask().body for _ in range(4)} == {b'good'}


def test_early_hedges_leave_retry_budget_for_late_calls(make_path):
    """Regression: hedges used up the budget; a hung target caused a 504."""
    frozen = ScriptedTarget(delayed(5.0, answer(b'late')))
    path = make_path(frozen, ScriptedTarget(answer(b'good')), hedge=True)
    path.routing.hedge_delay = lambda service, now: 0.01
    budget = path.calls.retry_budget(path.rules.services['prices'])
    budget.balance = 5.0
    began = path.loop.scheduler.clock.now()
    assert {path.ask().body for _ in range(3)} == {b'good'}
    assert budget.balance < 5.0
    assert path.loop.scheduler.clock.now() - began >= 0.4


def test_call_at_a_frozen_target_is_hedged_after_refusals(make_path):
    """Regression: refusals used up all tries but the one that hung."""
    hold = threading.Event()

    def held(conn, request):
        hold.wait(10)
        answer(b'good')(conn, request)

    frozen = ScriptedTarget(delayed(8.0, answer(b'late')))
    busy = ScriptedTarget(held, answer(b'good'))
    path = make_path(
        frozen, busy, hedge=True, max_tries=2, queue_limit=0, slots=1
    )
    path.routing.hedge_delay = lambda service, now: 0.01
    choose = path.routing.choose

    def busy_first(service, now, exclude, need):
        other = set() if 'gate-1' in exclude else {'gate-0'}
        return choose(service, now, exclude | other, need)

    path.routing.choose = busy_first
    running = path.send('POST', '/book', b'{}', Idempotency_Key='k')
    path.run_until(lambda: busy.requests)
    stuck = path.send()
    path.run_until(lambda: frozen.requests)
    hold.set()
    assert path.receive(stuck).body == b'good'
    assert path.receive(running).body == b'good'


def test_caller_that_leaves_frees_the_slot(make_path):
    target = ScriptedTarget(delayed(3.0, answer()))
    path = make_path(target)
    caller = path.send()
    path.run_until(lambda: target.requests)
    caller.close()
    path.run_until(lambda: path.gates[0].is_idle())
    assert not path.calls.open_calls


def test_booking_continues_when_its_caller_leaves(make_path):
    target = ScriptedTarget(delayed(0.2, answer(b'booked')))
    path = make_path(target)
    caller = path.send('POST', '/book', b'{}', Idempotency_Key='k')
    path.run_until(lambda: target.requests)
    caller.close()
    path.run_until(lambda: path.claims.ends)
    assert path.claims.ends[0].answer.body == b'booked'


def connect_locally(path: CallPathHarness) -> None:
    """Connect the entry to its first gate by a local link."""
    entry_end, gate_end = local_link_pair(path.network.numbers)
    gate = path.gates[0]
    path.calls.subscribe(entry_end)
    entry_end.subscribe(BodyChunk, path.calls.on_body_chunk)
    entry_end.subscribe(Credit, path.calls.on_credit)
    gate.subscribe(gate_end)
    gate_end.subscribe(BodyChunk, gate.on_body_chunk)
    gate_end.subscribe(Credit, gate.on_credit)
    path.calls.link_to = lambda _choice: entry_end


def test_caller_that_leaves_cancels_its_call_at_the_local_gate(make_path):
    """Regression: the synchronous reply of the gate began another try.

    The resulting exception closed the link with all calls on it.
    """
    target = ScriptedTarget(delayed(3.0, answer()))
    path = make_path(target)
    connect_locally(path)
    caller = path.send()
    path.run_until(lambda: target.requests)
    with structlog.testing.capture_logs() as logs:
        caller.close()
        path.run_until(lambda: not path.calls.open_calls)
        path.run_until(lambda: path.gates[0].is_idle())
    assert not [line for line in logs if line['log_level'] == 'error']
    assert not path.calls.tries
    assert path.gates[0].is_idle()
    assert len(target.requests) == 1


def test_large_upload_on_a_new_connection_gets_credit(make_path):
    """Regression: data queued for the connection was never credited.

    A body larger than the window of 256 KiB stalled until its deadline.
    """
    target = ScriptedTarget(answer(b'kept'))
    path = make_path(target)
    connect_locally(path)
    body = b'x' * 900_000
    caller = path.send('PUT', '/safe', body)
    assert path.receive(caller).body == b'kept'


@pytest.mark.parametrize(
    'behind, status, code',
    [
        (False, 404, ResultCode.UNKNOWN_SERVICE),
        (True, 503, ResultCode.RULES_BEHIND),
    ],
)
def test_unknown_service_is_temporary_while_rules_are_behind(
    make_path, behind, status, code
):
    """Regression: 404 for a route that had been added 2 s before."""
    made = make_path(ScriptedTarget(answer()))
    made.calls.is_behind = lambda: behind
    found = made.ask(host='added-just-now')
    assert (found.status, found.result) == (status, code)
    assert ('retry-after' in found.headers) == behind
    assert made.ask().status == 200
