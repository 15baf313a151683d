"""A token bucket: how many requests may pass now, and when the next one may.

>>> bucket = TokenBucket(rate=2.0, capacity=4.0, level=1.0, now=0.0)
>>> bucket.take(3, now=0.5), bucket.next_token_s(now=0.5)
(2, 0.5)
>>> bucket.take(3, now=100.0)
3
"""

import mothshed.constants as constants


class TokenBucket:
    """A token bucket.

    rate: tokens per second, above 0. capacity, level: tokens. now: seconds of the boot clock.
    """

    def __init__(self, rate: float, capacity: float, level: float, now: float) -> None:
        self.rate, self.capacity = rate, capacity
        self.level = min(level, capacity)
        self.filled_at = now

    def fill(self, now: float) -> None:
        """Add the tokens that accrued since the last call."""
        self.level = min(self.capacity, self.level + self.rate * max(0.0, now - self.filled_at))
        self.filled_at = max(self.filled_at, now)

    def change(self, rate: float, capacity: float, now: float) -> None:
        """Change the limit from now on; tokens above the new capacity are lost."""
        self.fill(now)
        self.rate, self.capacity = rate, capacity
        self.level = min(self.level, capacity)

    def take(self, max_tokens: int, now: float) -> int:
        """Take up to `max_tokens` whole tokens and return how many were taken."""
        self.fill(now)
        taken = min(max_tokens, int(self.level + constants.CLOCK_ROUNDING_ERROR_S))
        self.level = max(0.0, self.level - taken)
        return taken

    def is_full(self, now: float) -> bool:
        """Return whether the bucket is at its capacity."""
        self.fill(now)
        return self.level >= self.capacity

    def next_token_s(self, now: float) -> float:
        """Return the seconds until a whole token is available; 0 if one is."""
        self.fill(now)
        return max(0.0, (1.0 - self.level) / self.rate)
