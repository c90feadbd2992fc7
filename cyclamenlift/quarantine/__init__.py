"""Requests that end targets: how they are known and kept away."""

from cyclamenlift.quarantine.fingerprints import FINGERPRINT_BYTES
from cyclamenlift.quarantine.fingerprints import RequestHash

__all__ = ['FINGERPRINT_BYTES', 'RequestHash']
