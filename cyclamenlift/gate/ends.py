"""Tells an end of the target from a connection that merely broke.

A target ends with all that it runs, so every call there breaks off at once.
That it ended shows when nobody listens at its address any more, or when
another incarnation announces itself. A connection that was reset, cut or
spoilt while the target goes on says nothing of the request on it.
"""

import dataclasses
import typing

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.wire.gen.protocol.ttypes import EndReport

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.running import GateCall
    from cyclamenlift.gate.tasks import Gate
    from cyclamenlift.http.client import TargetClient

LOG = structlog.get_logger('gate')
# How long before nobody listened a call may have broken off to count as one
# that the target ran at its end, in seconds: all of them break within
# milliseconds, and the look at the address follows at once.
BROKE_JUST_NOW = 1.0
# The same before another incarnation announced itself: targets are back
# after some seconds.
BROKE_BEFORE_START = 10.0
# How long entries wait at most to hear that a call broke off, in seconds,
# so that they hear with it whether its target has ended. An address on the
# same instance refuses, and a page there answers, within a few milliseconds.
LOOK_SECONDS = 0.05
# Fingerprints in one line of the log.
MOST_LOGGED = 48


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call whose connection to the target was lost while it ran."""

    fingerprint: bytes
    begun_at: float
    broke_at: float


@dataclasses.dataclass(frozen=True, slots=True)
class Untold:
    """A call whose entry has not yet heard that it broke off."""

    call: 'GateCall'
    detail: str
    broke_at: float


class EndWatch:
    """The calls that broke off lately, until it is known what that meant."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.broken: list[BrokenCall] = []
        self.untold: list[Untold] = []
        self.timer = None
        self.ended = 0

    def watch(self, client: 'TargetClient') -> None:
        """Learn from these connections whether the target is there."""
        client.refused_hooks.append(self.note_nobody_listens)
        client.probe_hooks.append(self.note_found)

    @property
    def is_looking(self) -> bool:
        """Whether entries have still to be told of broken calls."""
        return bool(self.untold)

    def note_broken(self, call: 'GateCall', detail: str) -> None:
        """Take a call that broke off, and look whether anybody listens."""
        self.remember(call)
        now = self.gate.now()
        self.untold.append(Untold(call, detail, now))
        if len(self.untold) == 1:
            scheduler = self.gate.scheduler
            self.timer = scheduler.after(LOOK_SECONDS, self.tell)
            self.gate.client.probe_listener(now + LOOK_SECONDS)

    def note_cut(self, call: 'GateCall') -> None:
        """Take a call that was given up while the target ran it.

        What it did there may end the target a moment later.
        """
        if call.was_sent():
            self.remember(call)

    def remember(self, call: 'GateCall') -> None:
        now = self.gate.now()
        oldest = now - BROKE_BEFORE_START
        self.broken = [b for b in self.broken if b.broke_at >= oldest]
        fingerprint = call.start.fingerprint or b''
        self.broken.append(BrokenCall(fingerprint, call.started_at, now))

    def note_answer(self, begun_at: float) -> None:
        """Take an answer: the target was there when that call began."""
        if self.broken:
            self.broken = [b for b in self.broken if b.broke_at >= begun_at]
        self.note_running(begun_at)

    def note_found(self) -> None:
        """Ask a target that takes connections for its page.

        A process that ends takes connections until its listener is closed,
        and one that hangs for longer still: only an answer shows that it
        runs.
        """
        self.gate.presence.note_present('connection')
        if self.untold:
            self.gate.questions.ask()

    def note_running(self, asked_at: float) -> None:
        """Take it that the target answered what it was asked then.

        What broke off before that merely broke.
        """
        self.gate.presence.note_answer(asked_at)
        if not self.untold:
            return
        if asked_at >= self.untold[-1].broke_at:
            self.tell()
        else:
            self.gate.questions.ask()

    def note_nobody_listens(self) -> None:
        """Take it that no connection can be had at the address."""
        registration = self.gate.registration
        if not registration.draining:
            incarnation = registration.incarnation
            self.end('nobody listens', incarnation, BROKE_JUST_NOW)
        self.gate.presence.note_nobody_listens()

    def note_next_incarnation(self, before: str) -> None:
        """Take it that another one has announced itself after ``before``."""
        self.end('another incarnation', before, BROKE_BEFORE_START)

    def end(self, shown_by: str, incarnation: str, seconds: float) -> None:
        """Conclude that the target ended while it ran what broke off."""
        since = self.gate.now() - seconds
        ran = {
            b.fingerprint: b.begun_at
            for b in self.broken
            if b.broke_at >= since and b.fingerprint
        }
        self.broken.clear()
        if not ran:
            return
        self.ended += 1
        reports = self.gate.quarantine.note_end(
            self.gate.service, ran, incarnation
        )
        LOG.warning(
            'target_ended',
            shown_by=shown_by,
            incarnation=incarnation,
            ran=len(ran),
            reports=[report.report_id for report in reports],
            fingerprints=[f.hex() for f in ran][:MOST_LOGGED],
        )
        self.tell(ResultCode.TARGET_ENDED, reports[0] if reports else None)

    def tell(
        self,
        code: ResultCode = ResultCode.TARGET_BROKE_OFF,
        end: EndReport | None = None,
    ) -> None:
        """Tell the entries of all calls that broke off.

        The first message on each connection says which requests ran when
        the target ended: their entry must know before it tries again.
        """
        if self.timer is not None:
            self.timer.cancel()
            self.timer = None
        waiting, self.untold = self.untold, []
        told = set()
        for untold in waiting:
            call = untold.call
            first = call.link.number not in told
            told.add(call.link.number)
            call.tell_broken(code, untold.detail, end if first else None)
        self.gate.check_idle()
