"""By how much a tenant may exceed its limit, from the bounds of the deployment; see docs/shared.md for the argument."""

import dataclasses
import typing

Settings = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class LimitBounds:
    """At most (rate x window_s + burst) x (1 + excess) + slack requests of a tenant run in any window of window_s.

    >>> bounds = LimitBounds(window_s=5.0, excess=0.1, slack=20.0)
    >>> bounds.allowance(rate=5.0, burst=11.0), bounds.capacity(5.0, 11.0), bounds.initial_level(5.0, 11.0)
    (23.6, 16.9, 11.8)
    >>> LimitBounds().capacity(5.0, 11.0), LimitBounds().initial_level(5.0, 11.0)
    (11.0, 0.0)
    """

    window_s: float = 1.0
    excess: float = 0.0  # ratio
    slack: float = 0.0  # requests

    def allowance(self, rate: float, burst: float) -> float:
        """Return by how many requests a window may exceed rate x window_s + burst."""
        return self.excess * (rate * self.window_s + burst) + self.slack

    def capacity(self, rate: float, burst: float) -> float:
        """Return the capacity of a tenant's bucket in tokens; below one token nothing would ever pass."""
        return max(1.0, burst + self.allowance(rate, burst) / 4)

    def initial_level(self, rate: float, burst: float) -> float:
        """Return the first tokens of a leader whose predecessor started over window_s ago; others start with none."""
        return self.allowance(rate, burst) / 2


def from_settings(settings: Settings) -> LimitBounds:
    """Return the bounds named in a process's settings."""
    keys = {"window_s": "limit_window_s", "excess": "limit_excess", "slack": "limit_slack"}
    return LimitBounds(**{field: float(settings[key]) for field, key in keys.items() if key in settings})
