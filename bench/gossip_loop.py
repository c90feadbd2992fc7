"""A simulated network that delivers packets between membership states.

In each period every member runs its round, in shuffled order, and packets
are delivered at once until none is left. Bytes include IP and UDP headers;
processor time covers decoding, protocol logic and encoding.
"""

import collections
import dataclasses
import random
import time

from cyclamenlift.core.streams import Address
from cyclamenlift.membership.budget import IP_UDP_BYTES
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.wire.codec import decode_packet
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket

SERVICES = 91
DATA_CENTRES = 8
SEEDS = 3
PERIOD = 1.0
START_UNIX_MS = 1_800_000_000_000


@dataclasses.dataclass(slots=True)
class Traffic:
    """Traffic and CPU time of one member since the last reset."""

    bytes_in: int = 0
    bytes_out: int = 0
    packets: int = 0
    seconds: float = 0.0
    largest: int = 0


def address_of(number: int) -> Address:
    return Address(f'10.0.{number // 200}.{number % 200 + 1}', 7101)


class GossipLoop:
    """Members by address, with a simulated clock."""

    def __init__(self, seed: int = 1, loss: float = 0.0) -> None:
        self.rng = random.Random(seed)
        self.loss = loss
        self.now = 0.0
        self.members: dict[Address, MembershipState] = {}
        self.traffic: dict[Address, Traffic] = {}
        self.queue: collections.deque = collections.deque()
        self.side_of = None

    def add(self, number: int, boot: int = 0) -> MembershipState:
        """Start the member with this number; ``boot`` counts its restarts."""
        address = address_of(number)
        settings = MembershipSettings(
            instance=f'instance-{number:04d}',
            data_centre=f'centre-{number % DATA_CENTRES}',
            cluster='cyclamenlift',
            listen=address,
            seeds=tuple(address_of(n) for n in range(SEEDS)),
            period=PERIOD,
            peer_address=f'{address.host}:7100',
            service_name=f'service-{number % SERVICES:02d}',
            slots=20,
            target_name=f'target-{number:04d}',
        )
        state = MembershipState(
            settings,
            str(address),
            self.now,
            START_UNIX_MS + boot,
            random.Random(self.rng.getrandbits(64)),
        )
        self.members[address] = state
        self.traffic[address] = Traffic()
        self.send(address, state.join(self.now))
        return state

    def kill(self, number: int) -> None:
        del self.members[address_of(number)]

    def cut(self, side_of) -> None:
        """Drop packets between members for which ``side_of`` differs."""
        self.side_of = side_of

    def send(self, source: Address, outgoing: list) -> None:
        traffic = self.traffic[source]
        for item in outgoing:
            size = len(item.data) + IP_UDP_BYTES
            traffic.bytes_out += size
            traffic.packets += 1
            traffic.largest = max(traffic.largest, len(item.data))
            self.queue.append((source, item.address, item.data))

    def deliver(self) -> None:
        while self.queue:
            source, address, data = self.queue.popleft()
            state = self.members.get(address)
            if state is None or self.is_lost(source, address):
                continue
            traffic = self.traffic[address]
            traffic.bytes_in += len(data) + IP_UDP_BYTES
            traffic.packets += 1
            began = time.process_time()
            packet = decode_packet(GossipPacket, data)
            answers = state.on_packet(packet, self.now)
            traffic.seconds += time.process_time() - began
            state.changes.clear()
            self.send(address, answers)

    def is_lost(self, source: Address, address: Address) -> bool:
        if self.side_of and self.side_of(source) != self.side_of(address):
            return True
        return self.loss > 0 and self.rng.random() < self.loss

    def run_period(self) -> None:
        """Run one round of every member."""
        self.now += PERIOD
        addresses = list(self.members)
        self.rng.shuffle(addresses)
        for address in addresses:
            state = self.members[address]
            traffic = self.traffic[address]
            began = time.process_time()
            outgoing = state.on_period(self.now)
            traffic.seconds += time.process_time() - began
            state.changes.clear()
            self.send(address, outgoing)
            self.deliver()

    def run_until(self, done, bound: int) -> int | None:
        """Run until ``done()``; return the periods, None if over ``bound``."""
        for count in range(bound + 1):
            if done():
                return count
            self.run_period()
        return None

    def reset_traffic(self) -> None:
        for address in self.members:
            self.traffic[address] = Traffic()

    def all_agree(self) -> bool:
        """Return whether each member knows exactly the running members."""
        digests = {state.table.digest for state in self.members.values()}
        counts = {state.table.live_count() for state in self.members.values()}
        return len(digests) == 1 and counts == {len(self.members)}

    def all_know(self, instance: str, test) -> bool:
        """Return whether ``test`` holds for a record at each member."""
        return all(
            test(state.table.get(instance)) for state in self.members.values()
        )
