"""The operators' view of quarantined and suspect requests."""

import dataclasses

from cyclamenlift.quarantine.state import EndHistory
from cyclamenlift.quarantine.state import QuarantineStatus


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRow:
    """One suspect or quarantined request to one service.

    ``seconds_left`` is the rest of the quarantine, 0 for a suspect.
    """

    fingerprint: str
    service: str
    standing: str
    seconds_left: float
    reports: tuple[str, ...]


def rows(history: EndHistory, now: float) -> list[QuarantineRow]:
    """Return the suspect and quarantined requests, longest time first."""
    found = []
    for request in history.ends_by_request:
        assessment = history.assess(request.service, request.fingerprint, now)
        if assessment.status is QuarantineStatus.CLEAR:
            continue
        ends = history.counted_ends(request)
        found.append(
            QuarantineRow(
                request.fingerprint.hex(),
                request.service,
                assessment.status.value,
                round(max(0.0, assessment.until - now), 1),
                tuple(end.report.report_id for end in ends),
            )
        )
    return sorted(found, key=lambda row: (-row.seconds_left, row.fingerprint))


def quarantined(history: EndHistory, now: float) -> int:
    """Return the number of requests that are quarantined now."""
    return sum(
        row.standing == QuarantineStatus.QUARANTINED.value
        for row in rows(history, now)
    )
