"""Detects long pauses between the events of one delivered stream, and their cause."""

import collections.abc
import contextlib
import enum


class PauseCause(enum.Enum):
    """What a stream waits for between two events."""

    REPLICA = "pause_replica"  # the next event has not arrived
    CALLER = "pause_caller"  # the last event is still being sent to the caller


class PauseMonitor:
    """Collects the causes of pauses longer than the route allows; none if the route sets no limit."""

    def __init__(self, now: collections.abc.Callable[[], float], limit_s: float | None) -> None:
        self.now = now
        self.limit_s = limit_s
        self.causes: set[PauseCause] = set()

    @contextlib.contextmanager
    def watch(self, cause: PauseCause) -> collections.abc.Iterator[None]:
        """Record the cause if the block takes longer than the limit, also if it raises."""
        started_at = self.now()
        try:
            yield
        finally:
            if self.limit_s is not None and self.now() - started_at > self.limit_s:
                self.causes.add(cause)
