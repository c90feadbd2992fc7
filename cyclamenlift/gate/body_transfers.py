"""Flow control for request bodies on the link to this gate.

Bodies share the gate's link with calls from entries and with answers. If all
admitted bodies were sent at once, all other traffic would queue behind them,
and each body would arrive as late as the last one. On a slow link only a few
bodies are therefore transferred at a time, starting with calls that have a
slot.
"""

from collections.abc import Hashable
import typing

from cyclamenlift.wire.gen.protocol.ttypes import Credit

if typing.TYPE_CHECKING:
    from cyclamenlift.gate.gate_call import GateCall
    from cyclamenlift.gate.tasks import Gate

# Bytes of a request's body that may be in flight: two chunks keep a link of
# 100 Mbit/s with a round trip of 2 ms busy, and the backlog on a slow link,
# behind which other calls wait, stays small.
BODY_WINDOW = 32 * 1024
# How long the bodies in flight may occupy the gate's link, in seconds: a call
# tries several gates within an objective of some hundreds of milliseconds.
LINK_SECONDS = 0.12
# Allow at least two transfers, so that the link is not idle while the entry of
# one is slow or waits for the gate's credit.
MIN_TRANSFERS = 2
# A body counts as stalled after this many seconds without data: longer than a
# window takes on a link of 4 Mbit/s that two transfers share.
STALLED_SECONDS = 0.2


class BodyTransfers:
    """Grants entries the credit to send the bodies of their calls."""

    def __init__(self, gate: 'Gate'):
        self.gate = gate
        self.waiting: dict[Hashable, 'GateCall'] = {}
        # When the last chunk of each body in transfer arrived.
        self.last_chunk_at: dict[Hashable, float] = {}
        self.timer = None

    def request_transfer(self, call: 'GateCall') -> None:
        """Allow the entry to send a body, now or when a transfer ends."""
        if not self.gate.link_rate or call.is_local:
            self.grant_credit(call)
            return
        self.waiting[call.key] = call
        self.start_transfers()

    def note_chunk(self, call: 'GateCall') -> None:
        """Record that a chunk of a body has arrived."""
        if call.key not in self.last_chunk_at:
            return
        if call.body_received:
            self.finish_transfer(call)
        else:
            self.last_chunk_at[call.key] = self.gate.now()

    def finish_transfer(self, call: 'GateCall') -> None:
        """Free the transfer of a body that is complete or whose call ended."""
        self.waiting.pop(call.key, None)
        if self.last_chunk_at.pop(call.key, None) is not None:
            self.start_transfers()

    def start_transfers(self) -> None:
        """Start waiting transfers up to the limit."""
        while self.waiting and self.active_transfers() < self.max_transfers():
            call = min(self.waiting.values(), key=transfer_order)
            del self.waiting[call.key]
            self.last_chunk_at[call.key] = self.gate.now()
            self.grant_credit(call)
        if self.waiting and self.timer is None:
            self.timer = self.gate.scheduler.after(
                STALLED_SECONDS, self.on_stall_timer
            )

    def on_stall_timer(self) -> None:
        """Start further transfers in place of those that stalled."""
        self.timer = None
        self.start_transfers()

    def grant_credit(self, call: 'GateCall') -> None:
        call.link.send(Credit(call.start.call_id, BODY_WINDOW))

    # -- queries ----------------------------------------------------------

    def max_transfers(self) -> int:
        """Return how many bodies may be in transfer at once."""
        fitting = self.gate.link_rate * LINK_SECONDS / BODY_WINDOW
        return max(MIN_TRANSFERS, int(fitting))

    def active_transfers(self) -> int:
        """Return the number of transfers that have not stalled."""
        since = self.gate.now() - STALLED_SECONDS
        return sum(at >= since for at in self.last_chunk_at.values())


def transfer_order(call: 'GateCall') -> tuple[bool, bool, int]:
    """Return the sort key of a transfer: sent calls, then those with slots."""
    is_begun = call.target_call is not None
    return (not is_begun, not call.is_buffering, call.start.rank or 0)
