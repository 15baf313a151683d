"""SIGHUP from the start of a daemon on.

By default SIGHUP ends a process. One that comes before the daemon can act on it, as while it imports its modules or
waits for its disk, is kept until then. This module imports nothing else, so that a program can install it first.
"""

import signal
import typing


class ReloadSignal:
    """Calls a function at each SIGHUP, and keeps the signal until there is one."""

    def __init__(self) -> None:
        self.reload: typing.Callable[[], None] | None = None
        self.is_pending = False

    def install(self) -> None:
        """Handle SIGHUP from now on; only in the main thread."""
        signal.signal(signal.SIGHUP, self.on_signal)

    def on_signal(self, _number: int, _frame: object) -> None:
        """Act on the signal, or keep it."""
        if self.reload is None:
            self.is_pending = True
        else:
            self.reload()

    def serve(self, reload: typing.Callable[[], None]) -> None:
        """Call reload() at each signal, and now if one came before."""
        self.install()
        self.reload = reload
        if self.is_pending:
            self.is_pending = False
            reload()


RELOAD_SIGNAL = ReloadSignal()
