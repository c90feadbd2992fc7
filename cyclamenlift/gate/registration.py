"""Which incarnation of the target runs at the gate's address.

Targets announce themselves. An incarnation is a name together with the
instant of its start: a target may start again under the name that it had,
and knows nothing of before. Each announcement of an incarnation has a
higher sequence number than the one before. What comes late must not bring
an old incarnation back. Pure decisions; time is passed in.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum

ENDED_KEPT = 64
# The start of an incarnation that nobody told: pages do not, and some
# targets never do.
UNKNOWN_START = 0
# The sequence number of what a target did not announce but was asked for.
ASKED = -1


class Announced(enum.Enum):
    """What an announcement changed."""

    NEW = 'new'
    AGAIN = 'again'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a target tells of itself.

    ``slots`` is how many calls it runs at once; ``warm_up_seconds`` how
    much longer it stays slow after its start; ``sequence`` is ``ASKED``
    where its page told this. ``born_ms`` is the Unix
    millisecond of its start, ``UNKNOWN_START`` where it is not told;
    ``address`` is where it listens, empty where that is not told.
    """

    incarnation: str
    service: str
    slots: int
    draining: bool = False
    warm_up_seconds: float = 0.0
    sequence: int = ASKED
    version: str = ''
    born_ms: int = UNKNOWN_START
    address: str = ''

    @property
    def was_asked(self) -> bool:
        """Whether the target's page told this, not an announcement."""
        return self.sequence == ASKED


@dataclasses.dataclass(frozen=True, slots=True)
class Ended:
    """An incarnation that is over.

    ``born_ms`` is its start or, where that was never told, the instant at
    which we heard of its end, which lies later. ``left`` if it said itself
    that it drains or goes; else another one was heard of in its place.
    """

    born_ms: int
    left: bool


class Registration:
    """The incarnation that counts now, and those that are over.

    ``unix_ms`` is the wall clock. It is compared with starts only where a
    target never told its own.
    """

    def __init__(
        self, unix_ms: Callable[[], int] = lambda: UNKNOWN_START
    ) -> None:
        self.unix_ms = unix_ms
        self.current: Announcement | None = None
        self.warm_deadline = 0.0
        self.left = False
        self.doubted = False
        self.ended: collections.OrderedDict[str, Ended] = (
            collections.OrderedDict()
        )

    # -- queries ----------------------------------------------------------

    @property
    def incarnation(self) -> str:
        """The name of the incarnation that counts, '' for none."""
        return self.current.incarnation if self.current else ''

    @property
    def born_ms(self) -> int:
        """The start of the incarnation that counts, if it is known."""
        return self.current.born_ms if self.current else UNKNOWN_START

    @property
    def draining(self) -> bool:
        """Whether the target takes no new call any more."""
        return self.left or bool(self.current and self.current.draining)

    def is_over(self, announcement: Announcement) -> bool:
        """Tell whether an announcement is of an incarnation that ended.

        One that was only replaced may have been there all the while, if
        what replaced it was a late announcement: its page tells. One that
        left stays out whatever its page says.
        """
        ended = self.ended.get(announcement.incarnation)
        if ended is None:
            return False
        if announcement.was_asked:
            return ended.left
        if not announcement.born_ms or not ended.born_ms:
            return True
        return announcement.born_ms <= ended.born_ms

    # -- commands ---------------------------------------------------------

    def announce(self, announcement: Announcement, now: float) -> Announced:
        """Take an announcement; STALE changes nothing."""
        if self.is_over(announcement):
            return Announced.STALE
        current = self.current
        if current is None:
            return self.replace(announcement, now)
        if is_older(announcement.born_ms, current.born_ms):
            return Announced.STALE
        if announcement.incarnation != current.incarnation:
            return self.replace(announcement, now)
        if is_older(current.born_ms, announcement.born_ms):
            return self.replace(announcement, now)
        return self.renew(announcement, current, now)

    def renew(
        self, announcement: Announcement, current: Announcement, now: float
    ) -> Announced:
        """Take a further announcement of the incarnation that counts."""
        if not announcement.was_asked:
            if announcement.sequence <= current.sequence:
                return Announced.STALE
            if current.born_ms and not announcement.born_ms:
                # This target tells its start: another one wrote this.
                return Announced.STALE
        if self.draining and not announcement.draining:
            # A drain is not taken back: what says so was sent before it.
            return Announced.STALE
        self.doubted = False
        if not announcement.born_ms:
            announcement = dataclasses.replace(
                announcement, born_ms=current.born_ms
            )
        self.note(announcement, now)
        return Announced.AGAIN

    def replace(self, announcement: Announcement, now: float) -> Announced:
        """Begin with another incarnation."""
        if self.current is not None:
            self.end(self.incarnation, self.born_ms, self.draining)
        if announcement.was_asked:
            self.ended.pop(announcement.incarnation, None)
        self.left = False
        self.doubted = False
        self.note(announcement, now)
        return Announced.NEW

    def note(self, announcement: Announcement, now: float) -> None:
        self.current = announcement
        self.warm_deadline = now + announcement.warm_up_seconds

    def end(self, incarnation: str, born_ms: int, left: bool) -> None:
        """Remember that an incarnation is over."""
        born_ms = born_ms or self.unix_ms()
        known = self.ended.pop(incarnation, None)
        if known is not None and is_older(born_ms, known.born_ms):
            born_ms = known.born_ms
            left = known.left
        self.ended[incarnation] = Ended(born_ms, left)
        while len(self.ended) > ENDED_KEPT:
            self.ended.popitem(last=False)

    def leave(self, incarnation: str, born_ms: int = UNKNOWN_START) -> bool:
        """Note that an incarnation leaves; False if it is not the current.

        One that leaves unknown to us is remembered, so that what it sent
        earlier and comes late does not bring it in.
        """
        if self.incarnation != incarnation:
            self.end(incarnation, born_ms, left=True)
            return False
        if is_older(born_ms, self.born_ms):
            return False
        if is_older(self.born_ms, born_ms):
            self.current = dataclasses.replace(self.current, born_ms=born_ms)
        self.left = True
        return True

    def doubt(self, incarnation: str) -> None:
        """Note that another target answered in the name of this one."""
        if self.incarnation == incarnation:
            self.doubted = True


def is_older(born_ms: int, other_ms: int) -> bool:
    """Tell whether one start is known to lie before another.

    >>> is_older(5, 7), is_older(7, 7), is_older(UNKNOWN_START, 7)
    (True, False, False)
    """
    if UNKNOWN_START in (born_ms, other_ms):
        return False
    return born_ms < other_ms
