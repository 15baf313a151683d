"""A mailbox: an actor thread that runs posted callbacks in order."""

import collections.abc
import typing

import pykka

import mothshed.runtime.log_buffer as log_buffer


class Mailbox(pykka.ThreadingActor):
    """Runs the callbacks posted to it one at a time, in order."""

    use_daemon_thread = True

    def on_receive(self, call: collections.abc.Callable[[], typing.Any]) -> None:
        """Run one callback; a failure is logged and does not stop the mailbox."""
        try:
            call()
        except Exception as error:  # the mailbox goes on with the next callback
            log_buffer.failure("callback_failed", error)
