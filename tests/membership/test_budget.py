"""What a member answers while its byte budget is spent."""

from cyclamenlift.membership.budget import MAX_OVERDRAFT_BYTES
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from tests.membership.builders import packet
from tests.membership.builders import state


def join(name: str = 'z', **fields):
    """Return a request of a member for the records that it lacks."""
    return packet(name, kind=GossipKind.JOIN, **fields)


def spend_all(member) -> None:
    """Overdraw the budget of a member as far as it goes."""
    member.budget.tokens = -MAX_OVERDRAFT_BYTES


# Guards against an answer that leaves records out and shows it to nobody.
def test_records_left_out_for_want_of_budget_are_counted():
    member = state(others='bcdef')
    member.on_packet(join(), 0.0)
    assert member.counters.withheld == 0
    spend_all(member)
    member.on_packet(join(), 0.0)
    assert member.counters.withheld == 6


# Guards against records that wait for the next packet, as one is full, being
# counted as left out.
def test_records_that_a_full_packet_leaves_out_are_not_counted():
    member = state(others='bcdefghijklmnopqrstuvwxy')
    member.on_packet(join(), 0.0)
    assert member.counters.withheld == 0
