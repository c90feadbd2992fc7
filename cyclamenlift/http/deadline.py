"""A movable deadline that reuses one timer."""

from collections.abc import Callable

from cyclamenlift.core.tasks import Scheduler
from cyclamenlift.core.tasks import Timer


class MovingDeadline:
    """Calls ``expired`` once the deadline passes; None means no deadline.

    A timer for each request would fill the scheduler's heap. So a later
    deadline is only stored, and the pending timer re-arms itself for it.
    """

    __slots__ = ('deadline', 'expired', 'scheduler', 'timer')

    def __init__(self, scheduler: Scheduler, expired: Callable[[], None]):
        self.scheduler = scheduler
        self.expired = expired
        self.deadline: float | None = None
        self.timer: Timer | None = None

    def set_after(self, seconds: float) -> None:
        """Set the deadline to ``seconds`` from now."""
        self.set_at(self.scheduler.clock.now() + seconds)

    def set_at(self, deadline: float) -> None:
        """Set the deadline; only an earlier one needs a new timer."""
        self.deadline = deadline
        if self.timer is not None:
            if self.timer.deadline <= deadline:
                return
            self.timer.cancel()
        self.timer = self.scheduler.at(deadline, self.check)

    def clear(self) -> None:
        """Remove the deadline and keep the timer for reuse."""
        self.deadline = None

    def remaining(self) -> float | None:
        """Return the remaining seconds, None without a deadline."""
        if self.deadline is None:
            return None
        return self.deadline - self.scheduler.clock.now()

    def cancel(self) -> None:
        """Remove the deadline and cancel the timer."""
        self.deadline = None
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None

    def check(self) -> None:
        """Timer callback: expire, or re-arm if the deadline has moved."""
        self.timer = None
        if self.deadline is None:
            return
        if self.deadline > self.scheduler.clock.now():
            self.set_at(self.deadline)
        else:
            self.expired()
