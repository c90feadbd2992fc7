"""A budget of log lines for each event: a crowd must not fill the disk.

Each event may be written some times a second; what is beyond is counted,
and the next line of that event says how many were left out before it.
"""

import time

import structlog

# Lines of one event a second, and how many may come at once. A process
# under full load stays below a few hundred lines a second with them.
LINES_PER_SECOND = 40.0
LINES_AT_ONCE = 120.0


class EventBudget:
    """A token bucket of one event."""

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
    """A structlog processor that leaves out what is beyond the budget."""

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
