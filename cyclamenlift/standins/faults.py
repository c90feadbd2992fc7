"""Faults of a stand-in target, switched while it runs."""

import enum
import random
from typing import Annotated

import pydantic

from cyclamenlift.core.clock import MILLISECONDS

Positive = Annotated[float, pydantic.Field(gt=0)]
NotNegative = Annotated[float, pydantic.Field(ge=0)]


class LoadReport(enum.StrEnum):
    """What ``GET /load`` says."""

    HONEST = 'honest'
    LAGGING = 'lagging'
    IDLE = 'idle'


class Cut(enum.StrEnum):
    """Where the connection is broken."""

    NONE = 'none'
    BEFORE_HEAD = 'before_head'
    AFTER_HEAD = 'after_head'
    AFTER_BYTES = 'after_bytes'


class Faults(pydantic.BaseModel):
    """All faults in force; what a request leaves out is off.

    ``calls`` limits cut, stray bytes and fail-fast to the next so many
    calls (-1: all of them). ``path`` limits every fault to paths that
    start with it.
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
    """Faults in force and the phase of those that vary with time."""

    def __init__(self, rng: random.Random):
        self.rng = rng
        self.faults = Faults()
        self.calls_left = -1
        self.since = 0.0
        self.noisy = False
        self.noise_ends = 0.0

    def apply(self, faults: Faults, now: float) -> None:
        """Put ``faults`` in the place of all earlier ones."""
        self.faults = faults
        self.calls_left = faults.calls
        self.since = now
        self.noisy = False
        self.noise_ends = now

    def slowdown(self, path: str, now: float) -> float:
        """Return the factor on the service time of a call that starts."""
        faults = self.faults
        if not path.startswith(faults.path):
            return 1.0
        factor = faults.straggler_factor
        factor *= self.noise_now(now)
        return factor * self.cold_now(now)

    def noise_now(self, now: float) -> float:
        faults = self.faults
        if faults.noise_on_ms <= 0:
            return 1.0
        while self.noise_ends <= now:
            self.noisy = not self.noisy
            mean = faults.noise_on_ms if self.noisy else faults.noise_off_ms
            period = self.rng.expovariate(1.0) * mean / MILLISECONDS
            self.noise_ends += max(period, 1e-4)
        return faults.noise_factor if self.noisy else 1.0

    def cold_now(self, now: float) -> float:
        """Return the factor of a cold start, which fades linearly to 1."""
        length = self.faults.cold_ms / MILLISECONDS
        age = now - self.since
        if length <= 0 or age >= length:
            return 1.0
        return 1.0 + (self.faults.cold_factor - 1.0) * (1.0 - age / length)

    def take_call(self, path: str) -> Faults | None:
        """Count one call; return the faults of its answer, if any."""
        faults = self.faults
        breaks = faults.fail_fast or faults.stray_bytes
        if not breaks and faults.cut is Cut.NONE:
            return None
        if not path.startswith(faults.path) or self.calls_left == 0:
            return None
        if self.calls_left > 0:
            self.calls_left -= 1
        return faults
