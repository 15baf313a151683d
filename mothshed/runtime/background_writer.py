"""Writes text in a thread of its own, so that nobody waits for an output that is not read or a disk that hangs."""

import collections
import collections.abc
import threading

import mothshed.runtime.constants as runtime_constants


class BackgroundWriter:
    """Passes texts on to a function, one after the other, in the background.

    While the function is held up, texts are kept up to a limit and dropped beyond it; how many is told once it goes on.
    """

    def __init__(
        self,
        write: collections.abc.Callable[[str], None],
        report_dropped: collections.abc.Callable[[int], object],
        max_pending: int = runtime_constants.MAX_PENDING_LOG_BYTES,
    ) -> None:
        """write: may block, or raise OSError or ValueError. report_dropped: takes the number of dropped texts."""
        self.write_now, self.report_dropped, self.max_pending = write, report_dropped, max_pending
        self.pending: collections.deque[str] = collections.deque()
        self.pending_characters = self.dropped = 0
        self.is_started = self.is_writing = False
        self.changed = threading.Condition()

    def start(self) -> None:
        """Start the thread."""
        threading.Thread(target=self.run, name="log", daemon=True).start()
        self.is_started = True

    def write(self, text: str) -> None:
        """Have a text written; returns at once."""
        with self.changed:
            if self.pending and self.pending_characters + len(text) > self.max_pending:
                self.dropped += 1
                return
            self.pending.append(text)
            self.pending_characters += len(text)
            self.changed.notify_all()

    def flush(self, timeout_s: float) -> bool:
        """Wait until all is written, for a number of seconds at most; return whether it is."""
        with self.changed:
            return self.changed.wait_for(lambda: not self.pending and not self.is_writing, timeout_s)

    def run(self) -> None:
        """Write until the process ends."""
        while True:
            self.write_next()

    def write_next(self) -> None:
        """Wait for a text and write it; one that can't be written counts as dropped."""
        text = self.take()
        failed = False
        try:
            self.write_now(text)
        except (OSError, ValueError):
            failed = True
        with self.changed:
            self.dropped += failed
            dropped = 0 if failed or self.pending else self.dropped
            self.dropped -= dropped
        if dropped:
            self.report_dropped(dropped)
        with self.changed:
            self.is_writing = False
            self.changed.notify_all()

    def take(self) -> str:
        """Wait for the next text, and return it."""
        with self.changed:
            self.changed.wait_for(lambda: bool(self.pending))
            text = self.pending.popleft()
            self.pending_characters -= len(text)
            self.is_writing = True
        return text
