"""All instances start at once, and the seeds start last.

After a power failure, nine daemons and five control instances start within 0.4
s in any order. Each is configured with three seeds, which do not listen yet
when most instances ask them. Callers are back at once and are rejected until a
daemon knows targets. Packets take 1 ms; a packet to an instance that is not
running is lost.
"""

import pytest

from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from tests.membership.fleet import CONTROL
from tests.membership.fleet import DAEMONS
from tests.membership.fleet import Fleet
from tests.membership.fleet import SEEDS

# Daemons were observed to listen within 0.05 s of each other, control
# instances up to 0.25 s after them.
SPREAD = 0.05
CONTROL_LATER = 0.25


@pytest.mark.parametrize('seed', range(30))
def test_all_know_each_other_soon_after_the_last_has_started(seed):
    fleet = Fleet(seed)
    for host in DAEMONS:
        fleet.at(fleet.rng.uniform(0.0, SPREAD), fleet.start, host)
    for host in CONTROL:
        later = fleet.rng.uniform(-0.2, CONTROL_LATER)
        fleet.at(max(0.0, later), fleet.start, host)
    fleet.run_until(CONTROL_LATER + 0.5)
    assert fleet.strangers() == 0


def test_a_single_new_instance_is_known_at_once():
    fleet = Fleet(1)
    for host in CONTROL + DAEMONS[1:]:
        fleet.at(0.0, fleet.start, host)
    fleet.run_until(20.0)
    fleet.at(20.0, fleet.start, DAEMONS[0])
    fleet.run_until(20.3)
    assert fleet.strangers() == 0


def test_dead_seeds_do_not_delay_joining():
    fleet = Fleet(3)
    fleet.seeds = ['10.0.9.9', '10.0.9.8', CONTROL[0]]
    for host in CONTROL + DAEMONS:
        fleet.at(fleet.rng.uniform(0.0, 0.2), fleet.start, host)
    fleet.run_until(1.2)
    assert fleet.strangers() == 0


def test_steps_cost_little_once_all_are_known():
    """A step is one small request, and equal tables need no answer."""
    fleet = Fleet(5)
    for host in CONTROL + DAEMONS:
        fleet.at(0.0, fleet.start, host)
    fleet.run_until(2.0)
    member = fleet.members[DAEMONS[0]]
    seed = fleet.members[SEEDS[0]]
    for item in member.join_step(2.0):
        assert len(item.data) < 400
        packet = decode_packet(GossipPacket, item.data)
        assert seed.on_packet(packet, 2.0) == []
