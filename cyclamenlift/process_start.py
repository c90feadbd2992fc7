"""When this process started; to be imported before anything else."""

import time

# Monotonic seconds, a few hundredths after the true start.
STARTED_AT = time.monotonic()
