"""Admission of calls to a target: slots, a bounded queue, refusals."""

from cyclamenlift.gate.state import Admission
from cyclamenlift.gate.state import GateState
from cyclamenlift.gate.state import Verdict
from cyclamenlift.gate.tasks import Gate

__all__ = ['Admission', 'Gate', 'GateState', 'Verdict']
