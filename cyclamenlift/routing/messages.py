"""Inputs and results of routing decisions."""

import dataclasses
import enum

from cyclamenlift.core.streams import Address


class Outcome(enum.Enum):
    """How a try of a call ended, as seen by the entry.

    OVERTAKEN: another target that was asked later answered first. CANCELLED:
    the caller disconnected, which says nothing about the target.
    """

    ANSWERED = 'answered'
    TARGET_ERROR = 'target_error'
    REFUSED_OVERLOAD = 'refused_overload'
    REFUSED_DRAINING = 'refused_draining'
    LOST = 'lost'
    TIMEOUT = 'timeout'
    OVERTAKEN = 'overtaken'
    CANCELLED = 'cancelled'


@dataclasses.dataclass(frozen=True, slots=True)
class CallProfile:
    """Properties of a call that matter for the choice of a target.

    ``work`` is its usual service time in seconds and ``kilobytes`` the size of
    request and response. ``body_seconds`` is the time to send its body to
    another instance, 0 without a body or if the link rate is unknown.
    ``objective`` is the route's latency objective in seconds, 0 if none.
    """

    route: str = ''
    work: float = 0.1
    kilobytes: float = 1.0
    body_seconds: float = 0.0
    objective: float = 0.0


DEFAULT_PROFILE = CallProfile()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The instance whose gate takes the call.

    ``hot`` marks a target whose slots seem taken, which must not get a hedge.
    ``seconds`` is the expected time to an answer, 0 if not computed.
    ``pace_percent`` is the pace that this assumes, 0 if unknown.
    """

    instance: str
    address: Address
    hot: bool
    seconds: float = 0.0
    pace_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeOrder:
    """A load probe to send now, already charged to the probe budget."""

    service: str
    instance: str
    address: Address
