"""Defers calls until the target has reported its current pace.

A call of 660 ms that begins in a slowdown takes 4.6 s, and slowdowns begin at
any time. If they come every 1.5 s, a pace figure that is 80 ms old is wrong
for about one call in twenty.
"""

from collections.abc import Callable
from collections.abc import Hashable

# How long a call waits for the pace, in seconds, before it continues without
# it. An estimate: the health page is on the same instance, so a longer delay
# means that the instance is overloaded.
QUERY_TIMEOUT_SECONDS = 0.02


class PaceQueries:
    """Sends one pace query at a time and resumes the calls that wait.

    ``send_query`` makes sure that a query is open; it returns False if none
    can be sent.
    """

    def __init__(self, scheduler) -> None:
        self.scheduler = scheduler
        self.send_query: Callable[[], bool] = lambda: False
        self.waiting: dict[Hashable, Callable[[], None]] = {}
        self.timer = None

    def defer(self, key: Hashable, resume: Callable[[], None]) -> bool:
        """Query the pace and run ``resume`` then; False if impossible."""
        if not self.send_query():
            return False
        if not self.waiting:
            self.timer = self.scheduler.after(
                QUERY_TIMEOUT_SECONDS, self.resume_all
            )
        self.waiting[key] = resume
        return True

    def resume_all(self) -> None:
        """Resume all waiting calls, after an answer or a timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting = list(self.waiting.values())
        self.waiting.clear()
        for resume in waiting:
            resume()

    def withdraw(self, key: Hashable) -> bool:
        """Remove a call that has ended; False if it was not waiting."""
        return self.waiting.pop(key, None) is not None
