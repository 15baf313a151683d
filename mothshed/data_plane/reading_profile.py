"""How fast a pool's replicas read prompts, learnt from the prefills that this router ordered.

A prefill takes a base (two ways, a step, this process) and a time for each token that its replica does not keep.
Both are fitted to the last prefills by the Theil-Sen estimator: the median slope of all pairs, then the median of
what is left. Up to a fifth or so of the samples may be far off without moving it much: prefills that queued behind
others unknown here, or prompts that were kept though not known to be. Old samples leave the window, so a pool
whose replicas are replaced by others is learnt anew. Before the first samples the figures of constants.py hold.

A replica that takes much longer than the fit says, several times in a row, counts as slow by that ratio.
"""

import collections
import itertools
import statistics

import mothshed.common.constants as constants


class ReadingProfile:
    """The pace of one pool's readers; seconds and tokens throughout."""

    def __init__(self) -> None:
        self.base_s = constants.READ_BASE
        self.tokens_per_s = constants.READ_PACE
        self.usual_s = constants.READ_SHORT  # the median reading, without the base
        self.samples: collections.deque[tuple[float, float]] = collections.deque(maxlen=constants.PROFILE_SAMPLES)
        self.count = 0
        self.ratios: dict[str, collections.deque[float]] = {}  # replica -> measured to expected, the last few

    def reading_s(self, name: str, tokens: float) -> float:
        """Seconds that a replica reads so many tokens, without the base."""
        return tokens / self.tokens_per_s * self.slowness(name)

    def slowness(self, name: str) -> float:
        """How many times longer than its pool's other readers a replica takes; 1 unless it is far off."""
        ratios = self.ratios.get(name, ())
        if len(ratios) < constants.SLOW_SAMPLES:
            return 1.0
        ratio = statistics.median(ratios)
        return min(ratio, constants.SLOW_MOST) if ratio >= constants.SLOW_LEAST else 1.0

    def measured(self, name: str, tokens: float, seconds: float) -> None:
        """A prefill of so many unread tokens, with next to nothing before it, took so long."""
        self.samples.append((tokens, seconds))
        self.count += 1
        if len(self.samples) >= constants.PROFILE_LEAST and self.count % constants.PROFILE_EVERY == 0:
            self.fit()
        expected = self.base_s + tokens / self.tokens_per_s
        ratios = self.ratios.setdefault(name, collections.deque(maxlen=constants.SLOW_SAMPLES))
        ratios.append(seconds / max(expected, constants.READ_INSTANT))

    def fit(self) -> None:
        """Take base and pace from the samples."""
        middle_tokens = statistics.median(tokens for tokens, _seconds in self.samples)
        middle_s = max(constants.READ_INSTANT, statistics.median(seconds for _tokens, seconds in self.samples))
        if middle_tokens <= 0:  # nothing was read: that tells the base alone
            self.base_s = middle_s
            return
        apart = constants.PROFILE_APART * middle_tokens
        slopes = [
            (second[1] - first[1]) / (second[0] - first[0])
            for first, second in itertools.combinations(self.samples, 2)
            if abs(second[0] - first[0]) > apart
        ]
        most = middle_s / middle_tokens
        slope = statistics.median(slopes) if len(slopes) >= constants.PROFILE_LEAST else most
        slope = min(most, max(slope, constants.PROFILE_READING * most))
        self.tokens_per_s = 1.0 / slope
        self.usual_s = slope * middle_tokens
        self.base_s = max(0.0, statistics.median(seconds - slope * tokens for tokens, seconds in self.samples))

    def forget(self, name: str) -> None:
        """A replica is gone, or comes back as another."""
        self.ratios.pop(name, None)


class ReadingProfiles:
    """The profile of each pool, by its name in the configuration."""

    def __init__(self) -> None:
        self.pools: dict[str, ReadingProfile] = {}

    def of(self, pool: str) -> ReadingProfile:
        """A pool's profile; one that nothing is known of yet holds the figures of constants.py."""
        return self.pools.setdefault(pool, ReadingProfile())
