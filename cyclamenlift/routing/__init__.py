"""Target selection: policies, load estimates, probes and ejection."""

from cyclamenlift.routing.messages import Choice
from cyclamenlift.routing.messages import Outcome
from cyclamenlift.routing.messages import ProbeOrder
from cyclamenlift.routing.policies import POLICIES
from cyclamenlift.routing.probes import probe_rate_per_member
from cyclamenlift.routing.probes import ProbeWindow
from cyclamenlift.routing.state import RoutingState

__all__ = [
    'POLICIES',
    'Choice',
    'Outcome',
    'ProbeOrder',
    'ProbeWindow',
    'RoutingState',
    'probe_rate_per_member',
]
