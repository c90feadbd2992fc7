"""The state machine of the membership protocol: packets in, packets out.

Time is passed in and no I/O is done here. The protocol is SWIM with suspicion:
one probe a period, indirect probes before a suspicion, time to refute before a
death. Changes are piggybacked on every packet; digests detect what was lost on
the way.
"""

import dataclasses
import random

from cyclamenlift.membership.budget import AnnouncementBudget
from cyclamenlift.membership.budget import ByteBudget
from cyclamenlift.membership.budget import BYTES_PER_PERIOD
from cyclamenlift.membership.contacts import Contacts
from cyclamenlift.membership.digests import encode_digests
from cyclamenlift.membership.digests import encode_fingerprints
from cyclamenlift.membership.dissemination import DisseminationQueue
from cyclamenlift.membership.joining import INTRODUCE_FANOUT
from cyclamenlift.membership.joining import Introductions
from cyclamenlift.membership.liveness import LivenessTracker
from cyclamenlift.membership.packet_handlers import PacketReceiver
from cyclamenlift.membership.packets import EndsDigest
from cyclamenlift.membership.packets import is_valid_packet
from cyclamenlift.membership.packets import Outgoing
from cyclamenlift.membership.packets import PacketBuilder
from cyclamenlift.membership.period_round import PeriodRound
from cyclamenlift.membership.probing import Prober
from cyclamenlift.membership.records import is_valid_record
from cyclamenlift.membership.records import revise
from cyclamenlift.membership.records import same_announcement
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.wire.gen.protocol.ttypes import EndReport
from cyclamenlift.wire.gen.protocol.ttypes import EvacuationState
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

ANNOUNCE_FANOUT = 8
FORWARD_FANOUT = 4
# Number of members of other data centres among those that a change is pushed
# to: bytes between data centres are expensive, and since each member that
# learns of a change sends it to one of them, many copies cross in total.
REMOTE_PUSHES = 1


@dataclasses.dataclass(slots=True)
class Counters:
    """Protocol counters for metrics and status."""

    packets_in: int = 0
    packets_out: int = 0
    bytes_in: int = 0
    bytes_out: int = 0
    strangers: int = 0
    malformed: int = 0
    bad_records: int = 0
    refutations: int = 0
    suspicions: int = 0
    deaths: int = 0
    # Records that answers to pulls left out because the budget was spent.
    withheld: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class VersionReport:
    """A configuration version newer than ours and the peer that has it."""

    version: int
    peer_address: str


class MembershipState:
    """One member's view of the cluster and its part in the protocol."""

    def __init__(
        self,
        settings: MembershipSettings,
        address: str,
        now: float,
        unix_ms: int,
        rng: random.Random,
    ) -> None:
        self.settings = settings
        self.rng = rng
        self.liveness = LivenessTracker(settings.period)
        self.table = self.liveness.table
        self.queue = DisseminationQueue()
        rate = BYTES_PER_PERIOD / settings.period
        self.budget = ByteBudget(now, rate)
        self.announcement_budget = AnnouncementBudget(self.budget)
        self.packet_builder = PacketBuilder(
            settings, address, self.table, self.queue, self.budget
        )
        self.prober = Prober(rng)
        seeds = tuple(str(seed) for seed in settings.seeds)
        self.contacts = Contacts(seeds, rng)
        self.counters = Counters()
        self.changes: list[MemberRecord] = []
        self.versions: list[VersionReport] = []
        self.ends: list[EndReport] = []
        self.digests: list[EndsDigest] = []
        # Received states of evacuations, by sender.
        self.evacuations: dict[str, EvacuationState] = {}
        self.left = False
        self.joined = not seeds
        self.introductions = Introductions(now)
        self.receiver = PacketReceiver(self)
        self.period_round = PeriodRound(self, now)
        self.store(self.first_record(address, unix_ms), now)

    def first_record(self, address: str, unix_ms: int) -> MemberRecord:
        """Return the initial record of this instance.

        The wall clock normally puts the incarnation above that of the previous
        run. If the clock went back, the others answer with the older record
        and ``refute`` raises the incarnation above it.
        """
        settings = self.settings
        return MemberRecord(
            instance=settings.instance,
            incarnation=max(1, unix_ms),
            state=MemberState.ALIVE,
            data_centre=settings.data_centre,
            gossip_address=address,
            peer_address=settings.peer_address,
            service_name=settings.service_name,
            slots=settings.slots,
            target_state=settings.target_state,
            config_version=settings.config_version,
            target_name=settings.target_name,
            role=settings.role,
        )

    # -- queries ----------------------------------------------------------

    @property
    def own(self) -> MemberRecord:
        """The record of this instance."""
        return self.table.entries[self.settings.instance].record

    def members(self) -> list[MemberRecord]:
        """Return the live members, including this instance."""
        return self.table.live()

    def others(self) -> list[MemberRecord]:
        """Return the live members except this one."""
        own = self.settings.instance
        return [r for r in self.table.live() if r.instance != own]

    def sample(self, count: int, exclude: str = '') -> list[MemberRecord]:
        """Return up to ``count`` random other members."""
        others = [r for r in self.others() if r.instance != exclude]
        return self.rng.sample(others, min(count, len(others)))

    def sample_nearby(self, count: int) -> list[MemberRecord]:
        """Return up to ``count`` others, one of another data centre.

        A change that each member passes on reaches every member of a data
        centre from inside it, and still arrives from outside over many paths,
        since each member also sends it to one remote member.
        """
        own = self.settings.data_centre
        others = self.others()
        self.rng.shuffle(others)
        near = [r for r in others if r.data_centre == own]
        far = [r for r in others if r.data_centre != own]
        chosen = near[: max(count - REMOTE_PUSHES, count - len(far))]
        return chosen + far[: count - len(chosen)]

    # -- records ----------------------------------------------------------

    def store(
        self, record: MemberRecord, now: float, spread: bool = True
    ) -> None:
        """Store a record that supersedes the known one and spread it."""
        self.liveness.store(record, now)
        if spread:
            self.queue.add(record.instance)
        self.changes.append(record)
        if record.state == MemberState.DEAD:
            self.counters.deaths += 1
            self.contacts.add(record.instance, record.gossip_address)
        else:
            self.contacts.discard(record.instance)

    def merge(
        self, record: MemberRecord, now: float, spread: bool = True
    ) -> bool:
        """Merge a received record; return whether it was accepted.

        Records of unknown members in a table transfer are not spread: the
        others know them already.
        """
        if not is_valid_record(record):
            self.counters.bad_records += 1
            return False
        if record.instance == self.settings.instance:
            return self.refute(record, now)
        self.note_version(record.config_version, record.peer_address)
        accepted = self.liveness.consider(record, now)
        if accepted is None:
            return False
        must_spread = spread or self.table.get(record.instance) is not None
        self.store(accepted, now, must_spread)
        return True

    def refute(self, record: MemberRecord, now: float) -> bool:
        """Raise our incarnation above a foreign record of this instance."""
        own = self.own
        if self.left or record.incarnation < own.incarnation:
            return False
        harmless = record.state == MemberState.ALIVE and same_announcement(
            record, own
        )
        if harmless and record.incarnation == own.incarnation:
            return False
        self.counters.refutations += 1
        self.store(revise(own, incarnation=record.incarnation + 1), now)
        return True

    def suspect(self, instance: str, incarnation: int, now: float) -> None:
        """Suspect an unresponsive member unless its incarnation changed."""
        known = self.table.get(instance)
        if known is None or known.incarnation != incarnation:
            return
        if known.state == MemberState.ALIVE:
            self.counters.suspicions += 1
            self.store(revise(known, state=MemberState.SUSPECT), now)

    def note_version(self, version: int, peer_address: str) -> None:
        """Report a configuration newer than the announced one."""
        if version > self.own.config_version and peer_address:
            self.versions.append(VersionReport(version, peer_address))

    # -- commands ---------------------------------------------------------

    def join(self, now: float) -> list[Outgoing]:
        """Ask a random seed for its table."""
        own = self.packet_builder.address
        seeds = [seed for seed in self.contacts.seeds if seed != own]
        if not seeds:
            return []
        return [self.pull(self.rng.choice(seeds), now)]

    def join_step(self, now: float) -> list[Outgoing]:
        """Repeat the join request soon after the start.

        Seeds that are still unknown may be listening by now, and known members
        may have learned of others.
        """
        if self.left:
            return []
        known = {r.gossip_address for r in self.members()}
        asked = [s for s in self.contacts.seeds if s not in known]
        asked.extend(r.gossip_address for r in self.sample(1))
        return [self.pull(address, now) for address in asked]

    def introduce(self, now: float) -> list[Outgoing]:
        """Announce this instance to some of the discovered members."""
        if not self.introductions.take(now):
            return []
        return self.push([self.own], INTRODUCE_FANOUT, now)

    def pull(self, address: str, now: float) -> Outgoing:
        """Ask a member for the records that differ."""
        packet = self.packet_builder.new_packet(
            GossipKind.JOIN, self.prober.next_sequence()
        )
        if self.receiver.transferring:
            packet.subject = encode_fingerprints(self.table, self.rng)
        elif len(self.table) > 1:
            packet.subject = encode_digests(self.table)
        return self.packet_builder.finish(
            address, packet, [self.own], now, False
        )

    def push(
        self, records: list[MemberRecord], fanout: int, now: float
    ) -> list[Outgoing]:
        """Send records to some members at once, mostly nearby ones."""
        result = []
        for member in self.sample_nearby(fanout):
            packet = self.packet_builder.new_packet(GossipKind.SYNC, 0)
            result.append(self.finish_push(member, packet, records, now))
        return result

    def finish_push(
        self,
        member: MemberRecord,
        packet: GossipPacket,
        records: list[MemberRecord],
        now: float,
    ) -> Outgoing:
        """Finish a packet that leaves the budget's reserve to answers.

        Others' records are piggybacked only on pushed records.
        """
        return self.packet_builder.finish(
            member.gossip_address,
            packet,
            records,
            now,
            piggyback=bool(records),
            budget=self.announcement_budget,
        )

    def push_ends(
        self, report: EndReport, fanout: int, now: float, own: bool
    ) -> list[Outgoing]:
        """Send a report of an ended target to some members at once.

        A report of another instance is left to digest comparison if the byte
        budget is spent: when many targets end together, every member forwards
        all of them.
        """
        if not own and not self.announcement_budget.available(now):
            return []
        result = []
        for member in self.sample_nearby(fanout):
            packet = self.packet_builder.new_packet(GossipKind.SYNC, 0)
            packet.ends = [report]
            result.append(self.finish_push(member, packet, [], now))
        return result

    def push_evacuations(self, fanout: int, now: float) -> list[Outgoing]:
        """Send the evacuated data centres to some members at once.

        Every packet carries them.
        """
        result = []
        for member in self.sample_nearby(fanout):
            packet = self.packet_builder.new_packet(GossipKind.SYNC, 0)
            result.append(self.finish_push(member, packet, [], now))
        return result

    def announce(
        self,
        target_state: TargetState | None,
        config_version: int | None,
        now: float,
        slots: int | None = None,
    ) -> list[Outgoing]:
        """Announce a change of this instance."""
        own = self.own
        if self.left:
            return []
        newer = config_version is not None and (
            config_version > own.config_version
        )
        if newer:
            own = revise(own, config_version=config_version)
            self.table.put(own)
        state = own.target_state if target_state is None else target_state
        slot_count = own.slots if slots is None else slots
        changed = (state, slot_count) != (own.target_state, own.slots)
        if changed:
            own = revise(
                own,
                target_state=state,
                slots=slot_count,
                incarnation=own.incarnation + 1,
            )
            self.store(own, now)
        if not newer and not changed:
            return []
        return self.push([own], ANNOUNCE_FANOUT, now)

    def leave(self, now: float) -> list[Outgoing]:
        """Announce that this instance leaves; ignore packets from now on."""
        if self.left:
            return []
        own = self.own
        gone = revise(
            own, state=MemberState.LEFT, incarnation=own.incarnation + 1
        )
        self.store(gone, now)
        self.left = True
        return self.push([gone], ANNOUNCE_FANOUT, now)

    # -- inputs -----------------------------------------------------------

    def on_packet(self, packet: GossipPacket, now: float) -> list[Outgoing]:
        """Handle a received packet; return the packets to send."""
        if packet.cluster != self.settings.cluster:
            self.counters.strangers += 1
            return []
        if not is_valid_packet(packet):
            self.counters.malformed += 1
            return []
        if self.left or packet.sender == self.settings.instance:
            return []
        return self.receiver.receive(packet, now)

    def on_period(self, now: float) -> list[Outgoing]:
        """Do the work of one period."""
        if self.left:
            return []
        return self.period_round.run(now)
