"""The clock of a process."""

import time


def now() -> float:
    """Seconds since boot, including time suspended; unaffected by changes of the wall clock."""
    return time.clock_gettime(time.CLOCK_BOOTTIME)
