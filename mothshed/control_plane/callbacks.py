"""Runs the callbacks of a member so that one that fails ends nothing else."""

import collections.abc

import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module


def run_callback(callback: collections.abc.Callable[..., object], *args: object) -> None:
    """Run a callback and log an exception; raises DiskError, since after one the member has to stop."""
    try:
        callback(*args)
    except disk_module.DiskError:
        raise
    except Exception as error:
        log_buffer.failure("callback_failed", error)
