"""Exponentially decaying sums: an amount counts half after each half-life, so that recent ones dominate."""

import collections.abc
import threading

import mothshed.constants as constants

Amounts = tuple[float, ...]


class DecayingSums:
    """Decaying sums of several kinds of amounts by name. Names whose sums have decayed are dropped.

    >>> clock = [0.0]
    >>> sums = DecayingSums(lambda: clock[0], half_life_s=2.0, kinds=2)
    >>> sums.add("a", 1.0, 8.0)
    >>> clock[0] = 2.0
    >>> sums.of("a"), sums.of("b")
    ((0.5, 4.0), (0.0, 0.0))
    """

    def __init__(self, now: collections.abc.Callable[[], float], half_life_s: float, kinds: int) -> None:
        self.now = now
        self.half_life_s = half_life_s
        self.zeros: Amounts = (0.0,) * kinds
        self.lock = threading.Lock()
        self.sums: dict[str, tuple[float, Amounts]] = {}  # name -> (time of the sums, sums)

    def add(self, name: str, *amounts: float) -> None:
        """Add one amount of each kind to the sums of a name."""
        with self.lock:
            if name not in self.sums:
                self._forget_decayed()
            added = tuple(previous + amount for previous, amount in zip(self._decayed(name), amounts, strict=True))
            self.sums[name] = (self.now(), added)

    def of(self, name: str) -> Amounts:
        """Return the sums of a name, decayed to the current time."""
        with self.lock:
            return self._decayed(name)

    def _decayed(self, name: str) -> Amounts:
        summed_at, amounts = self.sums.get(name, (0.0, self.zeros))
        factor = 0.5 ** ((self.now() - summed_at) / self.half_life_s)
        return tuple(amount * factor for amount in amounts)

    def _forget_decayed(self) -> None:
        oldest = self.now() - constants.MAX_HALF_LIVES * self.half_life_s
        self.sums = {name: entry for name, entry in self.sums.items() if entry[0] > oldest}
