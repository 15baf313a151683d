"""The clock of a process."""

import time


def now() -> float:
    """Seconds since boot; the machine's sleep counts, a step of the time of day does not."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
