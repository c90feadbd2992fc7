"""Tracks which incarnation of the target runs at the gate's address.

Targets announce themselves. An incarnation is identified by a name and its
start time: a target may restart under the same name and has then lost its
state. Sequence numbers increase with each announcement of an incarnation. A
delayed announcement must not bring back an old incarnation. Pure logic;
callers pass the time in.
"""

import collections
from collections.abc import Callable
import dataclasses
import enum

from cyclamenlift.gate.earlier_start import EarlierStart

MAX_ENDED = 64
MAX_KNOWN_STARTS = 64
# Start time of an incarnation that was not reported: health pages don't
# contain it, and some targets never send it.
UNKNOWN_START = 0
# Sequence number of an announcement that was derived from the health page.
FROM_HEALTH_PAGE = -1


class AnnouncementOutcome(enum.Enum):
    """The effect of an announcement."""

    NEW = 'new'
    UPDATED = 'again'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """The attributes that a target reports of itself.

    ``slots`` is how many calls it runs at once; ``warm_up_seconds`` how much
    longer it is slow after its start; ``sequence`` is ``FROM_HEALTH_PAGE`` if
    the data come from its health page. ``born_ms`` is its start in Unix
    milliseconds, ``UNKNOWN_START`` if not reported; ``address`` is where it
    listens, empty if not reported.
    """

    incarnation: str
    service: str
    slots: int
    draining: bool = False
    warm_up_seconds: float = 0.0
    sequence: int = FROM_HEALTH_PAGE
    version: str = ''
    born_ms: int = UNKNOWN_START
    address: str = ''

    @property
    def from_health_page(self) -> bool:
        """Whether this comes from the health page, not an announcement."""
        return self.sequence == FROM_HEALTH_PAGE


@dataclasses.dataclass(frozen=True, slots=True)
class EndedIncarnation:
    """An incarnation that has ended.

    ``born_ms`` is its start or, if that was never reported
    (``is_start_known``), the later time at which its end was noticed.
    ``left`` if it announced itself that it drains or departs; otherwise
    another incarnation took its place.
    """

    born_ms: int
    left: bool
    is_start_known: bool


class Registration:
    """The current incarnation and those that ended.

    ``unix_ms`` is the wall clock. It is compared with start times only if a
    target never reported its own.
    """

    def __init__(
        self, unix_ms: Callable[[], int] = lambda: UNKNOWN_START
    ) -> None:
        self.unix_ms = unix_ms
        self.current: Announcement | None = None
        self.left = False
        # By when a target left whose start is not known, in Unix milliseconds.
        self.left_by_ms = UNKNOWN_START
        self.doubted = False
        self.earlier_start = EarlierStart()
        self.ended: collections.OrderedDict[str, EndedIncarnation] = (
            collections.OrderedDict()
        )
        # The starts that were current, by name and start time, oldest first.
        self.known_starts: collections.OrderedDict[tuple[str, int], None] = (
            collections.OrderedDict()
        )

    # -- queries ----------------------------------------------------------

    @property
    def incarnation(self) -> str:
        """The name of the current incarnation, '' if there is none."""
        return self.current.incarnation if self.current else ''

    @property
    def born_ms(self) -> int:
        """The start of the current incarnation, if known."""
        return self.current.born_ms if self.current else UNKNOWN_START

    @property
    def draining(self) -> bool:
        """Whether the target accepts no new calls."""
        return self.left or bool(self.current and self.current.draining)

    def has_ended(self, announcement: Announcement) -> bool:
        """Return whether an announcement is of an incarnation that ended.

        One that was only replaced may still be running, if the replacement was
        a delayed announcement: the health page decides. One that announced
        its departure stays ended whatever its page reports.
        """
        ended = self.ended.get(announcement.incarnation)
        if ended is None:
            return False
        if announcement.from_health_page:
            return ended.left
        if not announcement.born_ms or not ended.born_ms:
            return True
        return announcement.born_ms <= ended.born_ms

    def is_earlier(self, incarnation: str, born_ms: int) -> bool:
        """Return whether a start of this name came before the current one.

        This is also known of a later start time, if the current incarnation
        took the place of that one.
        """
        if incarnation == self.incarnation:
            if is_older(born_ms, self.born_ms):
                return True
            if born_ms == self.born_ms:
                return False
        ended = self.ended.get(incarnation)
        return ended is not None and UNKNOWN_START < born_ms <= ended.born_ms

    def is_earlier_unknown_start(self, incarnation: str, born_ms: int) -> bool:
        """Return whether such a start seems to be earlier than the current.

        It has ended, or it runs and the clock was set back before it.
        """
        return self.is_unknown_start(incarnation, born_ms) and self.is_earlier(
            incarnation, born_ms
        )

    def is_current_start(self, announcement: Announcement) -> bool:
        """Return whether an announcement is certainly of the current start."""
        if announcement.born_ms == UNKNOWN_START:
            return False
        return (announcement.incarnation, announcement.born_ms) == (
            self.incarnation,
            self.born_ms,
        )

    def is_outdated(self, announcement: Announcement) -> bool:
        """Return whether an announcement seems to be of an earlier start."""
        return self.has_ended(announcement) or is_older(
            announcement.born_ms, self.born_ms
        )

    def may_run_again(self, announcement: Announcement) -> bool:
        """Return whether it may be of a start after the clock was set back.

        Only if it is certainly another start than the one that ended, or if
        that one was only replaced by a start that seems to be earlier.
        """
        if announcement.from_health_page or not announcement.born_ms:
            return False
        ended = self.ended.get(announcement.incarnation)
        if ended is None:
            return True
        if not ended.is_start_known:
            return False
        if ended.born_ms != announcement.born_ms:
            return True
        return not ended.left and is_older(self.born_ms, ended.born_ms)

    def is_unknown_start(self, incarnation: str, born_ms: int) -> bool:
        """Return whether a start of the current name was never current.

        If it seems to be earlier than the current one, it may be of a target
        that started again after its clock was set back.
        """
        if incarnation != self.incarnation or born_ms == UNKNOWN_START:
            return False
        return (incarnation, born_ms) not in self.known_starts

    def is_after_departure(self, announcement: Announcement) -> bool:
        """Return whether it is of a start after the current one has left."""
        if announcement.incarnation != self.incarnation or self.born_ms:
            return False
        return is_older(self.left_by_ms, announcement.born_ms)

    # -- commands ---------------------------------------------------------

    def announce(
        self, announcement: Announcement, now: float, awaited: bool = False
    ) -> AnnouncementOutcome:
        """Process an announcement; STALE changes nothing.

        ``awaited`` tells that its sender certainly waits for the answer.
        """
        current = self.current
        if self.is_current_start(announcement):
            self.earlier_start.forget()
            return self.update_current(announcement, current, now)
        if self.is_outdated(announcement):
            if self.drains_unknown_start(announcement, awaited):
                return self.replace(announcement, now)
            if not self.may_run_again(announcement):
                return AnnouncementOutcome.STALE
            if not self.earlier_start.is_running(announcement, now):
                return AnnouncementOutcome.STALE
            return self.replace(announcement, now)
        if current is None:
            return self.replace(announcement, now)
        if announcement.incarnation != current.incarnation:
            return self.replace(announcement, now)
        if self.is_after_departure(announcement):
            return self.replace(announcement, now)
        if is_older(current.born_ms, announcement.born_ms):
            return self.replace(announcement, now)
        return self.update_current(announcement, current, now)

    def drains_unknown_start(
        self, announcement: Announcement, awaited: bool
    ) -> bool:
        """Return whether a start that was never current drains for certain.

        Its sender waits for the confirmation, after which it must get no
        calls, so this is not put off until it has proved that it runs.
        """
        return (
            awaited
            and announcement.draining
            and self.is_unknown_start(
                announcement.incarnation, announcement.born_ms
            )
        )

    def update_current(
        self, announcement: Announcement, current: Announcement, now: float
    ) -> AnnouncementOutcome:
        """Process a further announcement of the current incarnation."""
        if not announcement.from_health_page:
            if announcement.sequence <= current.sequence:
                return AnnouncementOutcome.STALE
            if current.born_ms and not announcement.born_ms:
                # This target reports its start: another one sent this.
                return AnnouncementOutcome.STALE
        if self.draining and not announcement.draining:
            # A drain is final: this announcement was sent before it.
            return AnnouncementOutcome.STALE
        self.doubted = False
        if not announcement.born_ms:
            announcement = dataclasses.replace(
                announcement, born_ms=current.born_ms
            )
        self.set_current(announcement)
        return AnnouncementOutcome.UPDATED

    def set_current(self, announcement: Announcement) -> None:
        """Make this the newest announcement of the current incarnation."""
        self.current = announcement
        if not announcement.born_ms:
            return
        start = (announcement.incarnation, announcement.born_ms)
        self.known_starts[start] = None
        self.known_starts.move_to_end(start)
        while len(self.known_starts) > MAX_KNOWN_STARTS:
            self.known_starts.popitem(last=False)

    def replace(
        self, announcement: Announcement, now: float
    ) -> AnnouncementOutcome:
        """Switch to another incarnation."""
        if self.current is not None:
            self.mark_ended(self.incarnation, self.born_ms, self.draining)
        if announcement.from_health_page:
            self.ended.pop(announcement.incarnation, None)
        self.left = False
        self.left_by_ms = UNKNOWN_START
        self.doubted = False
        self.earlier_start.forget()
        self.set_current(announcement)
        return AnnouncementOutcome.NEW

    def mark_ended(self, incarnation: str, born_ms: int, left: bool) -> None:
        """Remember that an incarnation has ended."""
        ended = EndedIncarnation(
            born_ms or self.unix_ms(), left, is_start_known=bool(born_ms)
        )
        known = self.ended.pop(incarnation, None)
        if known is not None and is_older(ended.born_ms, known.born_ms):
            ended = known
        self.ended[incarnation] = ended
        while len(self.ended) > MAX_ENDED:
            self.ended.popitem(last=False)

    def leave(
        self,
        incarnation: str,
        born_ms: int = UNKNOWN_START,
        told_by_ms: int = UNKNOWN_START,
        awaited: bool = False,
    ) -> bool:
        """Record a departure; False if it is not the current incarnation.

        ``told_by_ms`` is by when it was told at the latest, now if not given:
        a target that starts later under this name is another incarnation. The
        departure of an unknown incarnation is remembered, so that its delayed
        announcements don't register it. ``awaited`` tells that its sender
        certainly waits for the answer: a start that was never current then
        leaves, also if it seems to be earlier.
        """
        if self.incarnation != incarnation:
            self.mark_ended(incarnation, born_ms, left=True)
            return False
        if self.is_earlier(incarnation, born_ms):
            unknown = self.is_unknown_start(incarnation, born_ms)
            if not (awaited and unknown):
                return False
            self.mark_ended(incarnation, self.born_ms, self.draining)
        if is_older(told_by_ms, self.born_ms):
            return False
        if born_ms:
            self.set_current(
                dataclasses.replace(self.current, born_ms=born_ms)
            )
        elif not self.born_ms:
            self.left_by_ms = told_by_ms or self.unix_ms()
        self.left = True
        return True

    def doubt(self, incarnation: str) -> None:
        """Note that a different target answered at the address."""
        if self.incarnation == incarnation:
            self.doubted = True


def is_older(born_ms: int, other_ms: int) -> bool:
    """Return whether one start is known to precede another.

    >>> is_older(5, 7), is_older(7, 7), is_older(UNKNOWN_START, 7)
    (True, False, False)
    """
    if UNKNOWN_START in (born_ms, other_ms):
        return False
    return born_ms < other_ms
