"""Log lines that explain why a call did not run, or may have run."""

from typing import TYPE_CHECKING

import structlog

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')


def log_refusal(
    gate: 'Gate', call: 'GateCall', code: ResultCode, detail: str, wait: float
) -> None:
    """Log why a call was refused.

    Calls without a route are omitted: their entry logs them.
    """
    if call.start.route_name:
        wait_ms = int(wait * MILLISECONDS)
        log_decision('gate_refused', gate, call, code, detail, wait_ms=wait_ms)


def log_hold(gate: 'Gate', call: 'GateCall', hold_seconds: float) -> None:
    """Log that a call is held until a slowdown of the target ends."""
    held_ms = int(hold_seconds * MILLISECONDS)
    log_decision(
        'gate_held', gate, call, ResultCode.TARGET_SLOW, '', held_ms=held_ms
    )


def log_cold(gate: 'Gate', cold_seconds: float, source: str) -> None:
    """Log that the target has become cold or warm, and what told so."""
    LOG.info(
        'target_cold' if cold_seconds > 0.0 else 'target_warm',
        incarnation=gate.registration.incarnation,
        source=source,
        cold_ms=int(cold_seconds * MILLISECONDS),
        max_calls=gate.state.start_limits.cold.rate.max_calls,
        sent=len(gate.state.start_limits.cold.window.sent),
        waiting=len(gate.state.queue),
    )


def log_declared_limit(
    gate: 'Gate', before: float | None, after: float | None, source: str
) -> None:
    """Log that the target declared, changed or ended a limit.

    ``sent`` counts the calls sent to the target since the start, so that two
    lines tell how many it got between them.
    """
    LOG.info(
        'target_limited' if after is not None else 'target_limit_ended',
        incarnation=gate.registration.incarnation,
        source=source,
        calls_per_second=after,
        before=before,
        sent=gate.sent,
        running=len(gate.state.running),
        waiting=len(gate.state.queue),
    )


def log_unknown_outcome(
    gate: 'Gate', call: 'GateCall', code: ResultCode, detail: str
) -> None:
    """Log that it is unknown whether a call ran."""
    ran_ms = int((gate.now() - call.started_at) * MILLISECONDS)
    log_decision(
        'gate_unknown',
        gate,
        call,
        code,
        detail,
        ran_ms=ran_ms,
        fingerprint=(call.start.fingerprint or b'').hex(),
        begun_pace_percent=call.begun_pace_percent,
    )


def log_slots_chosen(gate: 'Gate', before: int) -> None:
    """Log a change of the learned concurrency limit and its reason.

    ``ratios`` maps the upper bound of each measured band to the relative
    service time there.
    """
    crowding = gate.state.performance.limiter
    LOG.info(
        'slots_chosen',
        before=before,
        chosen=crowding.chosen,
        slots=crowding.slots,
        ratios={
            band.upper_bound: round(band.ratio, 2)
            for band in crowding.bands
            if band.known
        },
        incarnation=gate.registration.incarnation,
    )


def log_decision(
    event: str,
    gate: 'Gate',
    call: 'GateCall',
    code: ResultCode,
    detail: str,
    **fields: int | str,
) -> None:
    """Log a decision with the data that it is based on and their age."""
    state = gate.state
    now = gate.now()
    LOG.info(
        event,
        call_id=call.start.trace_id,
        code=int(code),
        detail=detail,
        route=call.start.route_name,
        rank=call.start.rank,
        account=call.account,
        nested=call.start.nested,
        running=len(state.running),
        queued=len(state.queue),
        room=state.concurrency_limit,
        pace_percent=state.pace_percent(now),
        pace_age_ms=int(
            (now - state.performance.pace.reported_at) * MILLISECONDS
        ),
        state=TargetState(state.target_state).name,
        incarnation=gate.registration.incarnation,
        lag_ms=int(gate.current_lag(call.link) * MILLISECONDS),
        bodies_due=gate.bytes_due(),
        **fields,
    )
