"""Builds gossip packets within the packet size and the byte budget."""

from collections.abc import Iterable
import dataclasses

from cyclamenlift.core.streams import Address
from cyclamenlift.membership.budget import AnnouncementBudget
from cyclamenlift.membership.budget import ByteBudget
from cyclamenlift.membership.dissemination import DisseminationQueue
from cyclamenlift.membership.dissemination import TableSlice
from cyclamenlift.membership.records import is_address
from cyclamenlift.membership.records import is_number
from cyclamenlift.membership.records import is_text
from cyclamenlift.membership.records import MAX_INCARNATION
from cyclamenlift.membership.records import MAX_VERSION
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.table import Entry
from cyclamenlift.membership.table import MemberTable
from cyclamenlift.wire.codec import encode_packet
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord

MAX_PACKET_BYTES = 1_400
# Upper bound of the size of a packet without its strings and records.
FIXED_BYTES = 104
# The same of a name in a list.
NAME_BYTES = 2
# Piggybacked records of a packet, normally and during a table transfer.
PIGGYBACK_BYTES = 500
TRANSFER_PIGGYBACK_BYTES = 130
MAX_RECORDS = 64
MAX_SUBJECT = 512
# Reports of ended targets per packet: one may fill most of a packet.
MAX_ENDS = 4
KINDS = tuple(GossipKind)


@dataclasses.dataclass(frozen=True, slots=True)
class Outgoing:
    """A packet to send and its encoded form."""

    address: Address
    packet: GossipPacket
    data: bytes


@dataclasses.dataclass(frozen=True, slots=True)
class EndsDigest:
    """A peer's digest of the ended targets that it knows."""

    digest: int
    peer_address: str
    from_control: bool


def is_valid_packet(packet: GossipPacket) -> bool:
    """Return whether all fields other than the records are valid."""
    return (
        packet.kind in KINDS
        and isinstance(packet.sequence, int)
        and is_text(packet.sender, 1)
        and is_number(packet.sender_incarnation, MAX_INCARNATION)
        and isinstance(packet.subject, str)
        and len(packet.subject) <= MAX_SUBJECT
        and is_text(packet.subject_address)
        and isinstance(packet.records, list)
        and len(packet.records) <= MAX_RECORDS
        and is_number(packet.config_version, MAX_VERSION)
        and isinstance(packet.members_digest, int)
        and is_address(packet.sender_address)
        and len(packet.ends or ()) <= MAX_ENDS
    )


class PacketBuilder:
    """Builds packets from required records, changes and a table slice."""

    def __init__(
        self,
        settings: MembershipSettings,
        address: str,
        table: MemberTable,
        queue: DisseminationQueue,
        budget: ByteBudget,
    ) -> None:
        self.settings = settings
        self.address = address
        self.table = table
        self.queue = queue
        self.budget = budget
        self.slice = TableSlice()
        self.piggyback_bytes = PIGGYBACK_BYTES
        # Digest of the ended targets known here; None if this instance doesn't
        # track them, in which case peers don't compare it.
        self.ends_digest: int | None = None
        # The evacuated data centres; None if there never were any.
        self.evacuations: EvacuationState | None = None

    def set_transfer_mode(self, in_progress: bool) -> None:
        """Shrink piggybacking during a transfer to save bytes for answers."""
        self.piggyback_bytes = (
            TRANSFER_PIGGYBACK_BYTES if in_progress else PIGGYBACK_BYTES
        )

    def new_packet(self, kind: GossipKind, sequence: int) -> GossipPacket:
        """Return a packet with this instance's own fields set."""
        own = self.table.get(self.settings.instance)
        return GossipPacket(
            kind=kind,
            sequence=sequence,
            cluster=self.settings.cluster,
            sender=own.instance,
            sender_incarnation=own.incarnation,
            subject='',
            subject_address='',
            records=[],
            config_version=own.config_version,
            members_digest=self.table.digest,
            sender_address=self.address,
            ends_digest=self.ends_digest,
            evacuations=self.evacuations,
        )

    def overhead(self, packet: GossipPacket) -> int:
        """Return an upper bound of the packet's size without records."""
        strings = (
            packet.cluster,
            packet.sender,
            packet.subject,
            packet.subject_address,
            packet.sender_address,
        )
        names = packet.evacuations.data_centres if packet.evacuations else ()
        evacuations = sum(len(name.encode()) + NAME_BYTES for name in names)
        texts = sum(len(text.encode()) for text in strings)
        return FIXED_BYTES + texts + evacuations

    def add(
        self, packet: GossipPacket, records: Iterable[MemberRecord], limit: int
    ) -> int:
        """Append records while they fit; return the remaining bytes."""
        for record in records:
            entry = self.table.entries[record.instance]
            if entry.size <= limit:
                packet.records.append(entry.record)
                limit -= entry.size
        return limit

    def finish(
        self,
        address: str,
        packet: GossipPacket,
        required: Iterable[MemberRecord],
        now: float,
        piggyback: bool = True,
        budget: ByteBudget | AnnouncementBudget | None = None,
    ) -> Outgoing:
        """Fill a packet, charge its bytes and return it for sending.

        Records in ``required`` are included regardless of the budget; they are
        few.
        """
        budget = budget or self.budget
        room = MAX_PACKET_BYTES - self.overhead(packet)
        room = self.add(packet, required, room)
        room = min(room, self.piggyback_bytes, budget.available(now))
        if piggyback and room > 0:
            self.add_piggyback(packet, room)
        return self.encode(address, packet, budget)

    def add_piggyback(self, packet: GossipPacket, room: int) -> None:
        for record in self.queue.take(self.table, room):
            packet.records.append(record)
            room -= self.table.entries[record.instance].size
        packet.records.extend(self.slice.take(self.table, room))

    def encode(
        self,
        address: str,
        packet: GossipPacket,
        budget: ByteBudget | AnnouncementBudget,
    ) -> Outgoing:
        data = encode_packet(packet)
        budget.spend(len(data))
        return Outgoing(Address.parse(address), packet, data)

    def answer(
        self,
        address: str,
        sequence: int,
        required: Iterable[MemberRecord],
        entries: list[Entry],
        limit: int,
    ) -> Outgoing:
        """Return a SYNC packet with the entries that fit in ``limit``."""
        packet = self.new_packet(GossipKind.SYNC, sequence)
        room = MAX_PACKET_BYTES - self.overhead(packet)
        room = self.add(packet, required, room)
        room = min(room, limit)
        self.add(packet, (entry.record for entry in entries), room)
        return self.encode(address, packet, self.budget)
