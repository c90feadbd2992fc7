"""The only way into a target: slots, a bounded queue, refusal with proof."""

from cyclamenlift.gate.state import Admission
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Verdict
from cyclamenlift.gate.tasks import Gate

__all__ = ['Admission', 'Gate', 'GateState', 'Verdict']
