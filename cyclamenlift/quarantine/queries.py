"""What operators see of the requests that end targets."""

import dataclasses

from cyclamenlift.quarantine.state import Evidence
from cyclamenlift.quarantine.state import Standing


@dataclasses.dataclass(frozen=True, slots=True)
class QuarantineRow:
    """One request that is no longer clear at a service.

    ``seconds_left`` is how long it is still kept away, 0 for a suspect.
    """

    fingerprint: str
    service: str
    standing: str
    seconds_left: float
    reports: tuple[str, ...]


def rows(evidence: Evidence, now: float) -> list[QuarantineRow]:
    """Return the requests that are kept away or suspects, worst first."""
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
    """Return how many requests are kept away now."""
    return sum(
        row.standing == Standing.QUARANTINED.value
        for row in rows(evidence, now)
    )
