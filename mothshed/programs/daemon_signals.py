"""The signals of a daemon, from its start to its end.

SIGTERM and SIGINT ask for a stop, SIGHUP for the settings to be read again. A handler only notes the signal; the main
thread acts on it once it waits for signals. So a signal that comes while the daemon starts is kept, and none
interrupts a stop. This module imports little, so that a program can install it first.
"""

import os
import queue
import signal
import typing

import mothshed.runtime.clock as clock

ABORT_EXIT_CODE = signal.SIGINT + 128  # as shells report a program that SIGINT ended


class DaemonSignals:
    """Keeps the signals of this process until the main thread waits for them."""

    def __init__(self) -> None:
        self.pending: queue.SimpleQueue[int] = queue.SimpleQueue()  # may be filled by handlers, unlike other queues
        self.stop_requests: list[int] = []
        self.stop_requested_at = 0.0

    def install_reload(self) -> None:
        """Keep SIGHUP from now on; SIGINT and SIGTERM end the process at once. Only in the main thread."""
        signal.signal(signal.SIGHUP, self.on_reload)
        signal.signal(signal.SIGINT, signal.SIG_DFL)

    def install_stop(self) -> None:
        """Keep SIGTERM and SIGINT too: from now on the daemon has work that a stop must hand over or complete."""
        signal.signal(signal.SIGHUP, self.on_reload)
        signal.signal(signal.SIGTERM, self.on_stop)
        signal.signal(signal.SIGINT, self.on_stop)

    def on_reload(self, number: int, _frame: object) -> None:
        """Note that the settings are to be read again."""
        self.pending.put(number)

    def on_stop(self, number: int, _frame: object) -> None:
        """Note the first request for a stop. A second SIGINT ends the process at once, unless SIGTERM has come."""
        self.stop_requests.append(number)
        if len(self.stop_requests) == 1:
            self.stop_requested_at = clock.now()
            self.pending.put(number)
        elif signal.SIGTERM not in self.stop_requests:
            os._exit(ABORT_EXIT_CODE)

    def wait_for_stop(self, reload: typing.Callable[[], object]) -> float:
        """Wait until a stop is requested and return when it was, in seconds of the boot clock; call reload() meanwhile.

        reload() is called at each SIGHUP, and for those that came before.
        """
        while self.pending.get() == signal.SIGHUP:
            reload()
        return self.stop_requested_at


DAEMON_SIGNALS = DaemonSignals()
