"""Keeps to the limit that a target declares in its responses.

A target in need says how many calls a second it takes from all instances
together, for as long as it says so. Pure logic; callers pass the time in.
"""

import math

from cyclamenlift.core.spaced_returns import SpacedReturns
from cyclamenlift.gate.call_window import CallBound
from cyclamenlift.gate.call_window import StartLimit

# A target that declares a lower limit still gets a call this often, in calls a
# second: its answer may be all that tells when the limit ends.
MIN_CALLS_PER_SECOND = 0.1
# Span in which a share of the limit may be sent at once, in seconds. With a
# longer one the first calls would take all, and the urgent ones that come
# after them would wait past their objectives.
WINDOW_SECONDS = 0.25
NEVER = -math.inf


class DeclaredLimit(StartLimit):
    """The limit that a target declares, and the calls that count for it.

    Responses may be read in another order than they were written. A lower
    limit holds at once; a higher one, or none, only if the response is to a
    request that was sent after the limit was last heard.
    """

    def __init__(self) -> None:
        super().__init__()
        self.calls_per_second: float | None = None
        # When a response named the limit last.
        self.heard_at = NEVER
        # Whether the target itself has told this process what it takes.
        self.was_told = False
        # Whether the health page has named a limit, so that its silence means
        # that there is none.
        self.page_tells = False
        # When this process started.
        self.started_at = NEVER
        self.returns = SpacedReturns()

    # -- what the target says ---------------------------------------------

    def follow_predecessor(self, started_at: float) -> None:
        """Count the unknown calls of the process that this one replaced."""
        self.started_at = started_at

    def begin_incarnation(self) -> None:
        """Forget the limit, since another target has started."""
        self.set_limit(None)
        self.heard_at = NEVER
        self.was_told = False
        self.page_tells = False

    def note_answer(
        self, calls_per_second: float | None, sent_at: float, now: float
    ) -> bool:
        """Record the limit in the answer to a call, None for no limit.

        Returns whether the limit has changed.
        """
        self.was_told = True
        return self.note(calls_per_second, sent_at, now)

    def note_page(
        self, calls_per_second: float | None, asked_at: float, now: float
    ) -> bool:
        """Record the limit on the health page, None for no limit.

        A page that never named one says nothing by its silence. Returns
        whether the limit has changed.
        """
        if calls_per_second is not None:
            self.page_tells = True
        if not self.page_tells:
            return False
        self.was_told = True
        return self.note(calls_per_second, asked_at, now)

    def note_hearsay(self, calls_per_second: float) -> bool:
        """Record a limit that an entry was told by a predecessor.

        What the target itself has told this process goes first. Returns
        whether the limit has changed.
        """
        known = self.calls_per_second
        if self.was_told or (known is not None and known <= calls_per_second):
            return False
        self.set_limit(calls_per_second)
        return True

    def note(
        self, calls_per_second: float | None, sent_at: float, now: float
    ) -> bool:
        """Record a limit in the response to a request sent at ``sent_at``."""
        known = self.calls_per_second
        if not is_as_strict(calls_per_second, known):
            if sent_at <= self.heard_at:
                return False
        if calls_per_second is not None:
            self.heard_at = max(self.heard_at, now)
        if calls_per_second == known:
            return False
        self.set_limit(calls_per_second)
        return True

    def set_limit(self, calls_per_second: float | None) -> None:
        """Set the limit; only calls sent under a limit count."""
        self.calls_per_second = calls_per_second
        if calls_per_second is None:
            self.window.bound = None
            self.window.sent.clear()
        else:
            self.window.bound = bound_of(calls_per_second, self.page_tells)

    # -- calls -------------------------------------------------------------

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a call may be sent behind ``ahead`` others.

        0 if it may be sent now. A process that has just started waits for a
        window, as its predecessor may have sent all that the target takes.
        """
        if self.window.bound is None:
            return 0.0
        known_from = self.started_at + self.window.bound.seconds
        return max(known_from - now, self.window.wait(now, ahead))

    def return_wait(self, now: float, wait: float) -> float:
        """Return the seconds after which a refused caller should return.

        ``wait`` is when the target may get a call again. Callers refused one
        after the other are told times as far apart as the target takes calls,
        so that they don't return together to be refused again.
        """
        bound = self.window.bound
        if bound is None:
            return wait
        gap = bound.seconds / max(1, bound.max_calls)
        return self.returns.wait(now, wait, gap)


def is_as_strict(rate: float | None, other: float | None) -> bool:
    """Return whether a limit allows no more than another; None is no limit.

    >>> is_as_strict(2.0, None), is_as_strict(2.0, 2.0)
    (True, True)
    >>> is_as_strict(3.0, 2.0), is_as_strict(None, 2.0)
    (False, False)
    """
    if rate is None:
        return other is None
    return other is None or rate <= other


def bound_of(calls_per_second: float, page_tells: bool) -> CallBound:
    """Return how many calls may be sent in which span.

    The calls of about a window, or one, in the time that they may take. A
    target that takes none gets none if its page tells when that ends.

    >>> bound_of(40.0, False)
    CallBound(max_calls=10, seconds=0.25)
    >>> bound_of(0.5, False)
    CallBound(max_calls=1, seconds=2.0)
    >>> bound_of(0.0, True).max_calls, bound_of(0.0, False).seconds
    (0, 10.0)
    """
    if not calls_per_second and page_tells:
        return CallBound(0, WINDOW_SECONDS)
    rate = max(calls_per_second, MIN_CALLS_PER_SECOND)
    max_calls = max(1, round(rate * WINDOW_SECONDS))
    return CallBound(max_calls, max_calls / rate)
