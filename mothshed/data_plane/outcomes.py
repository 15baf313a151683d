"""How replicas' requests ended lately, and which replicas fail so many that they are left out.

A replica that fails at once has the least running, so placing by use alone sends it ever more. One failure proves
little: services fail a few requests in good health, and a bad request fails anywhere. So a replica is judged
against the others of its pool, by counts that fade with a half-life, over all routers (`replica_load`). A
replica that is left out gets no more requests, its counts fade, and a few requests try it again.
"""

import collections.abc
import dataclasses

import mothshed.constants as constants
import mothshed.runtime.fading as fading


@dataclasses.dataclass(frozen=True)
class OutcomeCounts:
    """Requests that ended lately, each counted less the longer ago that was."""

    answered: float = 0.0
    failed: float = 0.0

    def __add__(self, other: "OutcomeCounts") -> "OutcomeCounts":
        return OutcomeCounts(self.answered + other.answered, self.failed + other.failed)

    def __sub__(self, other: "OutcomeCounts") -> "OutcomeCounts":
        return OutcomeCounts(self.answered - other.answered, self.failed - other.failed)

    def failure_ratio(self) -> float:
        """Failed ones of all; 0 if there are none."""
        total = self.answered + self.failed
        return self.failed / total if total > 0 else 0.0


class Outcomes:
    """This router's own counts, by replica."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.counts = fading.FadingSums(now, constants.OUTCOME_HALF_LIFE_S, kinds=2)

    def record_answered(self, name: str) -> None:
        """A request was answered there, with success or by a refusal of its content."""
        self.counts.add(name, 1.0, 0.0)

    def record_failed(self, name: str) -> None:
        """A request failed there by the replica's own word."""
        self.counts.add(name, 0.0, 1.0)

    def counts_of(self, name: str) -> OutcomeCounts:
        """The counts of a replica as of now."""
        return OutcomeCounts(*self.counts.of(name))


def failing_replicas(counts_by_replica: collections.abc.Mapping[str, OutcomeCounts]) -> list[str]:
    """The replicas of one pool that fail far more than the others; at most half of the pool, the worst first.

    >>> failing_replicas({"a": OutcomeCounts(10, 0), "b": OutcomeCounts(0, 8), "c": OutcomeCounts(9, 1)})
    ['b']
    >>> failing_replicas({"a": OutcomeCounts(2, 8), "b": OutcomeCounts(2, 8)})  # the requests or the service
    []
    """
    total = sum(counts_by_replica.values(), OutcomeCounts())
    found = []
    for name, counts in counts_by_replica.items():
        others = total - counts
        # the others count as having failed at least a little, so that a handful of good answers proves no health
        baseline_ratio = (others.failed + constants.FAILURE_PRIOR_REQUESTS) / (others.answered + others.failed + 1.0)
        threshold = max(constants.MIN_FAILURE_RATIO, constants.FAILURE_OUTLIER_RATIO * baseline_ratio)
        if counts.failed >= constants.MIN_FAILED_REQUESTS and counts.failure_ratio() >= min(1.0, threshold):
            found.append(name)
    found.sort(key=lambda name: -counts_by_replica[name].failure_ratio())
    return found[: len(counts_by_replica) // 2]
