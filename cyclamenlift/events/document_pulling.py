"""Fetches documents and retries another source on failure.

A version is pulled from the peer that announced it. If that peer fails to
deliver it or disconnects, another peer that announced it is asked, then a
control instance. If the peer is busy, a control instance is asked instead.
Control instances have fast links but are few, so they are not the first
choice.
"""

import dataclasses
import typing

import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.events.adoption import Offer
from cyclamenlift.events.sources import DocumentSources
from cyclamenlift.wire.tasks import Link

if typing.TYPE_CHECKING:
    from cyclamenlift.events.tasks import ConfigFollower

# How long a pull may make no progress before another source is asked, in
# seconds: a quarter of the 2 s in which a change has to be in force, and many
# round trips (25 ms between regions).
PULL_STALL_SECONDS = 0.5
# Limit of a pull that makes progress, in seconds: half of those 2 s, since
# bytes of calls on the connection count as progress too. The largest
# documents, 65 KB compressed, need 0.26 s on a link of 2 Mbit/s and may be
# queued for 0.25 s behind others.
MAX_PULL_SECONDS = 1.0
LOG = structlog.get_logger('events')


@dataclasses.dataclass(slots=True)
class Pull:
    """A version requested from one address and the progress so far.

    ``received`` is the connection's byte count at the last check. ``failed``
    marks a pull that will not deliver and that has no other source to move to
    at once.
    """

    version: int
    address: Address
    began_at: float
    received: int
    request_id: int = 0
    failed: bool = False
    deadline: float = 0.0

    def __post_init__(self) -> None:
        self.deadline = self.began_at + PULL_STALL_SECONDS

    def covers(self, version: int, now: float) -> bool:
        """Return whether this pull is expected to deliver ``version``."""
        if self.failed or version > self.version:
            return False
        return now < self.deadline

    def extend(self, received: int, now: float) -> bool:
        """Extend the deadline if bytes arrived; return whether it was."""
        progressed = received > self.received
        self.received = received
        if not progressed or now >= self.began_at + MAX_PULL_SECONDS:
            return False
        self.deadline = now + PULL_STALL_SECONDS
        return True


class DocumentPuller:
    """Manages the single pull of a follower."""

    def __init__(self, follower: 'ConfigFollower'):
        self.follower = follower
        self.current: Pull | None = None
        self.sources = DocumentSources()

    def pull(self, version: int, address: str) -> None:
        """Fetch a version unless the current pull should deliver it."""
        try:
            peer = Address.parse(address)
        except ValueError:
            LOG.warning('document_peer_unreadable', address=address[:100])
            return
        pull = self.current
        if not self.is_pending(pull) or version > pull.version:
            self.sources = DocumentSources()
        elif version < pull.version:
            return
        self.sources.add(peer)
        if self.is_pending(pull) and pull.covers(version, self.follower.now()):
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
        self.current = pull
        self.sources.tried.add(address)
        LOG.info(
            'document_asked',
            version=version,
            known=follower.version,
            peer=str(address),
        )
        # ``ask`` may start another pull before it returns, if the connection
        # fails immediately.
        pull.request_id = follower.ask(address)
        self.watch(pull)

    def watch(self, pull: Pull) -> None:
        """Schedule a check for when the document should have arrived."""
        scheduler = self.follower.loop.scheduler
        scheduler.after(PULL_STALL_SECONDS, lambda: self.check(pull))

    def check(self, pull: Pull) -> None:
        """Keep waiting while bytes arrive, else ask another source."""
        if not self.is_pending(pull):
            return
        if not pull.failed and self.made_progress(pull):
            self.watch(pull)
            return
        self.try_next_source(pull, 'silent')
        if pull is self.current:
            self.restart(pull)

    def made_progress(self, pull: Pull) -> bool:
        """Return whether a pull made progress since the last check."""
        received = self.follower.network.bytes_received_from(pull.address)
        return pull.extend(received, self.follower.now())

    def is_pending(self, pull: Pull | None) -> bool:
        """Return whether this pull is the current one and unfinished."""
        if pull is None or pull is not self.current:
            return False
        if pull.version == self.follower.unreadable_version:
            return False
        return pull.version > self.follower.version

    def try_next_source(self, pull: Pull, why: str) -> None:
        """Move a failed pull to a source that has not been tried yet.

        If there is none, the pull restarts at its next check, or when another
        peer announces the version.
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
        """Return an untried source, None if there is none."""
        sources = self.sources
        follower = self.follower
        announcer = sources.next_announcer()
        if announcer is not None and not control_first:
            return announcer
        is_established = follower.network.is_established
        up = sources.next_control(
            follower.control, is_established, follower.rng
        )
        if up is not None or announcer is not None:
            return up or announcer
        return sources.next_control(
            follower.control, lambda _address: True, follower.rng
        )

    def restart(self, pull: Pull) -> None:
        """Make all sources available again, preferring another one."""
        self.sources.reset(pull.address)
        self.begin(pull.version, self.choose() or pull.address)

    def leave_busy_source(self, source: str) -> None:
        """Move the pull away from ``source``, which is busy."""
        pull = self.current
        if self.is_pending(pull) and str(pull.address) == source:
            self.try_next_source(pull, 'busy')

    def on_answered(self, offer: Offer, request_id: int) -> None:
        """Ask another source if the answer did not bring the version.

        A complete document may be held back until other sources confirm its
        version.
        """
        pull = self.current
        if not self.is_pending(pull) or str(pull.address) != offer.source:
            return
        delivered = offer.is_complete and offer.version >= pull.version
        if request_id == pull.request_id and not delivered:
            self.try_next_source(pull, 'empty')

    def on_link_lost(self, link: Link) -> None:
        """Ask another source at once when the current one disconnects."""
        pull = self.current
        if self.is_pending(pull) and link.address == pull.address:
            self.try_next_source(
                pull, 'lost' if link.was_established else 'not reached'
            )
