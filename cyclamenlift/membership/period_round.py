"""The periodic work of a member."""

from cyclamenlift.membership.packets import Outgoing
from cyclamenlift.membership.probing import Probe
from cyclamenlift.membership.probing import Stage
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import MemberState

INDIRECT_PROBES = 3
CONTACT_PERIODS = 10
# Members that start together through different seeds may form separate groups:
# seeds that are still unknown after these periods are asked as well.
EARLY_CONTACTS = (1, 3, 5)
STALL_PERIODS = 3.0
PULL_MISMATCHES = 4
MAX_JOIN_WAIT = 8


class PeriodRound:
    """Follows up old probes, sends a new one and reconciles tables."""

    def __init__(self, state, now: float) -> None:
        self.state = state
        self.last_at = now
        self.count = 0
        self.next_join = 1
        self.join_wait = 1

    def run(self, now: float) -> list[Outgoing]:
        """Return the packets to send in this period."""
        state = self.state
        self.count += 1
        self.note_stall(now)
        state.liveness.forget_expired(now)
        state.prober.drop_late_relays(now)
        result = []
        for probe in state.prober.pending():
            result.extend(self.follow_up(probe, now))
        self.declare_deaths(now)
        result.extend(self.probe_next(now))
        result.extend(self.sync_tables(now))
        return result

    def note_stall(self, now: float) -> None:
        """Discount the time in which this process itself was stalled."""
        gap = now - self.last_at
        self.last_at = now
        if gap > STALL_PERIODS * self.state.settings.period:
            self.state.prober.pending_probes.clear()
            self.state.liveness.postpone(gap)

    def follow_up(self, probe: Probe, now: float) -> list[Outgoing]:
        """Send indirect probes for an unanswered one, then suspect."""
        state = self.state
        if probe.stage is Stage.DIRECT and probe.fresh:
            probe.stage = Stage.INDIRECT
            return self.send_indirect_probes(probe, now)
        state.prober.give_up(probe)
        if probe.fresh:
            state.liveness.health.record_probe(False)
            state.suspect(probe.instance, probe.incarnation, now)
        return []

    def send_indirect_probes(self, probe: Probe, now: float) -> list[Outgoing]:
        state = self.state
        result = []
        for helper in state.sample(INDIRECT_PROBES, probe.instance):
            packet = state.packet_builder.new_packet(
                GossipKind.PING_REQUEST, probe.sequence
            )
            packet.subject = probe.instance
            sent = state.packet_builder.finish(
                helper.gossip_address, packet, [], now, piggyback=False
            )
            result.append(sent)
        return result

    def declare_deaths(self, now: float) -> None:
        """Declare deaths one at a time, each based on updated counts."""
        while True:
            due = self.state.liveness.due_deaths(now)
            if not due:
                return
            for record in due:
                self.state.store(record, now)

    def probe_next(self, now: float) -> list[Outgoing]:
        state = self.state
        live = {r.instance: r for r in state.others()}
        name = state.prober.round.next(live)
        if name is None:
            return []
        member = live[name]
        fresh = member.state == MemberState.ALIVE
        probe = state.prober.begin(name, member.incarnation, fresh)
        packet = state.packet_builder.new_packet(
            GossipKind.PING, probe.sequence
        )
        packet.subject = name
        # A suspect learns here that it is suspected; it may also have lost our
        # record.
        required = [] if fresh else [member, state.own]
        return [
            state.packet_builder.finish(
                member.gossip_address, packet, required, now
            )
        ]

    def sync_tables(self, now: float) -> list[Outgoing]:
        """Join, reconcile tables, and look for other partitions."""
        state = self.state
        if not state.joined:
            return self.retry_join(now)
        result = self.reconcile(now)
        if self.contact_due():
            result.extend(self.pull_from_contact(now))
        return result

    def retry_join(self, now: float) -> list[Outgoing]:
        """Ask seeds at growing intervals, since all may start at once."""
        if self.count < self.next_join:
            return []
        self.join_wait = min(2 * self.join_wait, MAX_JOIN_WAIT)
        self.next_join = self.count + self.state.rng.randint(1, self.join_wait)
        return self.state.join(now)

    def reconcile(self, now: float) -> list[Outgoing]:
        """Pull when the digests of others keep differing from ours.

        A change in transit makes them differ for a short time, so a single
        mismatch counts only during a table transfer.
        """
        state = self.state
        receiver = state.receiver
        threshold = 1 if receiver.transferring else PULL_MISMATCHES
        if receiver.mismatches < threshold or not state.budget.may_pull(now):
            return []
        receiver.mismatches = 0
        addresses = [receiver.differing_address]
        if receiver.transferring:
            addresses.extend(r.gossip_address for r in state.sample(1))
        return [state.pull(address, now) for address in addresses]

    def contact_due(self) -> bool:
        alone = self.state.table.live_count() == 1
        early = self.count in EARLY_CONTACTS
        return alone or early or self.count % CONTACT_PERIODS == 0

    def pull_from_contact(self, now: float) -> list[Outgoing]:
        state = self.state
        known = {r.gossip_address for r in state.members()}
        address = state.contacts.pick(known)
        return [state.pull(address, now)] if address else []
