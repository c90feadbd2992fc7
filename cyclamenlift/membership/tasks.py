"""The component that owns the gossip socket."""

from collections.abc import Callable
import random
import socket

from circuits.core.components import BaseComponent
import structlog

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import Root
from cyclamenlift.membership.joining import JOIN_STEPS
from cyclamenlift.membership.packets import EndsDigest
from cyclamenlift.membership.packets import MAX_PACKET_BYTES
from cyclamenlift.membership.packets import Outgoing
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import Counters
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.codec import FrameError
from cyclamenlift.wire.gen.protocol.ttypes import EndReport
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

DATAGRAMS_PER_READ = 64
JITTER = 0.1
LOG = structlog.get_logger('membership')

RecordHook = Callable[[MemberRecord], None]
VersionHook = Callable[[int, str], None]
EndHook = Callable[[EndReport], object]
DigestHook = Callable[[EndsDigest], None]
EvacuationsHook = Callable[[EvacuationState, str], None]


class Membership(BaseComponent):
    """Announces this instance and tracks the other members."""

    channel = 'membership'

    def __init__(
        self, root: Root, settings: MembershipSettings, rng: random.Random
    ) -> None:
        super().__init__(channel=f'membership-{settings.instance}')
        self.loop = root
        self.settings = settings
        self.rng = rng
        self.sock: socket.socket | None = None
        self.state: MembershipState | None = None
        self.timer = None
        self.join_steps = JOIN_STEPS
        self.next_withheld_log_at = 0.0
        self.record_hooks: list[RecordHook] = []
        self.version_hooks: list[VersionHook] = []
        self.end_hooks: list[EndHook] = []
        self.digest_hooks: list[DigestHook] = []
        self.evacuation_hooks: list[EvacuationsHook] = []

    # -- queries ----------------------------------------------------------

    def members(self) -> list[MemberRecord]:
        """Return the ALIVE and SUSPECT records, including our own."""
        return self.state.members() if self.state else []

    def records(self) -> list[MemberRecord]:
        """Return all records, including those of recently gone members."""
        if self.state is None:
            return []
        return [entry.record for entry in self.state.table.entries.values()]

    @property
    def counters(self) -> Counters:
        """Counters for metrics; all zero before the start."""
        return self.state.counters if self.state else Counters()

    # -- commands ---------------------------------------------------------

    def subscribe(self, hook: RecordHook) -> None:
        """Call ``hook`` for each new or changed record."""
        self.record_hooks.append(hook)

    def subscribe_version(self, hook: VersionHook) -> None:
        """Call ``hook(version, peer_address)`` when a peer has a newer one.

        It is called for every packet that shows it, until an equally high
        version is announced here.
        """
        self.version_hooks.append(hook)

    def subscribe_ends(self, on_end: EndHook, on_digest: DigestHook) -> None:
        """Subscribe to reports of ended targets and to digests of peers.

        ``on_end`` is called for each report in a packet, ``on_digest`` for the
        digest of the peer that sent it. From now on this instance sends its
        own digest as well.
        """
        self.end_hooks.append(on_end)
        self.digest_hooks.append(on_digest)

    def subscribe_evacuations(self, hook: EvacuationsHook) -> None:
        """Call ``hook(state, sender)`` with the states in packets."""
        self.evacuation_hooks.append(hook)

    def start(self) -> Address:
        """Bind the socket, join through the seeds and return the address.

        Raises OSError if the address is in use.
        """
        sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        try:
            sock.bind(tuple(self.settings.listen))
        except OSError:
            sock.close()
            raise
        sock.setblocking(False)
        self.sock = sock
        address = Address(*sock.getsockname())
        clock = self.loop.scheduler.clock
        self.state = MembershipState(
            self.settings,
            self.settings.advertise or str(address),
            clock.now(),
            clock.unix_ms(),
            self.rng,
        )
        if self.digest_hooks:
            self.set_ends_digest(0)
        self.register(self.loop)
        self.loop.poller.addReader(self, sock)
        self.dispatch(self.state.join(clock.now()))
        for seconds in self.join_steps:
            self.loop.scheduler.after(seconds, self.run_join_step)
        self.schedule_period()
        return address

    def stop(self) -> None:
        """Close the socket without notifying others, as a crash would."""
        if self.sock is None:
            return
        self.timer.cancel()
        self.loop.poller.discard(self.sock)
        self.sock.close()
        self.sock = None
        self.unregister()

    def announce(
        self,
        target_state: TargetState | None = None,
        config_version: int | None = None,
        slots: int | None = None,
    ) -> None:
        """Announce a change of our target or our configuration."""
        if self.state is not None:
            now = self.loop.scheduler.clock.now()
            self.dispatch(
                self.state.announce(target_state, config_version, now, slots)
            )

    def spread_ends(self, report: EndReport, fanout: int, own: bool) -> None:
        """Push a report of an ended target to some members.

        ``own`` marks a report that originates here; it is always sent.
        """
        if self.state is not None:
            now = self.loop.scheduler.clock.now()
            self.dispatch(self.state.push_ends(report, fanout, now, own))

    def spread_evacuations(self, state: EvacuationState, fanout: int) -> None:
        """Send the evacuated data centres in all packets from now on.

        Some members are sent a packet at once.
        """
        if self.state is not None:
            self.state.packet_builder.evacuations = state
            now = self.loop.scheduler.clock.now()
            self.dispatch(self.state.push_evacuations(fanout, now))

    def set_ends_digest(self, digest: int) -> None:
        """Set the digest of ended targets that packets carry."""
        if self.state is not None:
            self.state.packet_builder.ends_digest = digest

    def set_seeds(self, seeds: list[Address]) -> None:
        """Replace the seeds."""
        if self.state is not None:
            self.state.contacts.seeds = tuple(str(seed) for seed in seeds)

    def leave(self) -> None:
        """Announce that this instance leaves; call ``stop`` afterwards."""
        if self.state is not None:
            self.dispatch(self.state.leave(self.loop.scheduler.clock.now()))

    # -- loop -------------------------------------------------------------

    def schedule_period(self) -> None:
        """Schedule the next period, with jitter to desynchronize members."""
        factor = self.rng.uniform(1 - JITTER, 1 + JITTER)
        self.timer = self.loop.scheduler.after(
            self.settings.period * factor, self.run_period
        )

    def run_join_step(self) -> None:
        """Repeat the join request unless this instance has stopped."""
        if self.sock is not None:
            now = self.loop.scheduler.clock.now()
            self.dispatch(self.state.join_step(now))

    def run_period(self) -> None:
        self.schedule_period()
        self.dispatch(self.state.on_period(self.loop.scheduler.clock.now()))

    def on_poll_read(self, sock: socket.socket) -> None:
        """Read waiting datagrams, up to the limit of one loop iteration."""
        for _ in range(DATAGRAMS_PER_READ):
            try:
                data = sock.recv(MAX_PACKET_BYTES + 1)
            except OSError:
                # The queue is empty, or an earlier packet hit a closed port.
                return
            self.on_datagram(data)
            if self.sock is None:
                return

    def on_poll_write(self, sock: socket.socket) -> None:
        """Do nothing: datagrams that the kernel refuses are lost."""

    def on_poll_lost(self, sock: socket.socket) -> None:
        """Clear the socket's error; the next packet shows its state."""
        sock.getsockopt(socket.SOL_SOCKET, socket.SO_ERROR)

    def on_datagram(self, data: bytes) -> None:
        """Handle one datagram."""
        counters = self.state.counters
        counters.packets_in += 1
        counters.bytes_in += len(data)
        try:
            packet = decode_packet(GossipPacket, data)
        except FrameError:
            counters.malformed += 1
            return
        now = self.loop.scheduler.clock.now()
        refuted = counters.refutations
        withheld = counters.withheld
        outgoing = self.state.on_packet(packet, now)
        if counters.refutations > refuted:
            LOG.info('gossip_refuted', sender=packet.sender)
        if counters.withheld > withheld:
            self.log_withheld(packet, counters.withheld - withheld)
        self.dispatch(outgoing)

    def log_withheld(self, packet: GossipPacket, records: int) -> None:
        """Log, once a period, that an answer was cut for want of budget."""
        now = self.loop.scheduler.clock.now()
        if now < self.next_withheld_log_at:
            return
        self.next_withheld_log_at = now + self.settings.period
        LOG.info(
            'gossip_answer_cut',
            sender=packet.sender,
            records=records,
            knew_none=not packet.subject,
            tokens=int(self.state.budget.tokens),
        )

    def dispatch(self, outgoing: list[Outgoing]) -> None:
        """Send the resulting packets and notify subscribers."""
        for item in outgoing:
            self.send(item)
        changes, self.state.changes = self.state.changes, []
        versions, self.state.versions = self.state.versions, []
        for record in changes:
            for hook in self.record_hooks:
                hook(record)
        for seen in set(versions):
            for hook in self.version_hooks:
                hook(seen.version, seen.peer_address)
        self.notify_ends()
        self.notify_evacuations()

    def notify_evacuations(self) -> None:
        """Notify subscribers of the states in received packets."""
        if not self.state.evacuations:
            return
        received, self.state.evacuations = self.state.evacuations, {}
        for sender, state in received.items():
            for hook in self.evacuation_hooks:
                hook(state, sender)

    def notify_ends(self) -> None:
        """Notify subscribers of ended targets and of peers' digests."""
        ends, self.state.ends = self.state.ends, []
        digests, self.state.digests = self.state.digests, []
        for report in ends:
            for hook in self.end_hooks:
                hook(report)
        for seen in digests:
            for hook in self.digest_hooks:
                hook(seen)

    def send(self, item: Outgoing) -> None:
        """Send a packet; losing one is normal for the protocol."""
        if self.sock is None:
            return
        counters = self.state.counters
        counters.packets_out += 1
        counters.bytes_out += len(item.data)
        try:
            self.sock.sendto(item.data, tuple(item.address))
        except OSError as error:
            LOG.debug('gossip_not_sent', error=str(error))
