"""Notifies entries that recently called a gate of pace changes."""

from collections.abc import Callable
import dataclasses

from cyclamenlift.routing.finish import PACE_VALID_SECONDS
from cyclamenlift.wire.gen.protocol.ttypes import LoadFigures
from cyclamenlift.wire.gen.protocol.ttypes import LoadNews

# Entries that called within this time, in seconds, are notified of pace
# changes. A little longer than they use an old figure, so that no change is
# missed while one is used.
SUBSCRIPTION_SECONDS = PACE_VALID_SECONDS + 0.5
# A change of the pace by more than this factor is sent.
PACE_STEP = 1.3


@dataclasses.dataclass(slots=True)
class Subscriber:
    """An entry's link and when it last sent a call."""

    link: object
    last_call_at: float


class PaceNotifier:
    """The entries to notify, and the pace that they were last sent.

    ``hooks`` are also run with the figures, for the entry in this process.
    """

    def __init__(self) -> None:
        self.subscribers: dict[int, Subscriber] = {}
        self.last_sent_pace = 0
        self.hooks: list[Callable[[LoadFigures], None]] = []

    def note_call(self, link, now: float) -> None:
        """Record that an entry sent a call over ``link``."""
        self.subscribers[link.number] = Subscriber(link, now)

    def forget(self, link) -> None:
        self.subscribers.pop(link.number, None)

    def is_due(self, pace_percent: int) -> bool:
        """Return whether a pace differs from the one that was last sent."""
        if not pace_percent:
            return False
        return not is_same_pace(pace_percent, self.last_sent_pace)

    def notify(self, figures: LoadFigures, now: float) -> None:
        """Send the figures to entries that called recently."""
        self.last_sent_pace = figures.pace_percent
        message = LoadNews(figures)
        for number, subscriber in list(self.subscribers.items()):
            if now - subscriber.last_call_at > SUBSCRIPTION_SECONDS:
                del self.subscribers[number]
            else:
                subscriber.link.send(message)
        for hook in self.hooks:
            hook(figures)


def is_same_pace(pace: int, sent_pace: int) -> bool:
    """Return whether two paces differ too little to send an update.

    >>> is_same_pace(100, 110), is_same_pace(700, 100)
    (True, False)
    """
    low, high = sorted((pace, sent_pace))
    return high <= PACE_STEP * low
