"""Quarantine of requests that make their targets end."""

from cyclamenlift.quarantine.fingerprints import FINGERPRINT_BYTES
from cyclamenlift.quarantine.fingerprints import RequestHash
from cyclamenlift.quarantine.state import Assessment
from cyclamenlift.quarantine.state import EndHistory
from cyclamenlift.quarantine.state import QuarantineStatus
from cyclamenlift.quarantine.state import Report
from cyclamenlift.quarantine.tasks import Quarantine

__all__ = [
    'Assessment',
    'EndHistory',
    'FINGERPRINT_BYTES',
    'Quarantine',
    'QuarantineStatus',
    'Report',
    'RequestHash',
]
