"""What callers of a soak saw, and when operators changed what."""

import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Outcome:
    """One call as its caller saw it; times are monotonic seconds.

    ``status`` 0 means a connection that ended without an answer. ``whole``
    tells whether a success was the whole answer to this very call.
    """

    account: str
    call_id: str
    booking: bool
    sent_at: float
    ended_at: float
    status: int
    code: int
    whole: bool = True


@dataclasses.dataclass(slots=True)
class Limit:
    """The limit of an account, in force from the acknowledgement on."""

    calls_per_second: float
    burst_calls: float
    slack_calls: float


@dataclasses.dataclass(slots=True)
class Record:
    """All that a run saw.

    ``taken_at`` is when the removal of a key was acknowledged, None if it was
    not; ``calm_at`` when the last fault was over. ``runs`` counts how often
    targets ran each booking.
    """

    outcomes: list[Outcome] = dataclasses.field(default_factory=list)
    limit: Limit | None = None
    taken_at: float | None = None
    calm_at: float = 0.0
    runs: dict[str, int] = dataclasses.field(default_factory=dict)
    faults: list[str] = dataclasses.field(default_factory=list)
