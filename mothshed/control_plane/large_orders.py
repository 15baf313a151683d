"""Lets a keeper handle one large order of an operator at a time.

To parse, validate and pack a document of megabytes takes about a second of processor time and many times its size in
memory. An operator without a clear answer sends it again, to any keeper, so several copies would arrive at once.
Meanwhile the mailboxes go on at once after each send or sync (`long_work`).
"""

import collections.abc
import contextlib
import threading
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.runtime.long_work as long_work


class LargeOrdersBusyError(Exception):
    """Another large order is being handled; nothing was done."""


def is_large(body: bytes) -> bool:
    """Whether a request body is handled as a large order."""
    return len(body) > configuration_constants.MAX_WHOLE_DOCUMENT_BYTES


class LargeOrders:
    """The turn to handle a large order, which one thread has at a time."""

    def __init__(self, environment: typing.Any) -> None:
        self.environment = environment
        self.lock = threading.Lock()

    @contextlib.contextmanager
    def turn(self, needed: bool = True) -> collections.abc.Iterator[None]:
        """Have the turn during the block, if it is needed; raises LargeOrdersBusyError if it is not free in time."""
        if not needed:
            yield
            return
        deadline = self.environment.now() + configuration_constants.LARGE_ORDER_WAIT_S
        while not self.lock.acquire(blocking=False):
            if self.environment.now() > deadline:
                raise LargeOrdersBusyError()
            self.environment.sleep(configuration_constants.LARGE_ORDER_POLL_S)
        try:
            with long_work.long_work():
                yield
        finally:
            self.lock.release()
