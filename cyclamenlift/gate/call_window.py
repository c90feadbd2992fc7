"""Limits the calls to a target to so many in any span of time.

All calls to a target pass its gate, so the limit is exact without messages.
Pure logic; callers pass the time in.
"""

import collections
from collections.abc import Hashable
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class CallBound:
    """At most ``max_calls`` calls in any ``seconds``."""

    max_calls: int
    seconds: float


class CallWindow:
    """Counts the calls of a sliding window.

    Calls that have a slot but were not sent yet count as well. Without a bound
    nothing is limited, and no call sent is counted.
    """

    def __init__(self) -> None:
        self.bound: CallBound | None = None
        self.sent: collections.deque[float] = collections.deque()
        self.promised: set[Hashable] = set()

    def promise(self, key: Hashable) -> None:
        """Count a call that has a slot and will be sent."""
        self.promised.add(key)

    def withdraw(self, key: Hashable) -> None:
        """Stop counting a call that was not sent."""
        self.promised.discard(key)

    def note_sent(self, key: Hashable, now: float) -> None:
        """Count a call that is being sent to the target."""
        self.promised.discard(key)
        if self.bound is not None:
            self.sent.append(now)

    def forget_until(self, instant: float) -> None:
        """Forget the calls that were sent until ``instant``."""
        while self.sent and self.sent[0] <= instant:
            self.sent.popleft()

    def wait(self, now: float, ahead: int = 0) -> float:
        """Return the seconds until a call may be sent behind ``ahead`` others.

        0 if it may be sent now.
        """
        if self.bound is None:
            return 0.0
        seconds = self.bound.seconds
        self.forget_until(now - seconds)
        before = len(self.sent) + len(self.promised) + ahead
        excess = before + 1 - self.bound.max_calls
        if excess <= 0:
            return 0.0
        if not self.sent:
            return seconds
        # Each call that is sent as an old one stops counting does so itself a
        # window later.
        rounds, index = divmod(excess - 1, len(self.sent))
        freed_at = self.sent[index] + seconds * (rounds + 1)
        return max(0.0, freed_at - now)


class StartLimit:
    """A limit that counts all calls to a target in a window."""

    def __init__(self) -> None:
        self.window = CallWindow()

    def promise(self, key: Hashable) -> None:
        """Count a call that has a slot and will be sent."""
        self.window.promise(key)

    def withdraw(self, key: Hashable) -> None:
        """Stop counting a call that was not sent."""
        self.window.withdraw(key)

    def note_sent(self, key: Hashable, now: float) -> None:
        """Count a call that is being sent to the target."""
        self.window.note_sent(key, now)
