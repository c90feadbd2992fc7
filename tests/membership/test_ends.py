"""Reports of ended targets in packets, with a digest of known ones."""

from cyclamenlift.membership.budget import BURST_BYTES
from cyclamenlift.membership.packets import MAX_PACKET_BYTES
from cyclamenlift.quarantine.wire import MAX_FINGERPRINTS
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.gen.protocol.ttypes import EndReport
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from tests.membership.builders import record
from tests.membership.builders import state

FANOUT = 4


def report(count: int = 1) -> EndReport:
    names = [number.to_bytes(12, 'big') for number in range(count)]
    return EndReport('r' * 150, 's' * 64, names, 5, False, [100_000] * count)


def member():
    one = state(others='')
    for number in range(1, 9):
        one.store(record(f'm{number}'), 0.0, spread=False)
    return one


def test_the_largest_report_fits_in_a_packet():
    sent = member().push_ends(report(MAX_FINGERPRINTS), FANOUT, 0.0, own=True)
    assert len(sent) == FANOUT
    assert all(len(item.data) <= MAX_PACKET_BYTES for item in sent)


def test_a_report_arrives_with_the_digest_of_its_sender():
    sender, receiver = member(), member()
    sender.packet_builder.ends_digest = 77
    data = sender.push_ends(report(), 1, 0.0, own=True)[0].data
    packet = decode_packet(GossipPacket, data)
    packet.sender = 'm1'
    receiver.on_packet(packet, 0.0)
    assert receiver.ends == [report()]
    assert [seen.digest for seen in receiver.digests] == [77]


def test_members_that_track_no_reports_send_no_digest():
    sender, receiver = member(), member()
    packet = sender.push_ends(report(), 1, 0.0, own=True)[0].packet
    packet.sender = 'm1'
    receiver.on_packet(packet, 0.0)
    assert receiver.digests == []


def test_many_ends_are_forwarded_within_the_byte_budget():
    """A hundred targets of a large fleet end together, repeatedly."""
    one = member()
    largest = report(MAX_FINGERPRINTS)
    sent = [
        item
        for _ in range(1000)
        for item in one.push_ends(largest, FANOUT, 0.0, own=False)
    ]
    assert sum(len(item.data) for item in sent) <= BURST_BYTES + 6000
    assert one.push_ends(largest, FANOUT, 0.0, own=True)
