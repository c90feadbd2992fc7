"""Claims: a non-idempotent operation with a key runs at most once."""

from cyclamenlift.ledger.server import ClaimServer
from cyclamenlift.ledger.state import Attempt
from cyclamenlift.ledger.state import ClaimKey
from cyclamenlift.ledger.state import ClaimOutcome
from cyclamenlift.ledger.state import Ending
from cyclamenlift.ledger.state import Ledger
from cyclamenlift.ledger.state import Verdict
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
