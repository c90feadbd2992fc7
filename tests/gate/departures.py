"""Builders: gates whose targets leave, and may start again."""

from cyclamenlift.gate.registration import Announcement
from tests.gate.simulation import GateInTime
from tests.gate.simulation import INSTANCE

LEAVING = 'x-leaving'
SAID_AT = 2.0
# Calls that were already under way when the first response said so.
ANSWER_SECONDS = 0.1
FIRST_BORN_MS = 1_000
AGAIN_BORN_MS = 3_000
RESTARTED_AT = 3.0


def leaving_bench() -> GateInTime:
    """Return a gate whose target has said in an answer that it leaves."""
    bench = GateInTime()
    bench.load(60.0, 8.0)
    bench.time.run_until(SAID_AT)
    bench.target.say(LEAVING, '1', on_page=False)
    bench.time.run_until(SAID_AT + ANSWER_SECONDS)
    return bench


def ready(
    sequence: int, incarnation: str = 'i-1', born_ms: int = 0
) -> Announcement:
    return Announcement(
        incarnation, 'prices', 6, sequence=sequence, born_ms=born_ms
    )


def drained_bench(born_ms: int = FIRST_BORN_MS) -> GateInTime:
    """Return a gate whose target drains while calls to it are running."""
    bench = GateInTime()
    bench.load(60.0, 8.0)
    bench.time.run_until(1.0)
    bench.gate.announce(ready(1, born_ms=born_ms))
    bench.time.run_until(SAID_AT)
    bench.gate.target_leaves('i-1', born_ms)
    bench.time.run_until(RESTARTED_AT)
    assert bench.statements.find(INSTANCE).leaving
    return bench


def is_used_again(bench: GateInTime) -> bool:
    bench.time.run_until(8.0)
    return bench.target.arrivals(RESTARTED_AT, 8.0) > 200


def announce_until(bench: GateInTime, end: float, born_ms: int) -> None:
    """Let the target announce every 1.5 s that it is ready."""
    sequence = 10
    while bench.time.now() < end:
        bench.gate.announce(ready(sequence, born_ms=born_ms))
        bench.time.run_until(bench.time.now() + 1.5)
        sequence += 1
