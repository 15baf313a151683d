"""The pauses between the events of one delivered stream, so that a late one can say where it stood still."""

import collections.abc
import contextlib
import enum


class PauseCause(enum.Enum):
    """Where a stream stands still between two events."""

    REPLICA = "pause_replica"  # the next event is not here yet
    CALLER = "pause_caller"  # the last one is still being passed on


class PauseMonitor:
    """The causes of pauses longer than a route allows; none are found on a route that sets no bound."""

    def __init__(self, now: collections.abc.Callable[[], float], limit_s: float | None) -> None:
        self.now = now
        self.limit_s = limit_s
        self.causes: set[PauseCause] = set()

    @contextlib.contextmanager
    def watch(self, cause: PauseCause) -> collections.abc.Iterator[None]:
        """Note a cause if the block takes longer than the route allows between events, however it ends."""
        started_at = self.now()
        try:
            yield
        finally:
            if self.limit_s is not None and self.now() - started_at > self.limit_s:
                self.causes.add(cause)
