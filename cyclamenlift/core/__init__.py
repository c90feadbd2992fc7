"""Shared foundations: result codes, clocks, event loop, logs, metrics."""

from cyclamenlift.core.clock import Clock
from cyclamenlift.core.clock import deadline_after
from cyclamenlift.core.clock import SystemClock
from cyclamenlift.core.clock import time_left
from cyclamenlift.core.codes import describe
from cyclamenlift.core.codes import ResultCode
from cyclamenlift.core.problems import Problem
from cyclamenlift.core.registry import Registry
from cyclamenlift.core.tasks import build_root
from cyclamenlift.core.tasks import Scheduler
from cyclamenlift.core.tasks import Timer

__all__ = [
    'Clock',
    'Problem',
    'Registry',
    'ResultCode',
    'Scheduler',
    'SystemClock',
    'Timer',
    'build_root',
    'deadline_after',
    'describe',
    'time_left',
]
