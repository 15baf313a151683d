"""Lets the other threads of a process go on at once while one of them handles megabytes of Python objects.

Usually a thread that has waited for a socket or a disk gets the interpreter back only after a turn of 5 ms of the
thread that computes, and the cyclic garbage collector looks at all objects in one go each time their number has grown
by a quarter. Parsed JSON holds no cycles: meanwhile the collector looks at young objects only.
"""

import collections.abc
import contextlib
import gc
import sys
import threading

import mothshed.runtime.constants as runtime_constants

LOCK = threading.Lock()
STATE = {"active": 0}  # how many threads are within `long_work`
USUAL_SWITCH_INTERVAL_S = sys.getswitchinterval()
USUAL_THRESHOLDS = gc.get_threshold()


@contextlib.contextmanager
def long_work() -> collections.abc.Iterator[None]:
    """Have threads take turns more often, and old objects not looked at, during the block.

    Any number of threads may be within such a block.
    """
    change(1)
    try:
        yield
    finally:
        change(-1)


def change(difference: int) -> None:
    """Count a thread that begins or ends such work, and set the interpreter accordingly."""
    with LOCK:
        STATE["active"] += difference
        if STATE["active"]:
            gc.set_threshold(*USUAL_THRESHOLDS[:2], runtime_constants.LONG_WORK_COLLECTION_ROUNDS)
            sys.setswitchinterval(runtime_constants.LONG_WORK_SWITCH_INTERVAL_S)
        else:
            sys.setswitchinterval(USUAL_SWITCH_INTERVAL_S)
            gc.set_threshold(*USUAL_THRESHOLDS)
