"""How many requests a decode replica can serve before it slows down, learned from the events of its streams.

The more requests run on a replica, the longer each token takes, and by how much depends on the engine: one takes three
times as long with half of its slots in use, another hardly longer with all of them in use. A line is therefore fitted
to the observations: seconds between two events against requests running. A replica counts as full where the line
reaches DECODE_FULL_SLOWDOWN_RATIO times its value for an idle replica, or with all its slots in use.

Until there are enough observations, the line of an engine that is full at DECODE_FULL_SLOT_RATIO of its slots is
assumed.
"""

import collections.abc
import dataclasses

import mothshed.constants as constants


@dataclasses.dataclass
class Moments:
    """Weighted sums over samples (requests running, seconds between events) for a linear regression."""

    weight: float = 0.0
    running: float = 0.0
    gap: float = 0.0
    running_squared: float = 0.0
    running_gap: float = 0.0

    def scale(self, factor: float) -> None:
        """Multiply the weight of all samples so far by a factor."""
        for field in dataclasses.fields(self):
            setattr(self, field.name, getattr(self, field.name) * factor)

    def add(self, running: float, gap_s: float) -> None:
        """Add one sample."""
        self.weight += 1.0
        self.running += running
        self.gap += gap_s
        self.running_squared += running * running
        self.running_gap += running * gap_s


class DecodeCapacity:
    """The capacity of the decode replicas of one service, by observation."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.moments = Moments()
        self.observed_at: float | None = None

    def observe(self, samples: collections.abc.Iterable[tuple[float, float]]) -> None:
        """Add samples taken at the same time, one per replica: requests running, mean seconds between events."""
        now = self.now()
        if self.observed_at is not None:
            self.moments.scale(0.5 ** ((now - self.observed_at) / constants.CAPACITY_HALF_LIFE_S))
        self.observed_at = now
        for running, gap_s in samples:
            if gap_s > 0:
                self.moments.add(running, gap_s)

    def full_at(self, slots: float) -> float:
        """Return the number of running requests at which a replica with so many slots counts as full."""
        all_slots = float(slots)
        assumed = (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / (
            constants.DECODE_FULL_SLOT_RATIO * slots
        )  # growth per request, as a share of the gap of an idle replica
        if self.moments.weight <= 0:
            return (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / assumed
        idle_gap, growth = self.fit_line(assumed)
        if idle_gap <= 0:
            return (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / assumed
        if growth * all_slots <= (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) * idle_gap:
            return all_slots
        return max(
            constants.MIN_DECODE_FULL_SLOT_RATIO * all_slots,
            (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) * idle_gap / growth,
        )

    def fit_line(self, assumed: float) -> tuple[float, float]:
        """Return the seconds between events of an idle replica and their growth per running request.

        assumed: the prior growth as a share of the idle gap, weighted like an observed spread of CAPACITY_PRIOR_SPREAD.
        """
        sums = self.moments
        running, gap = sums.running / sums.weight, sums.gap / sums.weight
        variance = max(0.0, sums.running_squared - sums.running * running)
        covariance = sums.running_gap - sums.running * gap
        prior = assumed * gap / (1 + assumed * running)
        growth = (covariance + constants.CAPACITY_PRIOR_SPREAD * prior) / (variance + constants.CAPACITY_PRIOR_SPREAD)
        return gap - growth * running, growth
