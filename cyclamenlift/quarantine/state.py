"""Decides which requests to quarantine, from reports of ended targets.

When a target process ends, all requests that it was running are suspects. A
harmful request is present each time and is never answered; an unrelated one is
answered elsewhere, before or after.

These are pure decisions. Time is passed in, and all times are of one clock.
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
# are killed together share a cause. Reports of simultaneous ends arrive over
# several paths, some tens of milliseconds apart.
SAME_CAUSE_SECONDS = 0.1
# The same limit if the second target began the request only after the first
# target had ended, which rules out coincidence. It allows for the inaccuracy
# of times in reports.
LATER_START_SECONDS = 0.02
# How long a request is a suspect after a single end, in seconds. With about
# twenty other requests running at each end, most suspects are harmless.
SUSPECT_SECONDS = 60.0
# Quarantine in seconds by the number of ends: two may be coincidence. After it
# one trial is allowed, and each further end extends the next quarantine
# several times over.
QUARANTINE_SECONDS = {2: 30.0, 3: 120.0, 4: 600.0}
MAX_QUARANTINE_SECONDS = 3600.0
MIN_ENDS = 2
# How long an end is remembered, in seconds: longer than any quarantine.
REPORT_SECONDS = 2 * MAX_QUARANTINE_SECONDS
MAX_REPORTS = 512
# How long an answer clears a request, in seconds, and how many answers are
# remembered: about twenty seconds' worth at one daemon.
ANSWER_SECONDS = 30.0
MAX_ANSWERS = 1024
REPORT_KEY_BYTES = 8


class QuarantineStatus(enum.Enum):
    """The quarantine status of a request."""

    CLEAR = 'clear'
    SUSPECT = 'suspect'
    QUARANTINED = 'quarantined'


class ServiceRequest(typing.NamedTuple):
    """A request to one service."""

    service: str
    fingerprint: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class Report:
    """Reports that a target ended while it ran these requests.

    ``begun_at`` holds the start time of each of them. If ``lifted`` is set,
    the report instead clears the requests of all earlier ends.
    """

    report_id: str
    service: str
    fingerprints: tuple[bytes, ...]
    at: float
    begun_at: tuple[float, ...] = ()
    lifted: bool = False

    def requests(self) -> list[ServiceRequest]:
        """Return the requests that the report is about."""
        return [ServiceRequest(self.service, f) for f in self.fingerprints]

    @property
    def key(self) -> int:
        """A short digest of the report's id, for comparisons."""
        digest = hashlib.blake2b(
            self.report_id.encode(), digest_size=REPORT_KEY_BYTES
        )
        return int.from_bytes(digest.digest(), 'big') >> 1


@dataclasses.dataclass(frozen=True, slots=True)
class TargetEnd:
    """One end that counts against one request, with its start time there."""

    report: Report
    begun_at: float

    @property
    def at(self) -> float:
        return self.report.at


@dataclasses.dataclass(frozen=True, slots=True)
class Assessment:
    """The status of a request; ``until`` is the end of a quarantine.

    ``is_trial`` marks a suspect whose quarantine has expired.
    """

    status: QuarantineStatus
    until: float = 0.0
    report_ids: tuple[str, ...] = ()
    is_trial: bool = False


CLEAR = Assessment(QuarantineStatus.CLEAR)


class EndHistory:
    """The known ends of targets and the latest answers.

    A request is assessed separately for each service, since one service may
    handle what makes another one's targets end. ``digest`` identifies the set
    of all stored reports.
    """

    def __init__(self) -> None:
        self.reports: collections.OrderedDict[int, Report] = (
            collections.OrderedDict()
        )
        self.digest = 0
        # The ends that involved each request, oldest first, and the time up to
        # which they no longer count.
        self.ends_by_request: dict[ServiceRequest, list[TargetEnd]] = {}
        self.lifted_at: dict[ServiceRequest, float] = {}
        # The services whose targets ended while running a request.
        self.services: dict[bytes, set[str]] = {}
        self.answered_at: collections.OrderedDict[ServiceRequest, float] = (
            collections.OrderedDict()
        )

    # -- queries ----------------------------------------------------------

    def assess(
        self, service: str, fingerprint: bytes, now: float
    ) -> Assessment:
        """Return the status of a request to a service."""
        services = self.services.get(fingerprint)
        if services is None:
            return CLEAR
        request = ServiceRequest(service, fingerprint)
        counted = self.counted_ends(request)
        number = self.effective_ends(request, counted)
        if number < MIN_ENDS and any(
            self.is_proven_harmful(ServiceRequest(other, fingerprint))
            for other in services
            if other != service
        ):
            # One end is enough here if another service has proven the request
            # harmful.
            number = number + MIN_ENDS if counted else 1
        if not number:
            return CLEAR
        return assess_ends(number, counted, now)

    def effective_ends(
        self, request: ServiceRequest, counted: list[TargetEnd]
    ) -> int:
        """Return how many ends count against a request at one service."""
        number = count_separate_causes(counted)
        if number != MIN_ENDS:
            return number
        far_apart = counted[-1].at - counted[0].at > SUSPECT_SECONDS
        if far_apart or self.has_common_request(request, counted):
            # Answers by other instances in between are not reported to all, so
            # the request may be harmless.
            return 1
        return number

    def is_proven_harmful(self, request: ServiceRequest) -> bool:
        return (
            self.effective_ends(request, self.counted_ends(request))
            >= MIN_ENDS
        )

    def counted_ends(self, request: ServiceRequest) -> list[TargetEnd]:
        """Return the ends that count against a request, oldest first."""
        ends = self.ends_by_request.get(request, [])
        since = self.lifted_at.get(request)
        if since is None:
            return ends
        return [end for end in ends if end.at > since]

    def has_common_request(
        self, request: ServiceRequest, counted: list[TargetEnd]
    ) -> bool:
        """Return whether another request was running at all of these ends."""
        shared = set(counted[0].report.fingerprints)
        for end in counted[1:]:
            shared.intersection_update(end.report.fingerprints)
        shared.discard(request.fingerprint)
        first = counted[0].at
        others = (ServiceRequest(request.service, other) for other in shared)
        return any(
            self.lifted_at.get(other, -math.inf) < first for other in others
        )

    def keys(self) -> list[int]:
        return list(self.reports)

    def contains(self, report: Report) -> bool:
        return report.key in self.reports

    def unknown_to(self, keys: Iterable[int]) -> list[Report]:
        """Return the reports whose keys are not among ``keys``."""
        known = set(keys)
        return [r for key, r in self.reports.items() if key not in known]

    def was_answered(self, request: ServiceRequest, now: float) -> bool:
        """Return whether a target has recently answered a request."""
        answered_at = self.answered_at.get(request)
        return answered_at is not None and now - answered_at <= ANSWER_SECONDS

    # -- changes ----------------------------------------------------------

    def add(self, report: Report, now: float) -> list[bytes]:
        """Add a report; return its requests that recent answers clear.

        Those are cleared locally, and other instances should be told.
        """
        key = report.key
        if key in self.reports or now - report.at > REPORT_SECONDS:
            return []
        self.reports[key] = report
        self.digest ^= key
        if report.lifted:
            self.lift(report)
        else:
            self.add_ends(report)
        while len(self.reports) > MAX_REPORTS:
            self.drop(next(iter(self.reports)))
        if report.lifted:
            return []
        return [
            request.fingerprint
            for request in report.requests()
            if self.clear_if_answered(request, now)
        ]

    def add_ends(self, report: Report) -> None:
        for request, begun_at in zip(
            report.requests(), report.begun_at, strict=True
        ):
            services = self.services.setdefault(request.fingerprint, set())
            services.add(request.service)
            ends = self.ends_by_request.setdefault(request, [])
            ends.append(TargetEnd(report, begun_at))
            ends.sort(key=lambda end: end.at)

    def lift(self, report: Report) -> None:
        """Clear the ends up to the report; no service means all services."""
        for fingerprint in report.fingerprints:
            services = [report.service]
            if not report.service:
                services = self.services.get(fingerprint, [])
            for service in services:
                self.clear(ServiceRequest(service, fingerprint), report.at)

    def clear(self, request: ServiceRequest, at: float) -> None:
        """Stop counting ends up to ``at`` against a request."""
        self.lifted_at[request] = max(at, self.lifted_at.get(request, at))

    def clear_if_answered(self, request: ServiceRequest, now: float) -> bool:
        """Clear a recently answered request; return whether to tell others.

        A single end has little effect on a harmless request, so other
        instances are told only if they would quarantine it.
        """
        if not self.was_answered(request, now):
            return False
        number = count_separate_causes(self.counted_ends(request))
        self.clear(request, now)
        return number >= MIN_ENDS

    def note_answer(
        self, service: str, fingerprint: bytes, now: float
    ) -> bool:
        """Record that a target ran and answered a request.

        Return whether other instances should be told that it is cleared.
        """
        request = ServiceRequest(service, fingerprint)
        answered = self.answered_at
        answered[request] = now
        answered.move_to_end(request)
        if len(answered) > MAX_ANSWERS:
            answered.popitem(last=False)
        if request not in self.ends_by_request:
            return False
        return self.clear_if_answered(request, now)

    def forget_old(self, now: float) -> None:
        """Drop reports older than any quarantine."""
        old = [
            key
            for key, report in self.reports.items()
            if now - report.at > REPORT_SECONDS
        ]
        for key in old:
            self.drop(key)

    def drop(self, key: int) -> None:
        """Drop one report and its ends."""
        report = self.reports.pop(key)
        self.digest ^= key
        if report.lifted:
            return
        for request in report.requests():
            ends = self.ends_by_request[request]
            left = [end for end in ends if end.report is not report]
            if left:
                self.ends_by_request[request] = left
            else:
                self.forget(request)

    def forget(self, request: ServiceRequest) -> None:
        del self.ends_by_request[request]
        self.lifted_at.pop(request, None)
        services = self.services[request.fingerprint]
        services.discard(request.service)
        if not services:
            del self.services[request.fingerprint]


def assess_ends(
    number: int, counted: list[TargetEnd], now: float
) -> Assessment:
    """Return the status after ``number`` ends; ``counted`` may be empty."""
    last = counted[-1].at if counted else now
    if number < MIN_ENDS:
        young = now - last < SUSPECT_SECONDS
        return Assessment(QuarantineStatus.SUSPECT) if young else CLEAR
    seconds = QUARANTINE_SECONDS.get(number, MAX_QUARANTINE_SECONDS)
    if now >= last + seconds:
        return Assessment(QuarantineStatus.SUSPECT, is_trial=True)
    names = tuple(end.report.report_id for end in counted)
    return Assessment(QuarantineStatus.QUARANTINED, last + seconds, names)


def count_separate_causes(ends: list[TargetEnd]) -> int:
    """Return how many of the ends, oldest first, had separate causes.

    >>> def end(at, begun_at):
    ...     return TargetEnd(Report('', '', (), at), begun_at)
    >>> count_separate_causes([end(1.0, 0.5), end(1.05, 0.5), end(1.2, 0.5)])
    2
    >>> count_separate_causes([end(1.0, 0.5), end(1.05, 1.01)])
    2
    """
    number = 0
    first = -math.inf
    for end in ends:
        if has_separate_cause(end, first):
            number += 1
            first = end.at
    return number


def has_separate_cause(end: TargetEnd, before: float) -> bool:
    """Return whether an end had another cause than the one before."""
    apart = end.at - before
    if end.begun_at > before - LATER_START_SECONDS:
        return apart > LATER_START_SECONDS
    return apart > SAME_CAUSE_SECONDS


def batched(items: Iterable, size: int) -> list[tuple]:
    """Return the items in batches of at most ``size``, in order.

    >>> batched('abc', 2)
    [('a', 'b'), ('c',)]
    """
    rest = iter(items)
    return list(iter(lambda: tuple(itertools.islice(rest, size)), ()))
