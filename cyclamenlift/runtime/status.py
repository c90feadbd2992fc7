"""Status report of a daemon, served on its admin address."""

import dataclasses
import typing

from cyclamenlift.wire.gen.protocol.ttypes import MemberState
from cyclamenlift.wire.gen.protocol.ttypes import TargetState

if typing.TYPE_CHECKING:
    from cyclamenlift.runtime.daemon import DaemonNode


@dataclasses.dataclass(frozen=True, slots=True)
class DaemonStatus:
    """State of a daemon; sizes are in bytes.

    ``confirmed`` tells whether a majority read has confirmed ``version`` as
    the newest version of the document.
    """

    kind: str
    instance: str
    data_centre: str
    service: str
    state: str
    version: int
    confirmed: bool
    config_version: int
    members: int
    suspects: int
    open_calls: int
    in_flight: int
    queued: int
    slots: int
    links: int
    kept_body_bytes: int
    probes_answered: int
    probes_dropped: int
    health_requests: int
    evacuated: tuple[str, ...]


def daemon_status(node: 'DaemonNode') -> DaemonStatus:
    """Return the current state of ``node``."""
    records = node.membership.members()
    suspects = [r for r in records if r.state == MemberState.SUSPECT]
    gate = node.gate
    return DaemonStatus(
        kind='daemon',
        instance=node.settings.instance,
        data_centre=node.settings.data_centre,
        service=node.settings.service,
        state=state_name(node),
        version=node.follower.version,
        confirmed=node.follower.confirmed,
        config_version=node.follower.version,
        members=len(records),
        suspects=len(suspects),
        open_calls=len(node.calls.open_calls),
        in_flight=len(gate.state.running) if gate else 0,
        queued=len(gate.state.queue) if gate else 0,
        slots=gate.state.slots if gate else 0,
        links=len(node.network.streams),
        kept_body_bytes=node.calls.body_budget.used,
        probes_answered=gate.budget.answered if gate else 0,
        probes_dropped=gate.budget.dropped if gate else 0,
        health_requests=node.health.requests_sent if gate else 0,
        evacuated=tuple(sorted(node.routing.evacuated)),
    )


def state_name(node: 'DaemonNode') -> str:
    """Return ``stopping``, ``entry`` or the lower-case target state."""
    if node.stopping:
        return 'stopping'
    if node.gate is None:
        return 'entry'
    return TargetState(node.gate.state.target_state).name.lower()
