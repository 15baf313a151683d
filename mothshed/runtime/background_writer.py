"""Writes text in a thread of its own, so that nobody waits for an output that is not read or a disk that hangs."""

import collections
import collections.abc
import threading

import mothshed.runtime.constants as runtime_constants


class BackgroundWriter:
    """Passes texts on to a function, one after the other, in the background.

    While the function is held up, texts are kept up to a limit and dropped beyond it. The next text that is passed on
    follows a note of how many were dropped.
    """

    def __init__(
        self,
        write: collections.abc.Callable[[str], None],
        dropped_note: collections.abc.Callable[[int], str],
        max_pending: int = runtime_constants.MAX_PENDING_LOG_BYTES,
    ) -> None:
        """write: may block, or raise OSError or ValueError. dropped_note: takes the number of dropped texts."""
        self.write_now, self.dropped_note, self.max_pending = write, dropped_note, max_pending
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
        text, dropped = self.take()
        note = self.dropped_note(dropped) if dropped else ""
        failed = False
        try:
            self.write_now(note + text)
        except (OSError, ValueError):
            failed = True
        with self.changed:
            self.is_writing = False
            self.dropped += dropped + 1 if failed else 0
            self.changed.notify_all()

    def take(self) -> tuple[str, int]:
        """Wait for the next text; return it, and how many were dropped and are not told of yet."""
        with self.changed:
            self.changed.wait_for(lambda: bool(self.pending))
            text, dropped = self.pending.popleft(), self.dropped
            self.pending_characters -= len(text)
            self.dropped, self.is_writing = 0, True
        return text, dropped
