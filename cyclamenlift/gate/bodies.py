"""Which bodies may be on their way to this gate now.

Bodies share the gate's link with questions of entries and answers of calls.
If all that were let in came at once, everything else would wait behind
them, and each body would come as late as the last one. So on a slow link
they come a few at a time, those first whose calls have a slot.
"""

from collections.abc import Hashable
import typing

from cyclamenlift.wire.gen.protocol.ttypes import Credit

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.running import GateCall
    from cyclamenlift.gate.tasks import Gate

# Bytes of a request's body that may be on their way: two chunks keep a
# link of 100 Mbit/s busy at 2 ms there and back, and what fills the way of
# a slow link, where other calls wait behind it, stays small.
BODY_WINDOW = 32 * 1024
# How long bodies may occupy the gate's link, in seconds: a call asks several
# gates within an objective of some hundreds of milliseconds.
LINK_SECONDS = 0.12
# Two come at least, so that the link is not empty while the entry of one is
# slow, or waits for the gate's word.
LEAST_PLACES = 2
# After which time without a byte a body counts as not coming, in seconds:
# longer than a window takes on a link of 4 Mbit/s that two share.
STALLED_SECONDS = 0.2


class BodyTurns:
    """Gives entries the word to send the bodies of calls."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.waiting: dict[Hashable, 'GateCall'] = {}
        # When the last byte of each body came that is on its way.
        self.moved_at: dict[Hashable, float] = {}
        self.timer = None

    def ask(self, call: 'GateCall') -> None:
        """Let the entry send a body, now or when it has its turn."""
        if not self.gate.link_rate or call.is_local:
            self.give_word(call)
            return
        self.waiting[call.key] = call
        self.fill()

    def note_moved(self, call: 'GateCall') -> None:
        """Note that a piece of a body has come."""
        if call.key not in self.moved_at:
            return
        if call.body_whole:
            self.end(call)
        else:
            self.moved_at[call.key] = self.gate.now()

    def end(self, call: 'GateCall') -> None:
        """Make room for the next: a body is whole, or its call is over."""
        self.waiting.pop(call.key, None)
        if self.moved_at.pop(call.key, None) is not None:
            self.fill()

    def fill(self) -> None:
        """Let as many bodies come as there are places."""
        while self.waiting and self.on_their_way() < self.places():
            call = min(self.waiting.values(), key=turn_of)
            del self.waiting[call.key]
            self.moved_at[call.key] = self.gate.now()
            self.give_word(call)
        if self.waiting and self.timer is None:
            self.timer = self.gate.scheduler.after(
                STALLED_SECONDS, self.look_again
            )

    def look_again(self) -> None:
        """Pass over bodies that have stopped coming."""
        self.timer = None
        self.fill()

    def give_word(self, call: 'GateCall') -> None:
        call.link.send(Credit(call.start.call_id, BODY_WINDOW))

    # -- queries ----------------------------------------------------------

    def places(self) -> int:
        """Return how many bodies may be on their way at once."""
        fitting = self.gate.link_rate * LINK_SECONDS / BODY_WINDOW
        return max(LEAST_PLACES, int(fitting))

    def on_their_way(self) -> int:
        """Return how many bodies are coming, without those that stand."""
        since = self.gate.now() - STALLED_SECONDS
        return sum(at >= since for at in self.moved_at.values())


def turn_of(call: 'GateCall') -> tuple[bool, bool, int]:
    """Return what goes first: whom the target waits for, who has a slot."""
    is_begun = call.target_call is not None
    return (not is_begun, not call.gathering, call.start.rank or 0)
