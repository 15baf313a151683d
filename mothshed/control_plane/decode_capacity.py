"""How many requests a writer carries before it slows down, learnt from the events of its streams.

A token comes the later the more requests run beside it, and by how much depends on the engine: one takes thrice
the time with half of its slots taken, another hardly more with all of them taken. So a line is fitted through
what is observed: seconds between two events, against requests running. A writer counts as full where the line
has come to DECODE_FULL_SLOWDOWN_RATIO times its start, or with all its slots taken.

Until enough is observed the line of an engine is assumed that is full at DECODE_FULL_SLOT_RATIO of its slots.
"""

import collections.abc
import dataclasses

import mothshed.constants as constants


@dataclasses.dataclass
class Moments:
    """Sums over samples (running, seconds between events), as a regression needs them."""

    weight: float = 0.0
    running: float = 0.0
    gap: float = 0.0
    running_squared: float = 0.0
    running_gap: float = 0.0

    def fade(self, keep: float) -> None:
        """Count all samples so far by this share only."""
        for field in dataclasses.fields(self):
            setattr(self, field.name, getattr(self, field.name) * keep)

    def add(self, running: float, gap_s: float) -> None:
        """Count one sample."""
        self.weight += 1.0
        self.running += running
        self.gap += gap_s
        self.running_squared += running * running
        self.running_gap += running * gap_s


class DecodeCapacity:
    """What the writers of one service are observed to carry."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.moments = Moments()
        self.observed_at: float | None = None

    def observe(self, samples: collections.abc.Iterable[tuple[float, float]]) -> None:
        """Take samples of one moment, one for each writer: requests running, and mean seconds between events."""
        now = self.now()
        if self.observed_at is not None:
            self.moments.fade(0.5 ** ((now - self.observed_at) / constants.CAPACITY_HALF_LIFE_S))
        self.observed_at = now
        for running, gap_s in samples:
            if gap_s > 0:
                self.moments.add(running, gap_s)

    def full_at(self, slots: float) -> float:
        """The requests running at which a writer with so many slots counts as full."""
        most = float(slots)
        assumed = (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / (
            constants.DECODE_FULL_SLOT_RATIO * slots
        )  # growth per request, of the idle gap
        if self.moments.weight <= 0:
            return (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / assumed
        start, growth = self.line(assumed)
        if start <= 0:
            return (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / assumed
        if growth * most <= (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) * start:
            return most
        return max(
            constants.MIN_DECODE_FULL_SLOT_RATIO * most, (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) * start / growth
        )

    def line(self, assumed: float) -> tuple[float, float]:
        """(seconds between events of an idle writer, their growth per request).

        assumed: that growth as a share of the former, which counts as much as CAPACITY_PRIOR_SPREAD of observed spread.
        """
        sums = self.moments
        running, gap = sums.running / sums.weight, sums.gap / sums.weight
        spread = max(0.0, sums.running_squared - sums.running * running)
        together = sums.running_gap - sums.running * gap
        prior = assumed * gap / (1 + assumed * running)
        growth = (together + constants.CAPACITY_PRIOR_SPREAD * prior) / (spread + constants.CAPACITY_PRIOR_SPREAD)
        return gap - growth * running, growth
