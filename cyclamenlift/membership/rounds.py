"""What a member does once a period."""

from cyclamenlift.membership.packets import Outgoing
from cyclamenlift.membership.probing import Probe
from cyclamenlift.membership.probing import Stage
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import MemberState

INDIRECT_PROBES = 3
CONTACT_PERIODS = 10
STALL_PERIODS = 3.0
PULL_MISMATCHES = 4


class PeriodRound:
    """Ends old probes, sends one new probe, mends what differs."""

    def __init__(self, state, now: float) -> None:
        self.state = state
        self.last_at = now
        self.count = 0

    def run(self, now: float) -> list[Outgoing]:
        """Return the packets of this period."""
        state = self.state
        self.count += 1
        self.note_stall(now)
        state.verdicts.forget_expired(now)
        state.prober.drop_late_relays(now)
        result = []
        for probe in state.prober.unanswered():
            result.extend(self.pursue(probe, now))
        self.declare_deaths(now)
        result.extend(self.probe_next(now))
        result.extend(self.reach_out(now))
        return result

    def note_stall(self, now: float) -> None:
        """Blame nobody for the time in which this process stood still."""
        gap = now - self.last_at
        self.last_at = now
        if gap > STALL_PERIODS * self.state.settings.period:
            self.state.prober.waiting.clear()
            self.state.verdicts.postpone(gap)

    def pursue(self, probe: Probe, now: float) -> list[Outgoing]:
        """Ask others to probe, then suspect."""
        state = self.state
        if probe.stage is Stage.DIRECT and probe.fresh:
            probe.stage = Stage.INDIRECT
            return self.ask_others(probe, now)
        state.prober.give_up(probe)
        if probe.fresh:
            state.verdicts.health.note(False)
            state.suspect(probe.instance, probe.incarnation, now)
        return []

    def ask_others(self, probe: Probe, now: float) -> list[Outgoing]:
        state = self.state
        result = []
        for helper in state.sample(INDIRECT_PROBES, probe.instance):
            packet = state.packer.bare(
                GossipKind.PING_REQUEST, probe.sequence
            )
            packet.subject = probe.instance
            sent = state.packer.finish(
                helper.gossip_address, packet, [], now, piggyback=False
            )
            result.append(sent)
        return result

    def declare_deaths(self, now: float) -> None:
        """Declare one death after another, each on the newest counts."""
        while True:
            due = self.state.verdicts.due_deaths(now)
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
        packet = state.packer.bare(GossipKind.PING, probe.sequence)
        packet.subject = name
        # A suspect learns of it here, and may have lost our record.
        must = [] if fresh else [member, state.own]
        return [state.packer.finish(member.gossip_address, packet, must, now)]

    def reach_out(self, now: float) -> list[Outgoing]:
        """Join, mend differences, and look for the other side of a cut."""
        state = self.state
        if not state.joined:
            return state.join(now)
        result = []
        if state.receiver.mismatches >= PULL_MISMATCHES:
            state.receiver.mismatches = 0
            if state.budget.room(now):
                chosen = state.sample(1)
                result = [state.pull(r.gossip_address, now) for r in chosen]
        alone = state.table.live_count() == 1
        if alone or self.count % CONTACT_PERIODS == 0:
            result.extend(self.contact(now))
        return result

    def contact(self, now: float) -> list[Outgoing]:
        state = self.state
        known = {r.gossip_address for r in state.members()}
        address = state.contacts.pick(known)
        return [state.pull(address, now)] if address else []
