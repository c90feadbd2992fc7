"""The event loop's root and its timers.

circuits owns the loop. Timers are kept in one heap by one component, since
a circuits ``Timer`` adds a handler to every round of the loop and a call
needs several.
"""

from collections.abc import Callable
import heapq
import itertools

from circuits.core.components import BaseComponent

from cyclamenlift.core.clock import Clock
from cyclamenlift.core.clock import SystemClock
from cyclamenlift.core.poller import DirectPoller


class Timer:
    """One pending callback; ``cancel`` makes it never run."""

    __slots__ = ('callback', 'deadline')

    def __init__(self, deadline: float, callback: Callable[[], None]):
        self.deadline = deadline
        self.callback: Callable[[], None] | None = callback

    def cancel(self) -> None:
        self.callback = None


class Scheduler(BaseComponent):
    """Runs callbacks at their deadlines, on the loop's own thread.

    Cancelled timers stay in the heap until their deadline: removal would
    cost a search for each call. Deadlines of calls are seconds at most, so
    the heap stays small.
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
        """Run ``callback`` each ``seconds``, first after one period."""

        def run() -> None:
            self.after(seconds, run)
            callback()

        self.after(seconds, run)

    def run_due(self) -> float | None:
        """Run what is due; return the seconds to the next, None if none."""
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
    """The root component of a process: it holds poller and scheduler."""

    channel = 'root'

    def __init__(self, clock: Clock | None = None):
        super().__init__(channel='root')
        self.scheduler = Scheduler(clock).register(self)
        self.poller = DirectPoller(self.scheduler).register(self)


def build_root(clock: Clock | None = None) -> Root:
    """Return a root with its poller and its scheduler."""
    return Root(clock)
