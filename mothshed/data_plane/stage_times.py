"""What a delivered request waited for, stage by stage, so that a late one can say why."""

import collections.abc
import contextlib
import enum


class Stage(enum.Enum):
    """The waits on the way to a request's first event."""

    LEASE = "lease"  # of the configuration
    PLACEMENT = "place"  # a replica, or a pair of them, that takes it
    PREFILL = "reading"  # the prefill of its prompt, queue and connection included
    FIRST_EVENT = "first_event"  # from the decode's connection to its first event: the move of memory, and steps


class StageTimes:
    """Seconds spent in each stage; a stage may be entered several times."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.durations: dict[Stage, float] = {}

    @contextlib.contextmanager
    def measure(self, stage: Stage) -> collections.abc.Iterator[None]:
        """Count what passes within the block for a stage, however it ends."""
        started_at = self.now()
        try:
            yield
        finally:
            self.durations[stage] = self.durations.get(stage, 0.0) + self.now() - started_at

    def longest(self) -> Stage | None:
        """The stage that took longest; None if none was entered."""
        return max(self.durations, key=lambda stage: self.durations[stage], default=None)
