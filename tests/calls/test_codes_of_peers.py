"""Codes that a gate of a later release sends.

Guards against a connection that is closed, and all calls on it lost, since an
entry does not know the number of a refusal.
"""

import types

import pytest

from cyclamenlift.calls.call import Call
from cyclamenlift.calls.state import EndKind
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import Broken
from cyclamenlift.wire.gen.protocol.ttypes import Refused

UNKNOWN_CODE = 2999


def recorder() -> types.SimpleNamespace:
    """Return what a call's handlers use, and record the endings."""
    endings = []
    call = types.SimpleNamespace(endings=endings, tries=None)
    call.end_try = lambda _try, _outcome, ending: endings.append(ending)
    call.end_unknown = lambda _try, _outcome, code, _detail: endings.append(
        code
    )
    return call


@pytest.mark.parametrize('code', [UNKNOWN_CODE, 0, -1])
def test_an_unknown_refusal_still_proves_that_the_call_did_not_run(code):
    call = recorder()
    refused = Refused(1, code, 'why', 20, None)
    Call.on_refused(call, types.SimpleNamespace(instance='a'), refused)
    (ending,) = call.endings
    assert ending.kind is EndKind.NOT_RUN
    assert ending.code is ResultCode.OVERLOADED
    assert ending.retry_after_ms == 20
    assert str(code) in ending.detail


def test_an_unknown_way_to_break_off_leaves_the_outcome_unknown():
    call = recorder()
    Call.on_broken(call, None, Broken(1, 3999, '', None, None))
    assert call.endings == [ResultCode.TARGET_BROKE_OFF]
