"""Requests that end targets: how they are known and kept away."""

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
