"""Measures how long a delivered request spends in each stage, to explain late responses."""

import collections.abc
import contextlib
import enum


class Stage(enum.Enum):
    """The stages up to the first event of a response."""

    LEASE = "lease"  # waiting for a configuration lease
    PLACEMENT = "place"  # waiting for a replica or a pair with capacity
    PREFILL = "reading"  # prefill, including connection and queue
    FIRST_EVENT = "first_event"  # from the decode connection to the first event, including the KV transfer


class StageTimes:
    """Seconds spent in each stage; a stage may be entered several times."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.durations: dict[Stage, float] = {}

    @contextlib.contextmanager
    def measure(self, stage: Stage) -> collections.abc.Iterator[None]:
        """Add the time of the block to a stage, also if it raises."""
        started_at = self.now()
        try:
            yield
        finally:
            self.durations[stage] = self.durations.get(stage, 0.0) + self.now() - started_at

    def longest(self) -> Stage | None:
        """The stage that took longest; None if none was entered."""
        return max(self.durations, key=lambda stage: self.durations[stage], default=None)
