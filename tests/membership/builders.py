"""Records, packets and members for tests."""

import random
import time

from cyclamenlift.core.streams import Address
from cyclamenlift.core.tasks import build_root
from cyclamenlift.membership.settings import MembershipSettings
from cyclamenlift.membership.state import MembershipState
from cyclamenlift.membership.tasks import Membership
from cyclamenlift.wire.gen.protocol.ttypes import GossipKind
from cyclamenlift.wire.gen.protocol.ttypes import GossipPacket
from cyclamenlift.wire.gen.protocol.ttypes import MemberRecord
from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

START_UNIX_MS = 1_000
WAIT_SECONDS = 30.0
PERIOD = 0.05


def record(name: str = 'b', **fields) -> MemberRecord:
    """Return a valid record; ``fields`` override its values."""
    values = {
        'instance': name,
        'incarnation': START_UNIX_MS,
        'state': MemberState.ALIVE,
        'data_centre': 'bole',
        'gossip_address': f'10.0.0.{ord(name[0])}:7101',
        'peer_address': f'10.0.0.{ord(name[0])}:7100',
        'service_name': 'prices',
        'slots': 6,
        'target_state': TargetState.READY,
        'config_version': 0,
        'target_name': name,
    }
    return MemberRecord(**{**values, **fields})


def packet(name: str = 'b', records=(), **fields) -> GossipPacket:
    """Return a ping of the member ``name``; ``fields`` override values."""
    values = {
        'kind': GossipKind.PING,
        'sequence': 1,
        'cluster': 'c',
        'sender': name,
        'sender_incarnation': START_UNIX_MS,
        'subject': '',
        'subject_address': '',
        'records': None if records is None else list(records),
        'config_version': 0,
        'members_digest': 0,
        'sender_address': f'10.0.0.{ord(name[0])}:7101',
    }
    return GossipPacket(**{**values, **fields})


def state(name: str = 'a', others: str = '', seeds=()) -> MembershipState:
    """Return a member that knows ``others``, one letter each."""
    settings = MembershipSettings(
        instance=name,
        data_centre='bole',
        cluster='c',
        listen=Address('10.0.0.97', 7101),
        seeds=seeds,
        peer_address='10.0.0.97:7100',
    )
    result = MembershipState(
        settings, '10.0.0.97:7101', 0.0, START_UNIX_MS, random.Random(1)
    )
    for other in others:
        result.store(record(other), 0.0, spread=False)
    result.joined = True
    result.changes.clear()
    return result


class SocketCluster:
    """Members with real sockets in one event loop."""

    def __init__(self) -> None:
        self.root = build_root()
        self.root._running = True
        self.members: dict[str, Membership] = {}
        self.seed: Address | None = None

    def start(self, name: str, **fields) -> Membership:
        settings = MembershipSettings(
            instance=name,
            data_centre='bole',
            cluster='c',
            listen=Address('127.0.0.1', 0),
            seeds=(self.seed,) if self.seed else (),
            period=PERIOD,
            peer_address='127.0.0.1:7100',
            service_name='prices',
            **fields,
        )
        member = Membership(self.root, settings, random.Random(len(name)))
        address = member.start()
        self.seed = self.seed or address
        self.members[name] = member
        return member

    def kill(self, name: str) -> None:
        self.members.pop(name).stop()

    def wait(self, condition) -> bool:
        """Run the loop until the condition holds; False on timeout."""
        deadline = time.monotonic() + WAIT_SECONDS
        while not condition():
            if time.monotonic() > deadline:
                return False
            self.root.tick(0.01)
        return True

    def all_see(self, names: str) -> bool:
        """Return whether all members see exactly these, one letter each."""
        return all(
            {r.instance for r in m.members()} == set(names)
            for m in self.members.values()
        )

    def records_of(self, name: str) -> list[MemberRecord]:
        """Return the instance's record at each member that has one."""
        return [
            r
            for member in self.members.values()
            for r in member.records()
            if r.instance == name
        ]

    def close(self) -> None:
        for name in list(self.members):
            self.kill(name)
