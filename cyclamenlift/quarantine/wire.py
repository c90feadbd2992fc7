"""Conversion of reports to and from the wire, with validation.

Times are sent as ages.
"""

from cyclamenlift.core.clock import MILLISECONDS
from cyclamenlift.quarantine.fingerprints import FINGERPRINT_BYTES
from cyclamenlift.quarantine.state import Report
from cyclamenlift.wire.gen.protocol.ttypes import EndReport

# Maximum fingerprints in one report, so that it fits in a datagram with the
# sender's names. A target that ran more is reported in parts.
MAX_FINGERPRINTS = 48
MAX_TEXT_LENGTH = 160
# Maximum age and run time that is sent; both fit in 32 bits.
MAX_AGE_MS = 24 * 3600 * MILLISECONDS


def to_wire(report: Report, now: float) -> EndReport:
    """Return a report with its current age."""
    return EndReport(
        report_id=report.report_id,
        service_name=report.service,
        fingerprints=list(report.fingerprints),
        age_ms=milliseconds(now - report.at),
        lifted=report.lifted,
        ran_ms=[milliseconds(report.at - b) for b in report.begun_at],
    )


def from_wire(message: EndReport, now: float) -> Report | None:
    """Return a peer's report, or None if it is invalid."""
    if not is_valid(message):
        return None
    at = now - message.age_ms / MILLISECONDS
    return Report(
        message.report_id,
        message.service_name,
        tuple(message.fingerprints),
        at,
        tuple(at - ran_ms / MILLISECONDS for ran_ms in message.ran_ms or ()),
        bool(message.lifted),
    )


def milliseconds(seconds: float) -> int:
    return min(MAX_AGE_MS, max(0, int(seconds * MILLISECONDS)))


def is_valid(message: EndReport) -> bool:
    """Return whether a report from the network is valid."""
    return (
        isinstance(message.report_id, str)
        and 0 < len(message.report_id) <= MAX_TEXT_LENGTH
        and isinstance(message.service_name, str)
        and len(message.service_name) <= MAX_TEXT_LENGTH
        and isinstance(message.age_ms, int)
        and 0 <= message.age_ms <= MAX_AGE_MS
        and isinstance(message.fingerprints, list)
        and len(message.fingerprints) <= MAX_FINGERPRINTS
        and all(is_fingerprint(f) for f in message.fingerprints)
        and (bool(message.lifted) or has_valid_times(message))
    )


def has_valid_times(message: EndReport) -> bool:
    """Return whether there is one valid time for each request that ran."""
    times = message.ran_ms or []
    return len(times) == len(message.fingerprints) and all(
        isinstance(ran_ms, int) and ran_ms >= 0 for ran_ms in times
    )


def is_fingerprint(value) -> bool:
    return isinstance(value, bytes) and len(value) == FINGERPRINT_BYTES
