"""Timers and the root component of the event loop.

circuits runs the loop. One component keeps all timers in one heap, since a
circuits ``Timer`` adds a handler to every iteration of the loop and a call
needs several timers.
"""

from collections.abc import Callable
import heapq
import itertools

from circuits.core.components import BaseComponent

from cyclamenlift.core.clock import Clock
from cyclamenlift.core.clock import SystemClock
from cyclamenlift.core.poller import DirectPoller


class Timer:
    """A scheduled callback that can be cancelled."""

    __slots__ = ('callback', 'deadline')

    def __init__(self, deadline: float, callback: Callable[[], None]):
        self.deadline = deadline
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Scheduler(BaseComponent):
    """Runs callbacks at their deadlines, on the thread of the loop.

    Cancelled timers stay in the heap until their deadline, since removing
    them would need a search for each call. Deadlines of calls are seconds
    at most, so the heap stays small.
    """

    channel = 'scheduler'

    def __init__(self, clock: Clock | None = None):
        super().__init__(channel='scheduler')
        self.clock = clock or SystemClock()
        self.order = itertools.count()
        self.heap: list[tuple[float, int, Timer]] = []

    def at(self, deadline: float, callback: Callable[[], None]) -> Timer:
        """Run ``callback`` once the monotonic clock reaches ``deadline``."""
        timer = Timer(deadline, callback)
        heapq.heappush(self.heap, (deadline, next(self.order), timer))
        return timer

    def after(self, seconds: float, callback: Callable[[], None]) -> Timer:
        """Run ``callback`` ``seconds`` from now."""
        return self.at(self.clock.now() + seconds, callback)

    def every(self, seconds: float, callback: Callable[[], None]) -> None:
        """Run ``callback`` every ``seconds``, first after one period."""

        def run() -> None:
            self.after(seconds, run)
            callback()

        self.after(seconds, run)

    def run_due(self) -> float | None:
        """Run due callbacks; return the seconds to the next, None if none."""
        now = self.clock.now()
        while self.heap and self.heap[0][0] <= now:
            timer = heapq.heappop(self.heap)[2]
            if timer.callback is not None:
                callback = timer.callback
                timer.callback = None
                callback()
        while self.heap and self.heap[0][2].callback is None:
            heapq.heappop(self.heap)
        if not self.heap:
            return None
        return max(0.0, self.heap[0][0] - self.clock.now())


class Root(BaseComponent):
    """Root component of a process with its poller and scheduler."""

    channel = 'root'

    def __init__(self, clock: Clock | None = None):
        super().__init__(channel='root')
        self.scheduler = Scheduler(clock).register(self)
        self.poller = DirectPoller(self.scheduler).register(self)


def build_root(clock: Clock | None = None) -> Root:
    """Return a root component with a poller and a scheduler."""
    return Root(clock)
