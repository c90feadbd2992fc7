"""Results of a load run: outcomes and latency by kind of call."""

import collections
import dataclasses
import enum

from hdrh.histogram import HdrHistogram

from cyclamenlift.core.clock import MICROSECONDS

LOWEST_US = 1
HIGHEST_US = 120_000_000
DIGITS = 3
PERCENTILES = {'p50': 50.0, 'p90': 90.0, 'p99': 99.0, 'p999': 99.9}


class CallKind(enum.StrEnum):
    """Kind of a call."""

    READ = 'read'
    BOOKING = 'booking'
    UPLOAD = 'upload'


class CallClass(enum.StrEnum):
    """Outcome of a call for its caller."""

    ANSWERED = 'answered'
    TARGET_ERROR = 'target_error'
    NOT_RUN = 'not_run'
    UNKNOWN = 'unknown'
    WRONG = 'wrong'
    BROKEN = 'broken'
    NO_ANSWER = 'no_answer'


@dataclasses.dataclass(slots=True)
class CallRecord:
    """Outcome of one call, timed from its intended start."""

    kind: CallKind
    call_class: CallClass
    code: int
    status: int
    seconds: float
    key: str = ''
    sha256: str = ''
    target: str = ''


class KindSummary:
    """Counts and latency histogram of one kind of call."""

    def __init__(self):
        self.sent = 0
        self.classes: collections.Counter[CallClass] = collections.Counter()
        self.codes: collections.Counter[int] = collections.Counter()
        self.latency = new_histogram()

    def add(self, record: CallRecord) -> None:
        self.sent += 1
        self.classes[record.call_class] += 1
        self.codes[record.code or record.status] += 1
        self.latency.record_value(to_microseconds(record.seconds))

    def as_json(self) -> dict:
        value = {'sent': self.sent}
        for item in CallClass:
            value[item.value] = self.classes[item]
        value['codes'] = {str(k): v for k, v in sorted(self.codes.items())}
        value['latency_ms'] = quantiles_ms(self.latency)
        return value


class Summary:
    """Summary of all calls of one run.

    ``latency`` includes failed calls and is measured from the intended
    start. ``lateness`` is the part of it that the load generator caused by
    starting calls late; if it is large, the generator was the bottleneck.
    """

    def __init__(self):
        self.kinds = {kind: KindSummary() for kind in CallKind}
        self.total = KindSummary()
        self.lateness = new_histogram()
        self.keys_answered: list[str] = []
        self.uploads_answered: list[tuple[str, str]] = []
        self.by_target: collections.Counter[str] = collections.Counter()
        self.connections_opened = 0
        self.stray_connections = 0
        self.seconds = 0.0

    def add(self, record: CallRecord) -> None:
        self.kinds[record.kind].add(record)
        self.total.add(record)
        if record.call_class is not CallClass.ANSWERED:
            return
        self.by_target[record.target] += 1
        if record.key:
            self.keys_answered.append(record.key)
        if record.kind is CallKind.UPLOAD:
            self.uploads_answered.append((record.key, record.sha256))

    def failures(self) -> int:
        """Return the number of calls without a successful answer."""
        return self.total.sent - self.total.classes[CallClass.ANSWERED]

    def as_json(self) -> dict:
        """Return the summary as a JSON value; latencies in milliseconds."""
        return {
            'seconds': round(self.seconds, 3),
            'total': self.total.as_json(),
            'kinds': {
                kind.value: found.as_json()
                for kind, found in self.kinds.items()
                if found.sent
            },
            'lateness_ms': quantiles_ms(self.lateness),
            'by_target': dict(self.by_target),
            'connections_opened': self.connections_opened,
            'stray_connections': self.stray_connections,
        }


def new_histogram() -> HdrHistogram:
    return HdrHistogram(LOWEST_US, HIGHEST_US, DIGITS)


def to_microseconds(seconds: float) -> int:
    """Convert to microseconds, clamped to the range of the histogram."""
    found = int(seconds * MICROSECONDS)
    return min(HIGHEST_US, max(LOWEST_US, found))


def quantiles_ms(histogram: HdrHistogram) -> dict[str, float]:
    """Return quantiles and the maximum, in milliseconds."""
    if histogram.get_total_count() == 0:
        return {}
    found = {
        name: histogram.get_value_at_percentile(share) / 1000.0
        for name, share in PERCENTILES.items()
    }
    found['max'] = histogram.get_max_value() / 1000.0
    return found
