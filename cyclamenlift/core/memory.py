"""How Python's cyclic garbage collector is set for a long-lived process."""

import gc

# New container objects between two young collections. The objects of a call
# refer to each other in a ring, so the collector has to find them; it costs
# less when it looks at many calls at a time.
YOUNG_OBJECTS = 10_000


def keep_start_up_objects() -> None:
    """Let the collector pass over all that start-up has made.

    Modules, classes and settings live as long as the process. A full
    collection that walks them all stops every call that is under way for
    milliseconds.
    """
    gc.collect()
    gc.freeze()
    gc.set_threshold(YOUNG_OBJECTS)
