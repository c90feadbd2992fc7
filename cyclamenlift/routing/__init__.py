"""Target selection: policies, load estimates, probes and ejection."""

from cyclamenlift.routing.messages import Choice
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.messages import ProbeOrder
from cyclamenlift.routing.policies import POLICIES
from cyclamenlift.routing.probes import ProbeWindow
from cyclamenlift.routing.probes import share_of
from cyclamenlift.routing.state import RoutingState

__all__ = [
    'POLICIES',
    'Choice',
    'Outcome',
    'ProbeOrder',
    'ProbeWindow',
    'RoutingState',
    'share_of',
]
