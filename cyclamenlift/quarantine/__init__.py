"""Quarantine of requests that make their targets end."""

from cyclamenlift.quarantine.fingerprints import FINGERPRINT_BYTES
from cyclamenlift.quarantine.fingerprints import RequestHash
from cyclamenlift.quarantine.state import Evidence
from cyclamenlift.quarantine.state import Judgement
from cyclamenlift.quarantine.state import Report
from cyclamenlift.quarantine.state import Standing
from cyclamenlift.quarantine.tasks import Quarantine

__all__ = [
    'Evidence',
    'FINGERPRINT_BYTES',
    'Judgement',
    'Quarantine',
    'Report',
    'RequestHash',
    'Standing',
]
