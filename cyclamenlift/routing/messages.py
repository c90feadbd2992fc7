"""What goes into and out of the routing decisions."""

import dataclasses
import enum

from cyclamenlift.core.streams import Address


class Outcome(enum.Enum):
    """How a call to one target ended, as its entry saw it.

    OVERTAKEN: another target answered first, although it was asked later.
    CANCELLED: the caller left, which tells nothing of the target.
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
class Need:
    """What is known of the call that wants a target.

    ``work`` is its usual work in seconds, ``kilobytes`` what goes there
    and back; ``body_seconds`` is how long its body takes on the way to
    another instance, 0 without a body or where no rate is known.
    """

    route: str = ''
    work: float = 0.1
    kilobytes: float = 1.0
    body_seconds: float = 0.0


NO_NEED = Need()


@dataclasses.dataclass(frozen=True, slots=True)
class Choice:
    """The instance whose gate takes the call.

    ``hot`` says that its slots look taken: a hedge must not go there.
    ``seconds`` is when an answer is expected, 0 if that is not worked out;
    ``pace_percent`` is the pace that this rests on, 0 if unknown.
    """

    instance: str
    address: Address
    hot: bool
    seconds: float = 0.0
    pace_percent: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class ProbeOrder:
    """One load probe that may be sent now; its cost is already booked."""

    service: str
    instance: str
    address: Address
