"""The operators' view of quarantined and suspect requests."""

import dataclasses

from cyclamenlift.quarantine.state import Evidence
from cyclamenlift.quarantine.state import Standing


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


def rows(evidence: Evidence, now: float) -> list[QuarantineRow]:
    """Return the suspect and quarantined requests, longest time first."""
    found = []
    for subject in evidence.against:
        judgement = evidence.judge(subject.service, subject.fingerprint, now)
        if judgement.standing is Standing.CLEAR:
            continue
        ends = evidence.counted(subject)
        found.append(
            QuarantineRow(
                subject.fingerprint.hex(),
                subject.service,
                judgement.standing.value,
                round(max(0.0, judgement.until - now), 1),
                tuple(end.report.report_id for end in ends),
            )
        )
    return sorted(found, key=lambda row: (-row.seconds_left, row.fingerprint))


def quarantined(evidence: Evidence, now: float) -> int:
    """Return the number of requests that are quarantined now."""
    return sum(
        row.standing == Standing.QUARANTINED.value
        for row in rows(evidence, now)
    )
