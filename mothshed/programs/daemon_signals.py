"""The signals of a daemon, from its start to its end.

SIGTERM and SIGINT ask for a stop, SIGHUP for the settings to be read again. Each signal is written to a pipe by the
interpreter, whichever thread receives it, and a thread of its own reads the pipe: a handler in Python would run only
once the main thread wakes up, which a signal that another thread receives doesn't bring about. A signal that comes
while the daemon starts stays in the pipe, and none interrupts a stop. Settings are read in a thread of its own, so that
a stop does not wait for them. This module imports little, so that a program can install it first.
"""

import os
import queue
import signal
import threading
import typing

import mothshed.runtime.clock as clock

ABORT_EXIT_CODE = signal.SIGINT + 128  # as shells report a program that SIGINT ended

BeginStop = typing.Callable[[float], None]  # takes the time of the signal, in seconds of the boot clock


def do_not_begin(_requested_at: float) -> None:
    """Begin no stop, as long as there is nothing to stop."""


class DaemonSignals:
    """Collects the signals of this process, in the order in which they come, for the main thread."""

    def __init__(self) -> None:
        self.pipe: tuple[int, int] | None = None  # descriptors to read and to write
        self.reload_requests: queue.SimpleQueue[int] = queue.SimpleQueue()
        self.stop_requests: list[int] = []
        self.stop_requested_at = 0.0
        self.stop_requested = threading.Event()
        self.begin_stop: BeginStop = do_not_begin

    def install_reload(self) -> None:
        """Keep SIGHUP from now on; SIGINT and SIGTERM end the process at once. Only in the main thread."""
        if self.pipe is None:
            self.pipe = os.pipe()
            os.set_blocking(self.pipe[1], False)
            signal.set_wakeup_fd(self.pipe[1], warn_on_full_buffer=False)
        signal.signal(signal.SIGHUP, do_nothing)
        signal.signal(signal.SIGINT, signal.SIG_DFL)

    def install_stop(self, begin_stop: BeginStop) -> None:
        """Keep SIGTERM and SIGINT too: from now on the daemon has work that a stop must hand over or complete.

        begin_stop: called with the time of the first of them, in the thread that reads the signals; must not block.
        """
        self.begin_stop = begin_stop
        self.install_reload()
        signal.signal(signal.SIGTERM, do_nothing)
        signal.signal(signal.SIGINT, do_nothing)
        threading.Thread(target=self.read_signals, name="signals", daemon=True).start()

    def read_signals(self) -> None:
        """Take the signals from the pipe, until the process ends."""
        assert self.pipe is not None
        while numbers := os.read(self.pipe[0], signal.NSIG):
            for number in numbers:
                self.take(number)

    def take(self, number: int) -> None:
        """Pass on a signal. A second SIGINT ends the process at once, unless SIGTERM has come."""
        if number == signal.SIGHUP:
            self.reload_requests.put(number)
        elif number in (signal.SIGTERM, signal.SIGINT):
            self.stop_requests.append(number)
            if len(self.stop_requests) == 1:
                self.request_stop()
            elif signal.SIGTERM not in self.stop_requests:
                os._exit(ABORT_EXIT_CODE)

    def request_stop(self) -> None:
        """Begin the stop, and wake up the main thread for it."""
        self.stop_requested_at = clock.now()
        try:
            self.begin_stop(self.stop_requested_at)
        finally:
            self.stop_requested.set()

    def wait_for_stop(self, reload: typing.Callable[[], object]) -> float:
        """Wait until a stop is requested and return when it was, in seconds of the boot clock; call reload() meanwhile.

        reload() is called at each SIGHUP, and for those that came before.
        """
        threading.Thread(target=self.reload_at_each_request, args=(reload,), name="reload", daemon=True).start()
        self.stop_requested.wait()
        return self.stop_requested_at

    def reload_at_each_request(self, reload: typing.Callable[[], object]) -> None:
        """Call reload() at each SIGHUP, until the process ends."""
        while self.reload_requests.get():
            reload()


def do_nothing(_number: int, _frame: object) -> None:
    """Handle a signal that is read from the pipe."""


DAEMON_SIGNALS = DaemonSignals()
