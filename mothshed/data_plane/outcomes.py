"""Counts recent request outcomes per replica, and finds replicas that fail too many requests to be used.

A replica that fails immediately has the fewest running requests, so placement by load alone would send it more and
more. A single failure proves little: healthy services fail a few requests, and an invalid request fails anywhere.
So a replica is compared with the others of its pool, by counts that decay with a half-life, over all routers
(`replica_load`). An excluded replica gets no requests; as its counts decay, a few requests try it again.
"""

import collections.abc
import dataclasses

import mothshed.constants as constants
import mothshed.runtime.decaying_sums as decaying_sums


@dataclasses.dataclass(frozen=True)
class OutcomeCounts:
    """Recent requests by outcome, decayed by their age."""

    answered: float = 0.0
    failed: float = 0.0

    def __add__(self, other: "OutcomeCounts") -> "OutcomeCounts":
        return OutcomeCounts(self.answered + other.answered, self.failed + other.failed)

    def __sub__(self, other: "OutcomeCounts") -> "OutcomeCounts":
        return OutcomeCounts(self.answered - other.answered, self.failed - other.failed)

    def failure_ratio(self) -> float:
        """Failed requests over all requests; 0 if there are none."""
        total = self.answered + self.failed
        return self.failed / total if total > 0 else 0.0


class Outcomes:
    """The outcomes that this router saw, by replica."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.counts = decaying_sums.DecayingSums(now, constants.OUTCOME_HALF_LIFE_S, kinds=2)

    def record_answered(self, name: str) -> None:
        """Count a request that was answered, successfully or by rejecting its content."""
        self.counts.add(name, 1.0, 0.0)

    def record_failed(self, name: str) -> None:
        """Count a request that failed by the replica's own response."""
        self.counts.add(name, 0.0, 1.0)

    def counts_of(self, name: str) -> OutcomeCounts:
        """The current counts of a replica."""
        return OutcomeCounts(*self.counts.of(name))


def failing_replicas(counts_by_replica: collections.abc.Mapping[str, OutcomeCounts]) -> list[str]:
    """The replicas of one pool that fail far more than the others: at most half of the pool, the worst first.

    >>> failing_replicas({"a": OutcomeCounts(10, 0), "b": OutcomeCounts(0, 8), "c": OutcomeCounts(9, 1)})
    ['b']
    >>> failing_replicas({"a": OutcomeCounts(2, 8), "b": OutcomeCounts(2, 8)})  # a fault of the requests or the service
    []
    """
    total = sum(counts_by_replica.values(), OutcomeCounts())
    found = []
    for name, counts in counts_by_replica.items():
        others = total - counts
        # a prior of failures for the others, so that a few successes do not prove that they are healthy
        baseline_ratio = (others.failed + constants.FAILURE_PRIOR_REQUESTS) / (others.answered + others.failed + 1.0)
        threshold = max(constants.MIN_FAILURE_RATIO, constants.FAILURE_OUTLIER_RATIO * baseline_ratio)
        if counts.failed >= constants.MIN_FAILED_REQUESTS and counts.failure_ratio() >= min(1.0, threshold):
            found.append(name)
    found.sort(key=lambda name: -counts_by_replica[name].failure_ratio())
    return found[: len(counts_by_replica) // 2]
