"""Refusals of claims that need no ledger."""

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import ClaimAnswer
from cyclamenlift.wire.gen.protocol.ttypes import ClaimVerdict

NO_MAJORITY_RETRY_MS = 1_000


def no_majority(request_id: int, leader: str = '') -> ClaimAnswer:
    """Return the answer for an unreachable majority."""
    return ClaimAnswer(
        request_id=request_id,
        verdict=ClaimVerdict.NO_MAJORITY,
        code=int(ResultCode.NO_MAJORITY),
        leader=leader,
        retry_after_ms=NO_MAJORITY_RETRY_MS,
    )
