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
class Ended:
    """Requests that ended lately, each counted less the longer ago that was."""

    answered: float = 0.0
    failed: float = 0.0

    def __add__(self, other: "Ended") -> "Ended":
        return Ended(self.answered + other.answered, self.failed + other.failed)

    def __sub__(self, other: "Ended") -> "Ended":
        return Ended(self.answered - other.answered, self.failed - other.failed)

    def failed_share(self) -> float:
        """Failed ones of all; 0 if there are none."""
        total = self.answered + self.failed
        return self.failed / total if total > 0 else 0.0


class Outcomes:
    """This router's own counts, by replica."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.counts = fading.FadingSums(now, constants.OUTCOME_HALF_LIFE_S, kinds=2)

    def answered(self, name: str) -> None:
        """A request was answered there, with success or by a refusal of its content."""
        self.counts.add(name, 1.0, 0.0)

    def failed(self, name: str) -> None:
        """A request failed there by the replica's own word."""
        self.counts.add(name, 0.0, 1.0)

    def of(self, name: str) -> Ended:
        """The counts of a replica as of now."""
        return Ended(*self.counts.of(name))


def failing(ended: collections.abc.Mapping[str, Ended]) -> list[str]:
    """The replicas of one pool that fail far more than the others; at most half of the pool, the worst first.

    >>> failing({"a": Ended(10, 0), "b": Ended(0, 8), "c": Ended(9, 1)})
    ['b']
    >>> failing({"a": Ended(2, 8), "b": Ended(2, 8)})  # alike: it is the requests, or the whole service
    []
    """
    total = sum(ended.values(), Ended())
    found = []
    for name, own in ended.items():
        others = total - own
        # the others count as having failed at least a little, so that a handful of good answers proves no health
        usual = (others.failed + constants.FAILURE_PRIOR_REQUESTS) / (others.answered + others.failed + 1.0)
        worst = max(constants.MIN_FAILURE_RATIO, constants.FAILURE_OUTLIER_RATIO * usual)
        if own.failed >= constants.MIN_FAILED_REQUESTS and own.failed_share() >= min(1.0, worst):
            found.append(name)
    found.sort(key=lambda name: -ended[name].failed_share())
    return found[: len(ended) // 2]
