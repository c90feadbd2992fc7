"""Tuning of the cyclic garbage collector for long-running processes."""

import gc

# Allocations between two collections of the youngest generation. The objects
# of a call form reference cycles, so the collector has to free them; that
# costs less for many calls at a time.
YOUNG_THRESHOLD = 10_000


def freeze_startup_objects() -> None:
    """Exclude all objects created at start-up from garbage collection.

    Modules, classes and settings live as long as the process. A full
    collection that traverses them pauses all calls in progress for
    milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_THRESHOLD)
