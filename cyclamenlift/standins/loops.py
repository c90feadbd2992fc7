"""An asyncio event loop with timers of sub-millisecond resolution.

The default loop rounds every timeout up to a whole millisecond, which is as
much latency as the path under test may add. ``select`` takes microseconds;
its limit of 1,024 sockets is sufficient for a stand-in.
"""

import asyncio
from collections.abc import Coroutine
import selectors


def precise_loop() -> asyncio.AbstractEventLoop:
    """Create an event loop that uses ``select``."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def run_precisely(main: Coroutine):
    """Run a coroutine on a precise loop and return its result."""
    with asyncio.Runner(loop_factory=precise_loop) as runner:
        return runner.run(main)
