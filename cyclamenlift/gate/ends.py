"""Tells an end of the target from a connection that merely broke.

A target ends with all that it runs, so every call there breaks off at once.
That it ended shows when nobody listens at its address any more, or when
another incarnation announces itself. A connection that was reset, cut or
spoilt while the target goes on says nothing of the request on it.
"""

import dataclasses
import typing

import structlog

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.running import GateCall
    from cyclamenlift.gate.tasks import Gate

LOG = structlog.get_logger('gate')
# How long before nobody listened a call may have broken off to count as one
# that the target ran at its end, in seconds: all of them break within
# milliseconds, and the look at the address follows at once.
BROKE_JUST_NOW = 1.0
# The same before another incarnation announced itself: targets are back
# after some seconds.
BROKE_BEFORE_START = 10.0
# Fingerprints in one line of the log.
MOST_LOGGED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class BrokenCall:
    """A call whose connection to the target was lost while it ran."""

    call_id: str
    fingerprint: bytes
    broke_at: float


class EndWatch:
    """The calls that broke off lately, until it is known what that meant."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.broken: list[BrokenCall] = []

    def note_broken(self, call: 'GateCall') -> None:
        """Take a call that broke off, and look whether anybody listens."""
        now = self.gate.now()
        first = not self.broken or self.broken[-1].broke_at < now
        self.broken.append(
            BrokenCall(call.start.trace_id, call.start.fingerprint or b'', now)
        )
        if first:
            self.gate.client.look()

    def note_answer(self, begun_at: float) -> None:
        """Take an answer: the target was there when that call began."""
        if self.broken:
            self.broken = [b for b in self.broken if b.broke_at >= begun_at]

    def note_nobody_listens(self) -> None:
        """Take it that no connection can be had at the address."""
        self.end('nobody listens', BROKE_JUST_NOW)

    def note_incarnation(self) -> None:
        """Take it that another incarnation has announced itself."""
        self.end('another incarnation', BROKE_BEFORE_START)

    def end(self, shown_by: str, seconds: float) -> None:
        """Conclude that the target ended while it ran what broke off."""
        since = self.gate.now() - seconds
        ran = [b for b in self.broken if b.broke_at >= since]
        self.broken.clear()
        if not ran or self.gate.registration.draining:
            return
        LOG.warning(
            'target_ended',
            shown_by=shown_by,
            incarnation=self.gate.registration.incarnation,
            ran=len(ran),
            fingerprints=[b.fingerprint.hex() for b in ran[:MOST_LOGGED]],
        )
