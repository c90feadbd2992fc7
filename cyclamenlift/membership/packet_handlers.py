"""Handlers for each kind of packet."""

from collections.abc import Callable

from cyclamenlift.core.registry import Registry
from cyclamenlift.membership.digests import select_entries
from cyclamenlift.membership.packets import EndsDigest
from cyclamenlift.membership.packets import MAX_PACKET_BYTES
from cyclamenlift.membership.packets import Outgoing
from cyclamenlift.membership.probing import RELAY_PERIODS
from cyclamenlift.membership.table import Entry
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import MemberState

FORWARD_FANOUT = 4
FIRST_PULLS = 4
UNKNOWN_WEIGHT = 4

Handler = Callable[['PacketReceiver', GossipPacket, float], list[Outgoing]]
HANDLERS: Registry[Handler] = Registry('kind of packet')


class PacketReceiver:
    """Merges the records of a packet, then calls the handler of its kind."""

    def __init__(self, state) -> None:
        self.state = state
        self.mismatches = 0
        self.transferring = False
        self.differing_address = ''
        self.sender_is_new = False

    def receive(self, packet: GossipPacket, now: float) -> list[Outgoing]:
        """Handle a valid packet of this cluster."""
        self.sender_is_new = self.state.table.get(packet.sender) is None
        urgent, any_new = self.merge_records(packet, now)
        self.note_sender(packet)
        if packet.evacuations is not None:
            self.state.evacuations[packet.sender] = packet.evacuations
        self.state.ends.extend(packet.ends or ())
        self.compare(packet)
        handle = HANDLERS.get(GossipKind(packet.kind).name)
        result = handle(self, packet, now)
        if any_new and is_transfer(packet):
            result.extend(self.pull_more(packet, now))
            result.extend(self.state.introduce(now))
        if urgent and self.state.announcement_budget.available(now):
            result.extend(self.state.push(urgent, FORWARD_FANOUT, now))
        return result

    def merge_records(
        self, packet: GossipPacket, now: float
    ) -> tuple[list[MemberRecord], bool]:
        """Return records to forward at once and whether any was new."""
        urgent = []
        any_new = False
        for record in packet.records:
            known = self.state.table.get(record.instance)
            if not self.state.merge(record, now, not is_transfer(packet)):
                continue
            any_new = True
            current = self.state.table.get(record.instance)
            if is_urgent(current, known):
                urgent.append(current)
        return urgent, any_new

    def note_sender(self, packet: GossipPacket) -> None:
        sender = self.state.table.get(packet.sender)
        if sender is not None:
            self.state.note_version(packet.config_version, sender.peer_address)
            self.note_digest(packet, sender)

    def note_digest(self, packet: GossipPacket, sender: MemberRecord) -> None:
        """Report the sender's digest of ended targets."""
        if packet.ends_digest is not None:
            seen = EndsDigest(
                packet.ends_digest,
                sender.peer_address,
                sender.role == MemberRole.CONTROL,
            )
            self.state.digests.append(seen)

    def compare(self, packet: GossipPacket) -> None:
        """Count consecutive packets whose sender knows other members.

        A sender that is unknown here weighs more, as it may represent a whole
        group.
        """
        if packet.members_digest == self.state.table.digest:
            self.mismatches = 0
            self.set_transferring(False)
            return
        self.mismatches += UNKNOWN_WEIGHT if self.sender_is_new else 1
        self.differing_address = packet.sender_address

    def set_transferring(self, transferring: bool) -> None:
        """Record whether a table transfer is in progress here."""
        self.transferring = transferring
        self.state.packet_builder.set_transfer_mode(transferring)

    def correction(self, packet: GossipPacket) -> list[MemberRecord]:
        """Return our record of the sender if the sender must refute it.

        The sender refutes it at once, whether it is a suspicion, a death or a
        record from before its restart.
        """
        known = self.state.table.get(packet.sender)
        if known is None or known.incarnation < packet.sender_incarnation:
            return []
        if known.incarnation > packet.sender_incarnation:
            return [known]
        return [known] if known.state != MemberState.ALIVE else []

    def pull_more(self, packet: GossipPacket, now: float) -> list[Outgoing]:
        """Continue a transfer that still brings new records."""
        state = self.state
        if packet.members_digest == state.table.digest:
            return []
        self.set_transferring(True)
        if not state.budget.may_pull(now):
            return []
        count = 1 if state.joined else FIRST_PULLS
        state.joined = True
        chosen = state.sample(count)
        return [state.pull(r.gossip_address, now) for r in chosen]


def is_transfer(packet: GossipPacket) -> bool:
    """Return whether this is an answer to a pull; a push has no sequence."""
    return packet.kind == GossipKind.SYNC and packet.sequence != 0


def is_urgent(record: MemberRecord, known: MemberRecord | None) -> bool:
    """Return whether a change must reach all members in a second or two.

    These are the changes after which a target may not be sent new work.
    """
    if known is None or record is known:
        return False
    if record.state == MemberState.LEFT:
        return known.state != MemberState.LEFT
    return record.target_state != known.target_state


@HANDLERS.register('PING')
def on_ping(receiver, packet, now):
    """Answer at once."""
    state = receiver.state
    answer = state.packet_builder.new_packet(GossipKind.ACK, packet.sequence)
    answer.subject = state.settings.instance
    required = receiver.correction(packet)
    return [
        state.packet_builder.finish(
            packet.sender_address, answer, required, now
        )
    ]


@HANDLERS.register('ACK')
def on_ack(receiver, packet, now):
    """Complete the probe, or relay the answer to its requester."""
    state = receiver.state
    state.joined = True
    probe = state.prober.complete(packet.sequence)
    if probe is not None and probe.fresh:
        state.liveness.health.record_probe(True)
    relay = state.prober.complete_relay(packet.sequence)
    if relay is None:
        return []
    answer = state.packet_builder.new_packet(GossipKind.ACK, relay.sequence)
    answer.subject = relay.subject
    return [state.packet_builder.finish(relay.address, answer, [], now)]


@HANDLERS.register('PING_REQUEST')
def on_ping_request(receiver, packet, now):
    """Probe a member for another one; other addresses are ignored."""
    state = receiver.state
    subject = state.table.get(packet.subject)
    if subject is None or packet.subject == state.settings.instance:
        return []
    deadline = now + RELAY_PERIODS * state.settings.period
    sequence = state.prober.relay(
        packet.sender_address, packet.sequence, packet.subject, deadline
    )
    ping = state.packet_builder.new_packet(GossipKind.PING, sequence)
    ping.subject = packet.subject
    return [state.packet_builder.finish(subject.gossip_address, ping, [], now)]


@HANDLERS.register('JOIN')
def on_join(receiver, packet, now):
    """Answer with the records in which the tables differ."""
    state = receiver.state
    entries = select_entries(state.table, packet.subject, state.rng)
    required = receiver.correction(packet)
    newcomer = receiver.sender_is_new or not packet.subject
    room = state.budget.answer_allowance(now, newcomer)
    state.counters.withheld += count_withheld(entries, room)
    if not required and not (entries and room):
        return []
    answer = state.packet_builder.answer(
        packet.sender_address, packet.sequence, required, entries, room
    )
    return [answer]


def count_withheld(entries: list[Entry], room: int) -> int:
    """Return how many records the budget alone keeps out of a packet."""
    if room >= MAX_PACKET_BYTES:
        return 0
    used = 0
    for number, entry in enumerate(entries):
        used += entry.size
        if used > MAX_PACKET_BYTES:
            return 0
        if used > room:
            return len(entries) - number
    return 0


@HANDLERS.register('SYNC')
def on_sync(receiver, packet, now):
    """Do nothing: the records of the packet have already been merged."""
    return []
