"""Faults that can be injected into a running stand-in target."""

import enum
import random
from typing import Annotated

import pydantic

from cyclamenlift.core.clock import MILLISECONDS

Positive = Annotated[float, pydantic.Field(gt=0)]
NotNegative = Annotated[float, pydantic.Field(ge=0)]


class LoadReport(enum.StrEnum):
    """Accuracy of the load report at ``GET /load``."""

    HONEST = 'honest'
    LAGGING = 'lagging'
    IDLE = 'idle'


class Cut(enum.StrEnum):
    """Point in a response at which the connection is closed."""

    NONE = 'none'
    BEFORE_HEAD = 'before_head'
    AFTER_HEAD = 'after_head'
    AFTER_BYTES = 'after_bytes'


class Faults(pydantic.BaseModel):
    """All active faults; those missing in a request are off.

    ``calls`` limits ``cut``, ``stray_bytes`` and ``fail_fast`` to that many
    further calls (-1: no limit). ``path`` limits the faults to paths with
    this prefix.
    """

    model_config = pydantic.ConfigDict(extra='forbid')

    straggler_factor: Positive = 1.0
    noise_on_ms: NotNegative = 0.0
    noise_off_ms: NotNegative = 0.0
    noise_factor: Positive = 1.0
    fail_fast: Annotated[int, pydantic.Field(ge=0, le=599)] = 0
    load_report: LoadReport = LoadReport.HONEST
    load_lag_ms: NotNegative = 1000.0
    cold_ms: NotNegative = 0.0
    cold_factor: Positive = 1.0
    cut: Cut = Cut.NONE
    cut_bytes: Annotated[int, pydantic.Field(ge=0)] = 0
    stray_bytes: Annotated[int, pydantic.Field(ge=0, le=65536)] = 0
    freeze: bool = False
    unhealthy: bool = False
    calls: Annotated[int, pydantic.Field(ge=-1)] = -1
    path: str = '/'


class FaultState:
    """Active faults and the state of those that vary with time."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.faults = Faults()
        self.calls_left = -1
        self.applied_at = 0.0
        self.in_noise = False
        self.noise_ends = 0.0

    def apply(self, faults: Faults, now: float) -> None:
        """Replace all active faults with ``faults``."""
        self.faults = faults
        self.calls_left = faults.calls
        self.applied_at = now
        self.in_noise = False
        self.noise_ends = now

    def slowdown(self, path: str, now: float) -> float:
        """Return the service time factor of a call that starts now."""
        faults = self.faults
        if not path.startswith(faults.path):
            return 1.0
        factor = faults.straggler_factor
        factor *= self.noise_factor_at(now)
        return factor * self.cold_factor_at(now)

    def noise_factor_at(self, now: float) -> float:
        faults = self.faults
        if faults.noise_on_ms <= 0:
            return 1.0
        while self.noise_ends <= now:
            self.in_noise = not self.in_noise
            mean = faults.noise_on_ms if self.in_noise else faults.noise_off_ms
            period = self.rng.expovariate(1.0) * mean / MILLISECONDS
            self.noise_ends += max(period, 1e-4)
        return faults.noise_factor if self.in_noise else 1.0

    def cold_factor_at(self, now: float) -> float:
        """Return the cold start factor, which falls linearly to 1."""
        duration = self.faults.cold_ms / MILLISECONDS
        elapsed = now - self.applied_at
        if duration <= 0 or elapsed >= duration:
            return 1.0
        return 1.0 + (self.faults.cold_factor - 1.0) * (
            1.0 - elapsed / duration
        )

    def count_call(self, path: str) -> Faults | None:
        """Count one call; return the faults of its response, if any."""
        faults = self.faults
        affects_response = faults.fail_fast or faults.stray_bytes
        if not affects_response and faults.cut is Cut.NONE:
            return None
        if not path.startswith(faults.path) or self.calls_left == 0:
            return None
        if self.calls_left > 0:
            self.calls_left -= 1
        return faults
