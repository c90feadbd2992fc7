"""Calls that wait for their target's word on its pace.

The load that this answers: a call of 660 ms that begins in a slow spell takes
4.6 s, and spells begin at any moment, so a figure of the pace that is 80 ms
old is wrong for about one call in twenty, where spells come each 1.5 s.
"""

from collections.abc import Callable
from collections.abc import Hashable

# How long a call waits for the word, in seconds, before it goes on without.
# Chosen, not measured: the page is on the same instance, so an answer that
# takes longer means that the instance is overloaded.
ANSWER_SECONDS = 0.02


class PaceQuestions:
    """One question at a time, and what goes on when it is answered.

    ``ask`` sees to it that an answer is under way; False if it can't be.
    """

    def __init__(self, scheduler) -> None:
        self.scheduler = scheduler
        self.ask: Callable[[], bool] = lambda: False
        self.waiting: dict[Hashable, Callable[[], None]] = {}
        self.timer = None

    def put(self, key: Hashable, go_on: Callable[[], None]) -> bool:
        """Ask, and run ``go_on`` then; False if nothing can be asked."""
        if not self.ask():
            return False
        if not self.waiting:
            self.timer = self.scheduler.after(ANSWER_SECONDS, self.answered)
        self.waiting[key] = go_on
        return True

    def answered(self) -> None:
        """Go on with all that waited, whether there was an answer or not."""
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting = list(self.waiting.values())
        self.waiting.clear()
        for go_on in waiting:
            go_on()

    def withdraw(self, key: Hashable) -> bool:
        """Take out a call that ended meanwhile; False if it is not here."""
        return self.waiting.pop(key, None) is not None
