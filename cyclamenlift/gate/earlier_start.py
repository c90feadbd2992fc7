"""Recognizes a target that started again after its clock was set back.

Incarnations of one name are told apart by their start times, and a later one
takes the place of an earlier one. After a clock was set back, the next start
of a target seems to be earlier than the one before it, like a delayed
announcement of an incarnation that has ended. But those come for seconds at
most, while a target that runs goes on to announce itself.
"""

from __future__ import annotations

import math
import typing

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.registration import Announcement

# How long an incarnation has to go on announcing itself, in seconds: longer
# than announcements are delayed. Targets announce themselves every 1.5 s.
RUNNING_SECONDS = 5.0
MIN_ANNOUNCEMENTS = 3


class EarlierStart:
    """The incarnation that announced itself with an earlier start."""

    def __init__(self) -> None:
        self.forget()

    def forget(self) -> None:
        """Begin anew, as the incarnation that is known announced itself."""
        self.name = ''
        self.born_ms = 0
        self.sequence = -1
        self.count = 0
        self.first_at = math.inf

    def is_running(self, announcement: Announcement, now: float) -> bool:
        """Note an announcement; return whether its sender certainly runs."""
        known = (self.name, self.born_ms)
        if known != (announcement.incarnation, announcement.born_ms):
            self.forget()
            self.name = announcement.incarnation
            self.born_ms = announcement.born_ms
            self.first_at = now
        if announcement.sequence <= self.sequence:
            return False
        self.sequence = announcement.sequence
        self.count += 1
        lasted = now - self.first_at >= RUNNING_SECONDS
        return lasted and self.count >= MIN_ANNOUNCEMENTS
