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
ANSWER_SECONDS = 0.02


class PaceQuestions:
    """Sends one pace query at a time and resumes the calls that wait.

    ``ask`` makes sure that a query is open and returns False if none can be
    sent.
    """

    def __init__(self, scheduler) -> None:
        self.scheduler = scheduler
        self.ask: Callable[[], bool] = lambda: False
        self.waiting: dict[Hashable, Callable[[], None]] = {}
        self.timer = None

    def put(self, key: Hashable, go_on: Callable[[], None]) -> bool:
        """Query the pace and run ``go_on`` then; False if impossible."""
        if not self.ask():
            return False
        if not self.waiting:
            self.timer = self.scheduler.after(ANSWER_SECONDS, self.answered)
        self.waiting[key] = go_on
        return True

    def answered(self) -> None:
        """Resume all waiting calls, after an answer or a timeout."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting = list(self.waiting.values())
        self.waiting.clear()
        for go_on in waiting:
            go_on()

    def withdraw(self, key: Hashable) -> bool:
        """Remove a call that has ended; False if it was not waiting."""
        return self.waiting.pop(key, None) is not None
