"""What the target says of itself, and what that changes at its gate."""

from collections.abc import Callable
import typing

import structlog

from cyclamenlift.gate.registration import Announced
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import Registration
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')


class Announcements:
    """Takes announcements and farewells of the gate's own target.

    ``doubt_hooks`` run when another target answered in its name.
    """

    def __init__(self, gate: 'Gate', unix_ms: Callable[[], int]):
        self.gate = gate
        self.registration = Registration(unix_ms)
        self.doubt_hooks: list[Callable[[], None]] = []

    def announce(self, announcement: Announcement) -> Announced:
        """Take an announcement; a stale one changes nothing."""
        gate = self.gate
        before = self.registration.incarnation
        draining = self.registration.draining
        outcome = self.registration.announce(announcement, gate.now())
        if outcome is Announced.STALE:
            self.log(announcement, outcome)
            return outcome
        if outcome is Announced.NEW:
            if before and not draining:
                gate.ends.note_next_incarnation(before)
            self.begin_incarnation(announcement, before)
        if announcement.slots and announcement.slots != gate.state.slots:
            gate.set_slots(announcement.slots)
        if announcement.draining and not draining:
            self.log(announcement, outcome)
            gate.drain()
        return outcome

    def begin_incarnation(
        self, announcement: Announcement, before: str
    ) -> None:
        """Let calls in to a target that has just made itself known."""
        gate = self.gate
        self.log(announcement, Announced.NEW)
        gate.state.renew(announcement.warm_up_seconds > 0.0)
        if before:
            gate.client.close_idle()
        gate.presence.note_present('announcement')
        if not announcement.draining:
            gate.set_target_state(TargetState.READY)

    def leave(self, incarnation: str, born_ms: int) -> None:
        """Take no new call for a target that says that it goes."""
        known = self.registration.leave(incarnation, born_ms)
        LOG.info(
            'target_leaves',
            incarnation=incarnation,
            born_ms=born_ms,
            current=known,
        )
        if known:
            self.gate.drain()

    def doubt(self) -> None:
        """Note that another target answered at the address."""
        incarnation = self.registration.incarnation
        LOG.warning('target_doubted', incarnation=incarnation)
        self.registration.doubt(incarnation)
        for hook in self.doubt_hooks:
            hook()

    def log(self, announcement: Announcement, outcome: Announced) -> None:
        """Write what an announcement said and what it changed."""
        LOG.info(
            'target_announced',
            outcome=outcome.value,
            incarnation=announcement.incarnation,
            born_ms=announcement.born_ms,
            sequence=announcement.sequence,
            draining=announcement.draining,
            slots=announcement.slots,
            current=self.registration.incarnation,
            current_born_ms=self.registration.born_ms,
        )
