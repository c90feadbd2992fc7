"""Connections between the processes of the system.

The ``PeerNetwork`` of a process owns its listener and one multiplexed
connection to each peer. Receivers subscribe to message types and are called
synchronously when a message has been read.
"""

import collections
from collections.abc import Callable
import itertools

import structlog

from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.streams import Address
from cyclamenlift.core.streams import Stream
from cyclamenlift.core.streams import StreamOwner
from cyclamenlift.wire.codec import encode_frame
from cyclamenlift.wire.codec import FIELD_BY_TYPE
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.codec import FrameReader
from cyclamenlift.wire.gen.protocol.ttypes import Hello

WIRE_VERSION = 3
HELLO_SECONDS = 3.0
# Connect timeouts in seconds. The first one to an address is many times the
# round trip (25 ms between regions): a machine that has just lost power
# answers nothing, and its peers should soon retry once it is back. Each
# further one is doubled, since on a slow link a reply may queue behind bodies
# for half a second.
INITIAL_CONNECT_SECONDS = 0.2
MAX_CONNECT_SECONDS = 1.0
# Addresses with a stored timeout: more than there are instances.
MAX_STORED_TIMEOUTS = 2048
MAX_PENDING = 64 * 1024 * 1024
LOG = structlog.get_logger('wire')


class Link:
    """A connection to a peer process.

    ``send`` never blocks. Messages are queued while the connection isn't
    established yet or the kernel's buffer is full; ``post`` returns the
    frame with which a queued message can be withdrawn.
    """

    __slots__ = (
        'address',
        'closed',
        'hello',
        'network',
        'number',
        'reader',
        'received',
        'stream',
        'was_established',
    )

    def __init__(self, network: 'PeerNetwork', stream: Stream, address):
        self.network = network
        self.stream = stream
        self.address: Address | None = address
        self.reader = FrameReader()
        self.hello: Hello | None = None
        self.was_established = False
        self.closed = False
        # Received bytes, to distinguish a slow response from none.
        self.received = 0
        self.number = next(network.numbers)

    def send(self, message) -> bool:
        """Send a thrift message; False when the link is closed or full."""
        return bool(self.post(message))

    def post(self, message) -> bytes:
        """Send a thrift message; return its frame, b'' if not sent."""
        if self.closed or self.stream.pending > MAX_PENDING:
            return b''
        frame = encode_frame(message)
        self.network.count_far_bytes(self, type(message).__name__, len(frame))
        self.stream.write(frame)
        return b'' if self.closed else frame

    def is_unsent(self, frame: bytes) -> bool:
        """Return whether a posted frame is still entirely unsent."""
        return not self.closed and self.stream.is_unsent(frame)

    def withdraw(self, frame: bytes) -> bool:
        """Unqueue a posted frame; False if part of it may have been sent."""
        return not self.closed and self.stream.withdraw(frame)

    @property
    def pending(self) -> int:
        """Bytes not yet written to the kernel, for back-pressure."""
        return self.stream.pending

    @property
    def outgoing(self) -> bool:
        """Whether this process opened the connection."""
        return self.address is not None

    def close(self) -> None:
        self.network.drop(self, None)


class PeerNetwork(StreamOwner):
    """Owns the peer port of this process and the links to its peers."""

    channel = 'peers'
    # A link may fail without being closed, and calls would wait on it until
    # their deadlines, which are a second or more away. 2 s without an
    # acknowledgement leave enough time to retransmit lost packets.
    peer_timeout_seconds = 2

    def __init__(self, poller, instance: str, data_centre: str, cluster: str):
        super().__init__(poller, channel='peers')
        self.instance = instance
        self.data_centre = data_centre
        self.cluster = cluster
        self.numbers = itertools.count(1)
        self.outgoing: dict[Address, Link] = {}
        # Next connect timeout in seconds, by address with failed attempts.
        self.connect_timeouts: dict[Address, float] = {}
        self.receivers: dict[str, Callable[[Link, object], None]] = {}
        self.lost_hooks: list[Callable[[Link], None]] = []
        self.rejected_frames = 0
        # Bytes sent to instances in other data centres, by kind of message.
        self.far_bytes: collections.Counter[str] = collections.Counter()

    # -- commands ---------------------------------------------------------

    def subscribe(
        self, kind: type, receiver: Callable[[Link, object], None]
    ) -> None:
        """Pass every message of thrift class ``kind`` to ``receiver``."""
        self.receivers[FIELD_BY_TYPE[kind]] = receiver

    def subscribe_lost(self, hook: Callable[[Link], None]) -> None:
        """Call ``hook`` for every lost link."""
        self.lost_hooks.append(hook)

    def link_to(self, address: Address) -> Link:
        """Return the link to ``address``; open it if there is none."""
        link = self.outgoing.get(address)
        if link is not None and not link.closed:
            return link
        stream = self.connect_to(address)
        link = Link(self, stream, address)
        stream.context = link
        self.outgoing[address] = link
        link.send(self.make_hello())
        timeout = self.connect_timeouts.get(address, INITIAL_CONNECT_SECONDS)
        self.root.scheduler.after(timeout, lambda: self.check_connected(link))
        return link

    def has_link(self, address: Address) -> bool:
        """Return whether a link to ``address`` is open or connecting."""
        link = self.outgoing.get(address)
        return link is not None and not link.closed

    def is_established(self, address: Address) -> bool:
        """Return whether a link to ``address`` is established."""
        link = self.outgoing.get(address)
        return link is not None and link.was_established and not link.closed

    def bytes_received_from(self, address: Address) -> int:
        """Return the number of bytes received on the link to ``address``."""
        link = self.outgoing.get(address)
        return link.received if link is not None else 0

    def abort_connecting(self, address: Address) -> None:
        """Close a link to ``address`` that isn't established yet.

        Used for a peer that is now known to be running: the connection
        request may have been sent before it was.
        """
        link = self.outgoing.get(address)
        if link is not None and not link.was_established:
            self.drop(link, None)

    def send(self, address: Address, message) -> bool:
        """Send a message to the peer at ``address``."""
        return self.link_to(address).send(message)

    def drop(self, link: Link, error: Exception | None) -> None:
        """Close a link and notify the subscribers, once."""
        if link.closed:
            return
        link.closed = True
        if self.outgoing.get(link.address) is link:
            del self.outgoing[link.address]
        link.stream.close()
        LOG.debug('link_lost', remote=str(link.address), error=str(error))
        for hook in self.lost_hooks:
            hook(link)

    def count_far_bytes(self, link: Link, kind: str, size: int) -> None:
        """Count a frame that leaves this data centre.

        What is sent before the peer has said where it is counts as near.
        """
        hello = link.hello
        if hello is not None and hello.data_centre != self.data_centre:
            self.far_bytes[kind] += size

    # -- stream hooks -----------------------------------------------------

    def on_accepted(self, stream: Stream) -> None:
        link = Link(self, stream, None)
        link.was_established = True
        stream.context = link
        link.send(self.make_hello())
        self.root.scheduler.after(
            HELLO_SECONDS, lambda: self.check_hello(link)
        )

    def on_connected(self, stream: Stream) -> None:
        link = stream.context
        link.was_established = True
        self.connect_timeouts.pop(link.address, None)

    def on_data(self, stream: Stream, data: bytes) -> None:
        link = stream.context
        link.received += len(data)
        try:
            messages = link.reader.feed(data)
        except FrameError as error:
            self.reject(link, ResultCode.FRAME_MALFORMED, str(error))
            return
        for field, message in messages:
            if link.closed:
                return
            self.dispatch(link, field, message)

    def on_lost(self, stream: Stream, error: OSError | None) -> None:
        if stream.context is not None:
            self.drop(stream.context, error)

    # -- dispatch ---------------------------------------------------------

    def dispatch(self, link: Link, field: str, message) -> None:
        if link.hello is None:
            self.accept_hello(link, message)
            return
        receiver = self.receivers.get(field)
        if receiver is None:
            self.reject(link, ResultCode.FRAME_UNEXPECTED, field)
            return
        try:
            receiver(link, message)
        except Exception:
            # A valid frame may contain values that its receiver can't
            # process; only this connection must be affected.
            LOG.exception('receiver_failed', field=field)
            self.reject(link, ResultCode.FRAME_UNEXPECTED, field)

    def accept_hello(self, link: Link, message) -> None:
        """Process the first frame, which must be a matching hello."""
        matches = (
            isinstance(message, Hello)
            and message.cluster == self.cluster
            and message.wire_version == WIRE_VERSION
        )
        if not matches:
            self.reject(link, ResultCode.STRANGER, type(message).__name__)
            return
        link.hello = message

    def reject(self, link: Link, code: ResultCode, detail: str) -> None:
        """Close the connection of a foreign or faulty peer."""
        self.rejected_frames += 1
        LOG.warning(
            'frame_refused',
            code=int(code),
            detail=detail[:200],
            remote=str(link.stream.remote),
            peer=link.hello.instance if link.hello else '',
        )
        self.drop(link, None)

    def check_connected(self, link: Link) -> None:
        """Close a link that wasn't established in time; nothing was sent."""
        if link.was_established or link.closed:
            return
        address = link.address
        timeout = self.connect_timeouts.get(address, INITIAL_CONNECT_SECONDS)
        LOG.info('peer_not_reached', remote=str(address), seconds=timeout)
        if len(self.connect_timeouts) >= MAX_STORED_TIMEOUTS:
            self.connect_timeouts.clear()
        self.connect_timeouts[address] = min(MAX_CONNECT_SECONDS, 2 * timeout)
        self.drop(link, TimeoutError('connect timed out'))

    def check_hello(self, link: Link) -> None:
        if link.hello is None and not link.closed:
            self.reject(link, ResultCode.STRANGER, 'no hello received in time')

    def make_hello(self) -> Hello:
        return Hello(
            instance=self.instance,
            data_centre=self.data_centre,
            wire_version=WIRE_VERSION,
            cluster=self.cluster,
            takes_evacuations=True,
        )
