"""A mailbox: callbacks posted to it run one after another."""

import collections.abc
import typing

import pykka

import mothshed.runtime.log_buffer as log_buffer


class Mailbox(pykka.ThreadingActor):
    """Runs the callbacks posted to it, one after another."""

    use_daemon_thread = True

    def on_receive(self, call: collections.abc.Callable[[], typing.Any]) -> None:
        """Run one callback; one that fails is noted, and the next one runs."""
        try:
            call()
        except Exception as error:  # the part lives on; the log buffer says what happened
            log_buffer.failure("callback_failed", error)
