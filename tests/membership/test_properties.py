"""Invariants under any order, loss, duplication and delay of packets."""

import random

from hypothesis import given
from hypothesis import settings
from hypothesis import strategies as st

from bench.gossip_loop import address_of
from bench.gossip_loop import GossipLoop
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

MEMBERS = 5
SETTLE_PERIODS = 120
STEPS = st.lists(
    st.tuples(
        st.sampled_from(
            ['period', 'period', 'deliver', 'deliver', 'deliver']
            + ['drop', 'double', 'announce', 'restart', 'accuse']
        ),
        st.integers(0, 9_999),
    ),
    max_size=120,
)


class ArbitraryDelivery(GossipLoop):
    """Members whose packets are delivered in an arbitrary order."""

    def __init__(self) -> None:
        super().__init__()
        self.min_incarnations: dict[tuple, int] = {}
        for number in range(MEMBERS):
            self.add(number)

    def step(self, action: str, pick: int) -> None:
        """Perform one step; ``pick`` selects the member or the packet."""
        address = address_of(pick % MEMBERS)
        state = self.members[address]
        if action == 'period':
            self.now += 0.2
            self.send(address, state.on_period(self.now))
        elif action == 'announce':
            value = list(TargetState)[pick % 4]
            self.send(address, state.announce(value, None, self.now))
        elif action == 'restart':
            self.forget(address)
            self.add(pick % MEMBERS, boot=pick - 5_000)
        elif action == 'accuse':
            victim = self.members[address_of(pick // 7 % MEMBERS)]
            name = victim.settings.instance
            known = state.table.get(name)
            if known is not None and victim is not state:
                state.suspect(name, known.incarnation, self.now)
        elif self.queue:
            self.deliver_packet(action, pick)

    def deliver_packet(self, action: str, pick: int) -> None:
        self.queue.rotate(pick % len(self.queue))
        _, address, data = self.queue.popleft()
        if action == 'drop':
            return
        state = self.members[address]
        for _ in range(2 if action == 'double' else 1):
            packet = decode_packet(GossipPacket, data)
            self.send(address, state.on_packet(packet, self.now))

    def forget(self, address) -> None:
        """Reset the minimum incarnations of a restarted observer."""
        self.min_incarnations = {
            key: floor
            for key, floor in self.min_incarnations.items()
            if key[0] != address
        }

    def check_incarnations(self) -> None:
        """Check that no member ever returns to an older record."""
        for address, state in self.members.items():
            for name, entry in state.table.entries.items():
                key = (address, name)
                incarnation = entry.record.incarnation
                assert incarnation >= self.min_incarnations.get(key, 0)
                self.min_incarnations[key] = incarnation

    def settle(self) -> int | None:
        """Deliver everything without loss until all members agree."""
        self.deliver()
        return self.run_until(self.all_agree, SETTLE_PERIODS)


@settings(derandomize=True, max_examples=60, deadline=None)
@given(STEPS)
def test_records_never_go_back_and_members_agree_in_the_end(steps):
    cluster = ArbitraryDelivery()
    for action, pick in steps:
        cluster.step(action, pick)
        cluster.check_incarnations()
    assert cluster.settle() is not None
    cluster.check_incarnations()
    for state in cluster.members.values():
        own = state.own
        assert own.state == MemberState.ALIVE
        for other in cluster.members.values():
            assert other.table.get(own.instance).incarnation == (
                own.incarnation
            )


@settings(derandomize=True, max_examples=25, deadline=None)
@given(st.integers(0, 2**32), st.floats(0.0, 0.3))
def test_after_loss_and_restarts_all_agree(seed, loss):
    choose = random.Random(seed)
    loop = GossipLoop(seed, loss)
    for number in range(8):
        loop.add(number)
    for _ in range(15):
        loop.run_period()
        number = choose.randrange(8)
        if choose.random() < 0.3:
            loop.add(number, boot=choose.randrange(-9_000, 9_000))
    loop.loss = 0.0
    assert loop.run_until(loop.all_agree, SETTLE_PERIODS) is not None
