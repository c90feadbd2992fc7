"""Keeps an error in the handling of one call from reaching other calls.

Calls of many callers share a link and a gate. Whatever a caller, a target or a
peer wrote that makes a step of one call raise ends that call alone.
"""

from collections.abc import Callable
import typing

import structlog

from cyclamenlift.core.codes import ResultCode

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall

DETAIL = 'an error of the gate'
LOG = structlog.get_logger('gate')


def run_step(call: 'GateCall', step: Callable, *arguments) -> None:
    """Run a step of a call; an error ends this call with an outcome."""
    try:
        step(*arguments)
    except Exception:
        call.gate.failed_calls += 1
        LOG.exception('gate_call_failed', call_id=call.start.trace_id)
        end_failed(call)


def end_failed(call: 'GateCall') -> None:
    """End a call after an error, unless its entry has got an outcome."""
    gate = call.gate
    sent = call.was_sent()
    gate.answer_transfers.drop(call.key)
    if not call.ended:
        gate.cancel_call(call)
    if call.outcome_sent:
        return
    if sent:
        call.send_broken(ResultCode.TARGET_BROKE_OFF, DETAIL)
    else:
        call.send_refused(ResultCode.GATE_FAILED, DETAIL)
