"""An asyncio loop whose timers are finer than a millisecond.

The default loop rounds every timeout up to a whole millisecond, which is as
much as the path under test may add. ``select`` takes microseconds; its
limit of 1,024 sockets is enough for a stand-in.
"""

import asyncio
from collections.abc import Coroutine
import selectors


def precise_loop() -> asyncio.AbstractEventLoop:
    """Return a new loop over ``select``."""
    return asyncio.SelectorEventLoop(selectors.SelectSelector())


def run_precisely(main: Coroutine):
    """Run a coroutine to its end on a precise loop; return its result."""
    with asyncio.Runner(loop_factory=precise_loop) as runner:
        return runner.run(main)
