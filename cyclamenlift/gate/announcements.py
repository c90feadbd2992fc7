"""Handles announcements of the target and their effect on its gate."""

from collections.abc import Callable
import math
import typing

import structlog

from cyclamenlift.gate.decision_log import log_cold
from cyclamenlift.gate.registration import Announcement
from cyclamenlift.gate.registration import AnnouncementOutcome
from cyclamenlift.gate.registration import Registration
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.tasks import Gate

NEVER = -math.inf
# How long after a start became known a message of the start before it may
# still be read, in seconds. Senders wait for an answer for a second.
OVERLAP_SECONDS = 10.0
LOG = structlog.get_logger('gate')


class Announcements:
    """Processes announcements and departures of the gate's target.

    ``doubt_hooks`` run when a different target answered at its address.
    """

    def __init__(self, gate: 'Gate', unix_ms: Callable[[], int]):
        self.gate = gate
        self.registration = Registration(unix_ms)
        # When this process started, by the clock of the target's start times.
        self.started_ms = unix_ms()
        # When the present start of the target became known here.
        self.known_since = NEVER
        self.doubt_hooks: list[Callable[[], None]] = []

    def announce(
        self, announcement: Announcement, awaited: bool = False
    ) -> AnnouncementOutcome:
        """Process an announcement; a stale one changes nothing.

        ``awaited`` tells that its sender certainly waits for the answer.
        """
        gate = self.gate
        before = self.registration.incarnation
        draining = self.registration.draining
        outcome = self.registration.announce(announcement, gate.now(), awaited)
        if outcome is AnnouncementOutcome.STALE:
            self.log(announcement, outcome)
            if awaited:
                self.note_cold_in_doubt(announcement)
            return outcome
        if outcome is AnnouncementOutcome.NEW:
            if before and not draining:
                gate.termination.note_replaced(before)
            self.begin_incarnation(announcement, before)
        if not announcement.from_health_page:
            self.note_cold(announcement.warm_up_seconds)
        if announcement.slots and announcement.slots != gate.state.slots:
            gate.set_slots(announcement.slots)
        is_new = outcome is AnnouncementOutcome.NEW
        if announcement.draining and (is_new or not draining):
            self.log(announcement, outcome)
            gate.drain()
        return outcome

    def note_cold_in_doubt(self, announcement: Announcement) -> None:
        """Spare the target while a start that says it is cold may run."""
        if announcement.warm_up_seconds and (
            self.registration.is_earlier_unknown_start(
                announcement.incarnation, announcement.born_ms
            )
        ):
            self.note_cold(announcement.warm_up_seconds)

    def note_cold(self, cold_seconds: float) -> None:
        """Record how much longer the target says that it is cold."""
        gate = self.gate
        if gate.state.start_limits.cold.note_announcement(
            cold_seconds, gate.now()
        ):
            log_cold(gate, cold_seconds, 'announcement')

    def begin_incarnation(
        self, announcement: Announcement, before: str
    ) -> None:
        """Admit calls to a target that has just been identified."""
        gate = self.gate
        self.known_since = gate.now()
        self.log(announcement, AnnouncementOutcome.NEW)
        gate.state.reset_for_incarnation(
            announcement.warm_up_seconds > 0.0, gate.now()
        )
        if before:
            gate.client.close_idle()
        gate.presence.note_present('announcement')
        if not announcement.draining:
            gate.set_target_state(TargetState.READY)

    def may_be_of_start_before(self, incarnation: str, born_ms: int) -> bool:
        """Return whether a departure may be of the start before this one.

        Departures often name no start. If nobody waits for the answer, one may
        have lain here while the target started again; a target that is still
        there sends it again. So does one whose start seems to be earlier and
        was never known here.
        """
        registration = self.registration
        if born_ms:
            return registration.is_earlier_unknown_start(incarnation, born_ms)
        if not registration.born_ms:
            return False
        if incarnation != registration.incarnation:
            return False
        return self.gate.now() < self.known_since + OVERLAP_SECONDS

    def log_outdated_departure(self, incarnation: str) -> None:
        """Log a departure that is ignored."""
        LOG.warning(
            'target_departure_outdated',
            incarnation=incarnation,
            born_ms=self.registration.born_ms,
        )

    def leave(
        self,
        incarnation: str,
        born_ms: int,
        source: str,
        told_by_ms: int,
        awaited: bool = False,
    ) -> None:
        """Stop admitting calls to a target that said that it leaves."""
        known = self.registration.leave(
            incarnation, born_ms, told_by_ms, awaited
        )
        LOG.info(
            'target_leaves',
            source=source,
            incarnation=incarnation,
            born_ms=born_ms,
            current=known,
        )
        if known:
            self.gate.drain()

    def doubt(self) -> None:
        """Note that a different target answered at the address."""
        incarnation = self.registration.incarnation
        LOG.warning('target_doubted', incarnation=incarnation)
        self.registration.doubt(incarnation)
        for hook in self.doubt_hooks:
            hook()

    def log(
        self, announcement: Announcement, outcome: AnnouncementOutcome
    ) -> None:
        """Log an announcement and its outcome."""
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
