"""Rate limit of log lines by event, so that a burst can't fill the disk.

Excess lines of an event are dropped and counted; the next line of that
event reports how many were dropped before it.
"""

import time

import structlog

# Sustained rate and burst size of one event. They keep a process under full
# load below a few hundred lines a second.
LINES_PER_SECOND = 40.0
BURST_LINES = 120.0


class TokenBucket:
    """Token bucket of one event."""

    __slots__ = ('dropped', 'filled_at', 'tokens')

    def __init__(self, now: float):
        self.tokens = BURST_LINES
        self.filled_at = now
        self.dropped = 0

    def try_take(self, now: float) -> bool:
        refill = (now - self.filled_at) * LINES_PER_SECOND
        self.tokens = min(BURST_LINES, self.tokens + refill)
        self.filled_at = now
        if self.tokens < 1.0:
            self.dropped += 1
            return False
        self.tokens -= 1.0
        return True


class LogRateLimiter:
    """Structlog processor that drops lines over the rate limit."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.buckets: dict[str, TokenBucket] = {}

    def __call__(self, _logger, _method, fields: dict) -> dict:
        name = str(fields.get('event', ''))
        now = self.clock()
        bucket = self.buckets.get(name)
        if bucket is None:
            bucket = self.buckets[name] = TokenBucket(now)
        if not bucket.try_take(now):
            raise structlog.DropEvent
        if bucket.dropped:
            fields['left_out'] = bucket.dropped
            bucket.dropped = 0
        return fields
