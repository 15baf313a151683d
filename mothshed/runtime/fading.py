"""Sums that fade: each amount counts half after a half-life, so that they tell of the latest time only."""

import collections.abc
import threading

import mothshed.constants as constants

Amounts = tuple[float, ...]


class FadingSums:
    """Amounts of a few kinds, added up by name. A name that faded away is forgotten.

    >>> clock = [0.0]
    >>> sums = FadingSums(lambda: clock[0], half_s=2.0, kinds=2)
    >>> sums.add("a", 1.0, 8.0)
    >>> clock[0] = 2.0
    >>> sums.of("a"), sums.of("b")
    ((0.5, 4.0), (0.0, 0.0))
    """

    def __init__(self, now: collections.abc.Callable[[], float], half_s: float, kinds: int) -> None:
        self.now = now
        self.half_s = half_s
        self.nothing: Amounts = (0.0,) * kinds
        self.lock = threading.Lock()
        self.sums: dict[str, tuple[float, Amounts]] = {}  # name -> (when summed, sums)

    def add(self, name: str, *amounts: float) -> None:
        """Add an amount of each kind under a name."""
        with self.lock:
            if name not in self.sums:
                self._forget_faded()
            added = tuple(old + new for old, new in zip(self._faded(name), amounts, strict=True))
            self.sums[name] = (self.now(), added)

    def of(self, name: str) -> Amounts:
        """The sums of a name as of now."""
        with self.lock:
            return self._faded(name)

    def _faded(self, name: str) -> Amounts:
        when, amounts = self.sums.get(name, (0.0, self.nothing))
        keep = 0.5 ** ((self.now() - when) / self.half_s)
        return tuple(amount * keep for amount in amounts)

    def _forget_faded(self) -> None:
        oldest = self.now() - constants.MAX_HALF_LIVES * self.half_s
        self.sums = {name: row for name, row in self.sums.items() if row[0] > oldest}
