"""A mailbox: an actor thread that runs posted callbacks in order."""

import collections.abc
import functools
import time
import typing

import pykka

import mothshed.runtime.constants as runtime_constants
import mothshed.runtime.log_buffer as log_buffer

REPORT_LIMITER = log_buffer.RateLimiter(
    runtime_constants.MAX_MAILBOX_REPORT_BURST_LINES, runtime_constants.MAILBOX_REPORT_LINES_PER_S
)


class Mailbox(pykka.ThreadingActor):
    """Runs the callbacks posted to it one at a time, in order."""

    use_daemon_thread = True

    def on_receive(self, call: collections.abc.Callable[[], typing.Any]) -> None:
        """Run one callback; a failure is logged and does not stop the mailbox, and so is one that takes long."""
        began_at = time.monotonic()
        try:
            call()
        except Exception as error:  # the mailbox goes on with the next callback
            log_buffer.failure("callback_failed", error)
        held_s = time.monotonic() - began_at
        if held_s > runtime_constants.MAILBOX_HELD_REPORT_S:
            fields = {"held_s": round(held_s, 3), "callback": callback_name(call)}
            log_buffer.report_limited(REPORT_LIMITER, "mailbox_held", **fields)


def callback_name(call: collections.abc.Callable[..., typing.Any]) -> str:
    """The name of a callback, or of the function that it calls with given arguments."""
    function = call.func if isinstance(call, functools.partial) else call
    return getattr(function, "__qualname__", type(function).__name__)
