"""What a member is told about itself and the others."""

import dataclasses

from cyclamenlift.core.streams import Address
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Identity, addresses and what this instance announces at first.

    ``advertise`` is the gossip address that others are told, where it is
    not the one that is listened on.
    """

    instance: str
    data_centre: str
    cluster: str
    listen: Address
    advertise: str = ''
    seeds: tuple[Address, ...] = ()
    period: float = 1.0
    peer_address: str = ''
    service_name: str = ''
    slots: int = 0
    target_name: str = ''
    target_state: TargetState = TargetState.READY
    config_version: int = 0
    role: MemberRole = MemberRole.DAEMON
