"""Idempotency keys: a non-idempotent operation runs at most once."""

from cyclamenlift.ledger.records import Attempt
from cyclamenlift.ledger.records import ClaimKey
from cyclamenlift.ledger.records import ClaimOutcome
from cyclamenlift.ledger.records import Ending
from cyclamenlift.ledger.records import Verdict
from cyclamenlift.ledger.server import ClaimServer
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.ledger.tasks import ClaimClient

__all__ = [
    'Attempt',
    'ClaimClient',
    'ClaimKey',
    'ClaimOutcome',
    'ClaimServer',
    'Ending',
    'Ledger',
    'Verdict',
]
