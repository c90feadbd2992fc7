"""Fetching a document: whom it was asked of, and when to ask another one.

A version is pulled from the peer that named it. One that brings nothing, is
busy with others or is gone is left for a control instance: their links are
wide, and there are few of them, so they are not the first to be asked.
"""

import dataclasses
import typing

import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.wire.tasks import Link

if typing.TYPE_CHECKING:
    from cyclamenlift.events.tasks import ConfigFollower

# How long a pull may bring nothing before somebody else is asked, in
# seconds: a quarter of the 2 s in which a change has to be in force, and
# many times the way there and back (25 ms between regions).
PULL_SECONDS = 0.5
# How long it may take in all while bytes come: 65 KB, 4,216 routes, need
# 0.26 s on a link of 2 Mbit/s, and other traffic of that connection must not
# pass for a document for ever.
MOST_PULL_SECONDS = 3.0
LOG = structlog.get_logger('events')


@dataclasses.dataclass(slots=True)
class Pull:
    """Whom a version was asked of, when, and the bytes that came since.

    ``received`` counts what came over that connection when it was last
    looked at. ``after_loss`` marks one that follows a lost connection.
    """

    version: int
    address: Address
    began_at: float
    received: int
    after_loss: bool = False
    deadline: float = 0.0

    def __post_init__(self) -> None:
        self.deadline = self.began_at + PULL_SECONDS

    def covers(self, version: int, now: float) -> bool:
        """Tell whether this pull should bring ``version`` as well."""
        return version <= self.version and now < self.deadline

    def goes_on(self, received: int, now: float) -> bool:
        """Tell whether to wait on, since bytes came after the last look."""
        moved = received > self.received
        self.received = received
        if not moved or now >= self.began_at + MOST_PULL_SECONDS:
            return False
        self.deadline = now + PULL_SECONDS
        return True


class Puller:
    """Has one pull under way for a follower, or none."""

    def __init__(self, follower: 'ConfigFollower'):
        self.follower = follower
        self.under_way: Pull | None = None

    def pull(self, version: int, address: str) -> None:
        """Fetch a version, unless the pull under way should bring it."""
        under_way = self.under_way
        now = self.follower.now()
        if under_way is not None and under_way.covers(version, now):
            return
        try:
            peer = Address.parse(address)
        except ValueError:
            LOG.warning('document_peer_unreadable', address=address[:100])
            return
        self.begin(version, peer)

    def begin(
        self, version: int, address: Address, after_loss: bool = False
    ) -> None:
        follower = self.follower
        self.under_way = Pull(
            version,
            address,
            began_at=follower.now(),
            received=follower.network.received_from(address),
            after_loss=after_loss,
        )
        LOG.info(
            'document_asked',
            version=version,
            known=follower.version,
            peer=str(address),
        )
        follower.ask(address)
        self.watch(self.under_way)

    def watch(self, pull: Pull) -> None:
        """Look after a pull once its document should have come."""
        scheduler = self.follower.loop.scheduler
        scheduler.after(PULL_SECONDS, lambda: self.check(pull))

    def check(self, pull: Pull) -> None:
        """Go on waiting while bytes come, else ask somebody else."""
        if not self.awaits(pull):
            return
        received = self.follower.network.received_from(pull.address)
        if pull.goes_on(received, self.follower.now()):
            self.watch(pull)
        else:
            self.ask_another(pull)

    def awaits(self, pull: Pull | None) -> bool:
        """Tell whether this pull is the one under way, and not done."""
        if pull is None or pull is not self.under_way:
            return False
        if pull.version == self.follower.unreadable_version:
            return False
        return pull.version > self.follower.version

    def ask_another(self, pull: Pull, after_loss: bool = False) -> None:
        """Ask a control instance for what was not given."""
        follower = self.follower
        others = [a for a in follower.control if a != pull.address]
        if others:
            address = follower.rng.choice(others)
            self.begin(pull.version, address, after_loss)

    def leave(self, source: str) -> None:
        """Ask another one than ``source``, which is busy with others."""
        pull = self.under_way
        if self.awaits(pull) and str(pull.address) == source:
            self.ask_another(pull)

    def on_link_lost(self, link: Link) -> None:
        """Ask another one at once when the one who was asked is gone.

        Not for a connection that never came up, nor twice in a row: such
        ones may fail at once again and again, and the watch looks after
        them.
        """
        pull = self.under_way
        if not self.awaits(pull) or link.address != pull.address:
            return
        if link.was_up and not pull.after_loss:
            self.ask_another(pull, after_loss=True)
