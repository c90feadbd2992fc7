"""The settings of a member."""

import dataclasses

from cyclamenlift.core.streams import Address
from cyclamenlift.wire.gen.protocol.ttypes import MemberRole
from cyclamenlift.wire.gen.protocol.ttypes import TargetState


@dataclasses.dataclass(frozen=True, slots=True)
class MembershipSettings:
    """Identity, addresses and the initial announcement of an instance.

    ``advertise`` is the gossip address announced to others, if it differs from
    the listening address.
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
