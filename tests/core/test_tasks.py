"""Timers run in order, once, and never after cancellation."""

from cyclamenlift.core.tasks import Scheduler


class FakeClock:
    """A clock that the test sets."""

    def __init__(self):
        self.instant = 0.0

    def now(self) -> float:
        return self.instant

    def unix_ms(self) -> int:
        return int(self.instant * 1000)


def test_timers_run_in_order_of_their_deadlines_and_not_when_cancelled():
    clock = FakeClock()
    scheduler = Scheduler(clock)
    ran = []
    scheduler.at(2.0, lambda: ran.append('second'))
    scheduler.at(1.0, lambda: ran.append('first'))
    scheduler.at(1.5, lambda: ran.append('never')).cancel()
    clock.instant = 1.0
    assert scheduler.run_due() == 1.0
    clock.instant = 5.0
    assert scheduler.run_due() is None
    assert ran == ['first', 'second']


def test_periodic_timer_repeats():
    clock = FakeClock()
    scheduler = Scheduler(clock)
    ran = []
    scheduler.every(1.0, lambda: ran.append(clock.instant))
    for instant in (1.0, 2.0, 3.0):
        clock.instant = instant
        scheduler.run_due()
    assert ran == [1.0, 2.0, 3.0]
