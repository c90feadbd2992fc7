"""Rate limit of log lines by event, so that a burst can't fill the disk.

Excess lines of an event are dropped and counted; the next line of that
event reports how many were dropped before it.
"""

import time

import structlog

# Sustained rate and burst size of one event. They keep a process under full
# load below a few hundred lines a second.
LINES_PER_SECOND = 40.0
LINES_AT_ONCE = 120.0


class EventBudget:
    """Token bucket of one event."""

    __slots__ = ('filled_at', 'left_out', 'tokens')

    def __init__(self, now: float):
        self.tokens = LINES_AT_ONCE
        self.filled_at = now
        self.left_out = 0

    def take(self, now: float) -> bool:
        gained = (now - self.filled_at) * LINES_PER_SECOND
        self.tokens = min(LINES_AT_ONCE, self.tokens + gained)
        self.filled_at = now
        if self.tokens < 1.0:
            self.left_out += 1
            return False
        self.tokens -= 1.0
        return True


class LineBudget:
    """Structlog processor that drops lines over the rate limit."""

    def __init__(self, clock=time.monotonic):
        self.clock = clock
        self.events: dict[str, EventBudget] = {}

    def __call__(self, _logger, _method, fields: dict) -> dict:
        name = str(fields.get('event', ''))
        now = self.clock()
        budget = self.events.get(name)
        if budget is None:
            budget = self.events[name] = EventBudget(now)
        if not budget.take(now):
            raise structlog.DropEvent
        if budget.left_out:
            fields['left_out'] = budget.left_out
            budget.left_out = 0
        return fields
