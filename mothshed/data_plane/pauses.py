"""The pauses between the events of one delivered stream, so that a late one can say where it stood still."""

import collections.abc
import contextlib
import enum


class Cause(enum.Enum):
    """Where a stream stands still between two events."""

    REPLICA = "pause_replica"  # the next event is not here yet
    CALLER = "pause_caller"  # the last one is still being passed on


class Pauses:
    """The causes of pauses longer than a route allows; none are found on a route that sets no bound."""

    def __init__(self, now: collections.abc.Callable[[], float], longest_s: float | None) -> None:
        self.now = now
        self.longest_s = longest_s
        self.found: set[Cause] = set()

    @contextlib.contextmanager
    def watch(self, cause: Cause) -> collections.abc.Iterator[None]:
        """Note a cause if the block takes longer than the route allows between events, however it ends."""
        began = self.now()
        try:
            yield
        finally:
            if self.longest_s is not None and self.now() - began > self.longest_s:
                self.found.add(cause)
