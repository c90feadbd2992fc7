"""Fetching a document: whom it was asked of, and when to ask another one.

A version is pulled from the peer that named it. When that one brings nothing
or is gone, another one that named it is asked, then a control instance. One
that is busy with others is left for a control instance: their links are
wide, and there are few of them, so they are not the first to be asked.
"""

import dataclasses
import typing

import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.events.adoption import Offer
from cyclamenlift.events.sources import Sources
from cyclamenlift.wire.network import Link

if typing.TYPE_CHECKING:
    from cyclamenlift.events.tasks import ConfigFollower

# How long a pull may bring nothing before somebody else is asked, in
# seconds: a quarter of the 2 s in which a change has to be in force, and
# many times the way there and back (25 ms between regions).
PULL_SECONDS = 0.5
# How long it may take in all while bytes come, in seconds: half of those
# 2 s, since bytes of calls on that connection count as well. The largest
# documents, 65 KB packed, need 0.26 s on a link of 2 Mbit/s and may wait for
# 0.25 s behind others.
MOST_PULL_SECONDS = 1.0
LOG = structlog.get_logger('events')


@dataclasses.dataclass(slots=True)
class Pull:
    """Whom a version was asked of, when, and the bytes that came since.

    ``received`` counts what came over that connection when it was last
    looked at. ``failed`` marks one that will bring nothing, while nobody
    else is left to ask at once.
    """

    version: int
    address: Address
    began_at: float
    received: int
    request_id: int = 0
    failed: bool = False
    deadline: float = 0.0

    def __post_init__(self) -> None:
        self.deadline = self.began_at + PULL_SECONDS

    def covers(self, version: int, now: float) -> bool:
        """Tell whether this pull should bring ``version`` as well."""
        if self.failed or version > self.version:
            return False
        return now < self.deadline

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
        self.sources = Sources()

    def pull(self, version: int, address: str) -> None:
        """Fetch a version, unless the pull under way should bring it."""
        try:
            peer = Address.parse(address)
        except ValueError:
            LOG.warning('document_peer_unreadable', address=address[:100])
            return
        pull = self.under_way
        if not self.awaits(pull) or version > pull.version:
            self.sources = Sources()
        elif version < pull.version:
            return
        self.sources.name(peer)
        if self.awaits(pull) and pull.covers(version, self.follower.now()):
            return
        if peer not in self.sources.tried:
            self.begin(version, peer)

    def begin(self, version: int, address: Address) -> None:
        follower = self.follower
        pull = Pull(
            version,
            address,
            began_at=follower.now(),
            received=follower.network.bytes_received_from(address),
        )
        self.under_way = pull
        self.sources.tried.add(address)
        LOG.info(
            'document_asked',
            version=version,
            known=follower.version,
            peer=str(address),
        )
        # A connection that fails at once has another one asked in here.
        pull.request_id = follower.ask(address)
        self.watch(pull)

    def watch(self, pull: Pull) -> None:
        """Look after a pull once its document should have come."""
        scheduler = self.follower.loop.scheduler
        scheduler.after(PULL_SECONDS, lambda: self.check(pull))

    def check(self, pull: Pull) -> None:
        """Go on waiting while bytes come, else ask somebody else."""
        if not self.awaits(pull):
            return
        if not pull.failed and self.moves(pull):
            self.watch(pull)
            return
        self.ask_another(pull, 'silent')
        if pull is self.under_way:
            self.begin_anew(pull)

    def moves(self, pull: Pull) -> bool:
        """Tell whether to wait on for a pull, since bytes came."""
        received = self.follower.network.bytes_received_from(pull.address)
        return pull.goes_on(received, self.follower.now())

    def awaits(self, pull: Pull | None) -> bool:
        """Tell whether this pull is the one under way, and not done."""
        if pull is None or pull is not self.under_way:
            return False
        if pull.version == self.follower.unreadable_version:
            return False
        return pull.version > self.follower.version

    def ask_another(self, pull: Pull, why: str) -> None:
        """Ask one that was not tried yet for what was not given.

        With none left the watch begins anew, or who names the version next
        is asked.
        """
        if pull.failed:
            return
        pull.failed = True
        address = self.choose(control_first=why == 'busy')
        LOG.info(
            'document_not_come',
            version=pull.version,
            peer=str(pull.address),
            why=why,
            next=str(address or ''),
        )
        if address is not None:
            self.begin(pull.version, address)

    def choose(self, control_first: bool = False) -> Address | None:
        """Choose one that was not tried, None when there is none."""
        sources = self.sources
        follower = self.follower
        named = sources.next_named()
        if named is not None and not control_first:
            return named
        is_established = follower.network.is_established
        up = sources.next_control(
            follower.control, is_established, follower.rng
        )
        if up is not None or named is not None:
            return up or named
        return sources.next_control(
            follower.control, lambda _address: True, follower.rng
        )

    def begin_anew(self, pull: Pull) -> None:
        """Ask all again, beginning with another one if there is one."""
        self.sources.begin_anew(pull.address)
        self.begin(pull.version, self.choose() or pull.address)

    def leave(self, source: str) -> None:
        """Ask another one than ``source``, which is busy with others."""
        pull = self.under_way
        if self.awaits(pull) and str(pull.address) == source:
            self.ask_another(pull, 'busy')

    def on_answered(self, offer: Offer, request_id: int) -> None:
        """Ask another one when the answer did not bring the version.

        A whole document may be held back until others confirm its version.
        """
        pull = self.under_way
        if not self.awaits(pull) or str(pull.address) != offer.source:
            return
        brought = offer.is_whole and offer.version >= pull.version
        if request_id == pull.request_id and not brought:
            self.ask_another(pull, 'empty')

    def on_link_lost(self, link: Link) -> None:
        """Ask another one at once when the one who was asked is gone."""
        pull = self.under_way
        if self.awaits(pull) and link.address == pull.address:
            self.ask_another(
                pull, 'lost' if link.was_established else 'not reached'
            )
