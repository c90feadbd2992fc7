"""What is known against requests that ran when targets ended.

A target that ends takes all that it runs with it, so each end is evidence
against every request that ran there. One that is harmful is there each time
and is never answered; a bystander is answered elsewhere, before or after.
Pure decisions; time is passed in, and all times are of one clock.
"""

import collections
from collections.abc import Iterable
import dataclasses
import enum
import hashlib
import itertools
import math

# Ends within this time, in seconds, count as one: targets that lose power or
# are killed together ended of the same cause. Reports of one instant come
# over several paths, some tens of milliseconds apart.
TOGETHER = 0.1
# The same where the request began to run at the second target only after
# the first had ended: then it can't have been there by chance. As far as
# the times of two reports can be trusted.
TOGETHER_BEGUN_LATER = 0.02
# How long a request is a suspect after a single end, in seconds: with about
# twenty bystanders for each cause, most of them are innocent.
SUSPECT_SECONDS = 60.0
# How long a request is kept away, in seconds, by the number of ends under
# it: two may be chance. After it one trial is let through, and a further
# end doubles the price of the next one many times over.
QUARANTINE_SECONDS = {2: 30.0, 3: 120.0, 4: 600.0}
LONGEST_QUARANTINE = 3600.0
FEWEST_ENDS = 2
# Ends that leave no doubt: two are believed only if nobody else had both.
CLEAR_ENDS = 3
# How long an end is remembered, in seconds: longer than any quarantine.
REPORT_SECONDS = 2 * LONGEST_QUARANTINE
MOST_REPORTS = 512
# How long an answer speaks for a request, in seconds, and how many are
# remembered: what a daemon answers in some twenty seconds.
ANSWER_SECONDS = 30.0
MOST_ANSWERS = 1024
KEY_BYTES = 8


class Standing(enum.Enum):
    """How a request is to be treated."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """A target ended while it ran these requests.

    ``begun_at`` holds when it began each of them. If ``lifted``, what was
    known against them before counts no more.
    """

    report_id: str
    service: str
    fingerprints: tuple[bytes, ...]
    at: float
    begun_at: tuple[float, ...] = ()
    lifted: bool = False

    @property
    def key(self) -> int:
        """A short digest of the report's name, for comparisons."""
        digest = hashlib.blake2b(
            self.report_id.encode(), digest_size=KEY_BYTES
        )
        return int.from_bytes(digest.digest(), 'big') >> 1


@dataclasses.dataclass(frozen=True, slots=True)
class End:
    """One end that counts against one request, which began there then."""

    report: Report
    begun_at: float

    @property
    def at(self) -> float:
        return self.report.at


@dataclasses.dataclass(frozen=True, slots=True)
class Judgement:
    """What follows for a request; ``until`` is when a quarantine ends."""

    standing: Standing
    until: float = 0.0
    report_ids: tuple[str, ...] = ()


CLEAR = Judgement(Standing.CLEAR)


class Evidence:
    """The ends that are known here, and what was answered lately.

    ``digest`` stands for all reports that are kept.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[int, Report] = (
            collections.OrderedDict()
        )
        self.digest = 0
        # The ends under a request, oldest first, and until when they
        # count no more against it.
        self.against: dict[bytes, list[End]] = {}
        self.lifted_at: dict[bytes, float] = {}
        self.answered_at: collections.OrderedDict[bytes, float] = (
            collections.OrderedDict()
        )

    # -- queries ----------------------------------------------------------

    def judge(self, fingerprint: bytes, now: float) -> Judgement:
        """Return how a request is to be treated now."""
        if fingerprint not in self.against:
            return CLEAR
        counted = self.counted(fingerprint)
        if not counted:
            return CLEAR
        number = count_separate(counted)
        last = counted[-1].at
        if number < FEWEST_ENDS:
            young = now - last < SUSPECT_SECONDS
            return Judgement(Standing.SUSPECT) if young else CLEAR
        if number < CLEAR_ENDS and self.has_company(fingerprint, counted):
            return Judgement(Standing.SUSPECT)
        seconds = QUARANTINE_SECONDS.get(number, LONGEST_QUARANTINE)
        if now >= last + seconds:
            return Judgement(Standing.SUSPECT)
        names = tuple(end.report.report_id for end in counted)
        return Judgement(Standing.QUARANTINED, last + seconds, names)

    def counted(self, fingerprint: bytes) -> list[End]:
        """Return the ends that count against a request, oldest first."""
        since = self.lifted_at.get(fingerprint)
        ends = self.against.get(fingerprint, [])
        if since is None:
            return ends
        return [end for end in ends if end.at > since]

    def has_company(self, fingerprint: bytes, counted: list[End]) -> bool:
        """Tell whether another request was there at each of these ends."""
        shared = set(counted[0].report.fingerprints)
        for end in counted[1:]:
            shared.intersection_update(end.report.fingerprints)
        shared.discard(fingerprint)
        first = counted[0].at
        return any(
            self.lifted_at.get(other, -math.inf) < first for other in shared
        )

    def keys(self) -> list[int]:
        return list(self.reports)

    def unknown_to(self, keys: Iterable[int]) -> list[Report]:
        """Return the reports whose keys are not among these."""
        known = set(keys)
        return [r for key, r in self.reports.items() if key not in known]

    # -- changes ----------------------------------------------------------

    def add(self, report: Report, now: float) -> list[bytes]:
        """Take a report; return whom it accuses although they were answered.

        Those are cleared here; the others should be told.
        """
        key = report.key
        if key in self.reports or now - report.at > REPORT_SECONDS:
            return []
        self.reports[key] = report
        self.digest ^= key
        if report.lifted:
            self.lift(report.fingerprints, report.at)
        else:
            self.accuse(report)
        while len(self.reports) > MOST_REPORTS:
            self.drop(next(iter(self.reports)))
        if report.lifted:
            return []
        return [f for f in report.fingerprints if self.excuse(f, now)]

    def knows(self, report: Report) -> bool:
        return report.key in self.reports

    def accuse(self, report: Report) -> None:
        for fingerprint, begun_at in zip(
            report.fingerprints, report.begun_at, strict=True
        ):
            ends = self.against.setdefault(fingerprint, [])
            ends.append(End(report, begun_at))
            ends.sort(key=lambda end: end.at)

    def lift(self, fingerprints: Iterable[bytes], at: float) -> None:
        """Let ends up to ``at`` count no more against these requests."""
        for fingerprint in fingerprints:
            known = self.lifted_at.get(fingerprint, at)
            self.lifted_at[fingerprint] = max(at, known)

    def excuse(self, fingerprint: bytes, now: float) -> bool:
        """Clear a request that was answered lately; tell if others matter.

        A single end does little harm to a bystander, so only what would be
        kept away elsewhere is worth a word to all.
        """
        answered_at = self.answered_at.get(fingerprint)
        if answered_at is None or now - answered_at > ANSWER_SECONDS:
            return False
        number = count_separate(self.counted(fingerprint))
        self.lift([fingerprint], now)
        return number >= FEWEST_ENDS

    def note_answer(self, fingerprint: bytes, now: float) -> bool:
        """Take it that a target ran a request and answered it.

        Return whether others should be told that it is cleared.
        """
        answered = self.answered_at
        answered[fingerprint] = now
        answered.move_to_end(fingerprint)
        if len(answered) > MOST_ANSWERS:
            answered.popitem(last=False)
        if fingerprint not in self.against:
            return False
        return self.excuse(fingerprint, now)

    def was_answered(self, fingerprint: bytes, now: float) -> bool:
        answered_at = self.answered_at.get(fingerprint)
        return answered_at is not None and now - answered_at <= ANSWER_SECONDS

    def forget_old(self, now: float) -> None:
        """Drop what is older than any quarantine."""
        old = [
            key
            for key, report in self.reports.items()
            if now - report.at > REPORT_SECONDS
        ]
        for key in old:
            self.drop(key)

    def drop(self, key: int) -> None:
        report = self.reports.pop(key)
        self.digest ^= key
        if report.lifted:
            return
        for fingerprint in report.fingerprints:
            ends = self.against[fingerprint]
            left = [end for end in ends if end.report is not report]
            if left:
                self.against[fingerprint] = left
            else:
                del self.against[fingerprint]
                self.lifted_at.pop(fingerprint, None)


def count_separate(ends: list[End]) -> int:
    """Return how many ends, oldest first, had causes of their own.

    >>> def end(at, begun_at):
    ...     return End(Report('', '', (), at), begun_at)
    >>> count_separate([end(1.0, 0.5), end(1.05, 0.5), end(1.2, 0.5)])
    2
    >>> count_separate([end(1.0, 0.5), end(1.05, 1.01)])
    2
    """
    number = 0
    first = -math.inf
    for end in ends:
        if is_separate(end, first):
            number += 1
            first = end.at
    return number


def is_separate(end: End, before: float) -> bool:
    """Tell whether an end had another cause than the one before."""
    apart = end.at - before
    if end.begun_at > before - TOGETHER_BEGUN_LATER:
        return apart > TOGETHER_BEGUN_LATER
    return apart > TOGETHER


def split(items: Iterable, size: int) -> list[tuple]:
    """Return the items in parts of ``size`` at most, in order.

    >>> split('abc', 2)
    [('a', 'b'), ('c',)]
    """
    rest = iter(items)
    return list(iter(lambda: tuple(itertools.islice(rest, size)), ()))
