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
import typing

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


class Subject(typing.NamedTuple):
    """A request to one service."""

    service: str
    fingerprint: bytes


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

    def subjects(self) -> list[Subject]:
        """Return whom it is about."""
        return [Subject(self.service, f) for f in self.fingerprints]

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
    """What follows for a request; ``until`` is when a quarantine ends.

    ``is_trial`` marks a suspect whose quarantine is over.
    """

    standing: Standing
    until: float = 0.0
    report_ids: tuple[str, ...] = ()
    is_trial: bool = False


CLEAR = Judgement(Standing.CLEAR)


class Evidence:
    """The ends that are known here, and what was answered lately.

    A request is judged for each service by what happened there, since one
    may serve what ends another. ``digest`` stands for all reports that are
    kept.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[int, Report] = (
            collections.OrderedDict()
        )
        self.digest = 0
        # The ends under a request, oldest first, and until when they
        # count no more against it.
        self.against: dict[Subject, list[End]] = {}
        self.lifted_at: dict[Subject, float] = {}
        # The services whose targets ended under a request.
        self.services: dict[bytes, set[str]] = {}
        self.answered_at: collections.OrderedDict[Subject, float] = (
            collections.OrderedDict()
        )

    # -- queries ----------------------------------------------------------

    def judge(self, service: str, fingerprint: bytes, now: float) -> Judgement:
        """Return how a request to a service is to be treated now."""
        services = self.services.get(fingerprint)
        if services is None:
            return CLEAR
        subject = Subject(service, fingerprint)
        counted = self.counted(subject)
        number = self.weight(subject, counted)
        if number < FEWEST_ENDS and any(
            self.is_proven(Subject(other, fingerprint))
            for other in services
            if other != service
        ):
            # One end here is enough where others have shown what it is.
            number = number + FEWEST_ENDS if counted else 1
        if not number:
            return CLEAR
        return sentence(number, counted, now)

    def weight(self, subject: Subject, counted: list[End]) -> int:
        """Return how many ends speak against a request at one service."""
        number = count_separate(counted)
        if number != FEWEST_ENDS:
            return number
        far_apart = counted[-1].at - counted[0].at > SUSPECT_SECONDS
        if far_apart or self.has_company(subject, counted):
            # What was answered in between elsewhere is not told to all.
            return 1
        return number

    def is_proven(self, subject: Subject) -> bool:
        return self.weight(subject, self.counted(subject)) >= FEWEST_ENDS

    def counted(self, subject: Subject) -> list[End]:
        """Return the ends that count against a request, oldest first."""
        ends = self.against.get(subject, [])
        since = self.lifted_at.get(subject)
        if since is None:
            return ends
        return [end for end in ends if end.at > since]

    def has_company(self, subject: Subject, counted: list[End]) -> bool:
        """Tell whether another request was there at each of these ends."""
        shared = set(counted[0].report.fingerprints)
        for end in counted[1:]:
            shared.intersection_update(end.report.fingerprints)
        shared.discard(subject.fingerprint)
        first = counted[0].at
        others = (Subject(subject.service, other) for other in shared)
        return any(
            self.lifted_at.get(other, -math.inf) < first for other in others
        )

    def keys(self) -> list[int]:
        return list(self.reports)

    def knows(self, report: Report) -> bool:
        return report.key in self.reports

    def unknown_to(self, keys: Iterable[int]) -> list[Report]:
        """Return the reports whose keys are not among these."""
        known = set(keys)
        return [r for key, r in self.reports.items() if key not in known]

    def was_answered(self, subject: Subject, now: float) -> bool:
        """Tell whether a target has answered a request lately."""
        answered_at = self.answered_at.get(subject)
        return answered_at is not None and now - answered_at <= ANSWER_SECONDS

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
            self.lift(report)
        else:
            self.accuse(report)
        while len(self.reports) > MOST_REPORTS:
            self.drop(next(iter(self.reports)))
        if report.lifted:
            return []
        return [
            subject.fingerprint
            for subject in report.subjects()
            if self.excuse(subject, now)
        ]

    def accuse(self, report: Report) -> None:
        for subject, begun_at in zip(
            report.subjects(), report.begun_at, strict=True
        ):
            services = self.services.setdefault(subject.fingerprint, set())
            services.add(subject.service)
            ends = self.against.setdefault(subject, [])
            ends.append(End(report, begun_at))
            ends.sort(key=lambda end: end.at)

    def lift(self, report: Report) -> None:
        """Let ends up to then count no more; no service stands for all."""
        for fingerprint in report.fingerprints:
            services = [report.service]
            if not report.service:
                services = self.services.get(fingerprint, [])
            for service in services:
                self.clear(Subject(service, fingerprint), report.at)

    def clear(self, subject: Subject, at: float) -> None:
        """Let ends up to ``at`` count no more against a request."""
        self.lifted_at[subject] = max(at, self.lifted_at.get(subject, at))

    def excuse(self, subject: Subject, now: float) -> bool:
        """Clear a request that was answered lately; tell if others matter.

        A single end does little harm to a bystander, so only what would be
        kept away elsewhere is worth a word to all.
        """
        if not self.was_answered(subject, now):
            return False
        number = count_separate(self.counted(subject))
        self.clear(subject, now)
        return number >= FEWEST_ENDS

    def note_answer(
        self, service: str, fingerprint: bytes, now: float
    ) -> bool:
        """Take it that a target ran a request and answered it.

        Return whether others should be told that it is cleared.
        """
        subject = Subject(service, fingerprint)
        answered = self.answered_at
        answered[subject] = now
        answered.move_to_end(subject)
        if len(answered) > MOST_ANSWERS:
            answered.popitem(last=False)
        if subject not in self.against:
            return False
        return self.excuse(subject, now)

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
        """Forget one report and what it says of requests."""
        report = self.reports.pop(key)
        self.digest ^= key
        if report.lifted:
            return
        for subject in report.subjects():
            ends = self.against[subject]
            left = [end for end in ends if end.report is not report]
            if left:
                self.against[subject] = left
            else:
                self.forget(subject)

    def forget(self, subject: Subject) -> None:
        del self.against[subject]
        self.lifted_at.pop(subject, None)
        services = self.services[subject.fingerprint]
        services.discard(subject.service)
        if not services:
            del self.services[subject.fingerprint]


def sentence(number: int, counted: list[End], now: float) -> Judgement:
    """Return what follows from so many ends; ``counted`` may be none."""
    last = counted[-1].at if counted else now
    if number < FEWEST_ENDS:
        young = now - last < SUSPECT_SECONDS
        return Judgement(Standing.SUSPECT) if young else CLEAR
    seconds = QUARANTINE_SECONDS.get(number, LONGEST_QUARANTINE)
    if now >= last + seconds:
        return Judgement(Standing.SUSPECT, is_trial=True)
    names = tuple(end.report.report_id for end in counted)
    return Judgement(Standing.QUARANTINED, last + seconds, names)


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
