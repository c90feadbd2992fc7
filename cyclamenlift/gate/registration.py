"""Which incarnation of the target runs at the gate's address.

Targets announce themselves: each start is a new incarnation with a name of
its own, and each of its announcements has a higher sequence number. What
comes late must not bring an old incarnation back. Pure decisions; time is
passed in.
"""

import collections
import dataclasses
import enum

RETIRED_KEPT = 64


class Announced(enum.Enum):
    """What an announcement changed."""

    NEW = 'new'
    AGAIN = 'again'
    STALE = 'stale'


@dataclasses.dataclass(frozen=True, slots=True)
class Announcement:
    """What a target tells of itself.

    ``slots`` is how many calls it runs at once; ``warm_up_seconds`` how
    much longer it stays slow after its start; ``sequence`` 0 means that it
    was asked, not that it announced itself.
    """

    incarnation: str
    service: str
    slots: int
    draining: bool = False
    warm_up_seconds: float = 0.0
    sequence: int = 0
    version: str = ''


class Registration:
    """The incarnation that counts now, and those that are over."""

    def __init__(self) -> None:
        self.current: Announcement | None = None
        self.warm_deadline = 0.0
        self.left = False
        self.doubted = False
        self.retired: collections.OrderedDict[str, bool] = (
            collections.OrderedDict()
        )

    # -- queries ----------------------------------------------------------

    @property
    def incarnation(self) -> str:
        """The name of the incarnation that counts, '' for none."""
        return self.current.incarnation if self.current else ''

    @property
    def draining(self) -> bool:
        """Whether the target takes no new call any more."""
        return self.left or bool(self.current and self.current.draining)

    def is_retired(self, incarnation: str) -> bool:
        return incarnation in self.retired

    # -- commands ---------------------------------------------------------

    def announce(self, announcement: Announcement, now: float) -> Announced:
        """Take an announcement; STALE changes nothing."""
        if self.is_retired(announcement.incarnation):
            return Announced.STALE
        current = self.current
        if current is None or (
            announcement.incarnation != current.incarnation
        ):
            self.replace(announcement, now)
            return Announced.NEW
        if 0 < announcement.sequence <= current.sequence:
            return Announced.STALE
        if current.draining and not announcement.draining:
            # A drain is not taken back: what says so was sent before it.
            return Announced.STALE
        self.doubted = False
        self.note(announcement, now)
        return Announced.AGAIN

    def replace(self, announcement: Announcement, now: float) -> None:
        if self.current is not None:
            self.retire(self.current.incarnation)
        self.left = False
        self.doubted = False
        self.note(announcement, now)

    def note(self, announcement: Announcement, now: float) -> None:
        self.current = announcement
        self.warm_deadline = now + announcement.warm_up_seconds

    def retire(self, incarnation: str) -> None:
        """Never take this incarnation again."""
        self.retired[incarnation] = True
        while len(self.retired) > RETIRED_KEPT:
            self.retired.popitem(last=False)

    def leave(self, incarnation: str) -> bool:
        """Note that an incarnation leaves; False if it is not the current.

        One that leaves unknown to us is remembered, so that what it sent
        earlier and comes late does not bring it in.
        """
        if self.current is None or self.incarnation != incarnation:
            self.retire(incarnation)
            return False
        self.left = True
        return True

    def doubt(self, incarnation: str) -> None:
        """Note that another target answered in the name of this one."""
        if self.incarnation == incarnation:
            self.doubted = True
