"""The prompts that this router has under way: tokens being read at each replica, and the writers that wait for them."""

import collections

import mothshed.constants as constants
import mothshed.data_plane.pair as pair_module


class Readings:
    """Prompts from the placing of their pair until they are read, or their reading has ended some other way."""

    def __init__(self) -> None:
        # name -> tokens this router has it read, by rank
        self.tokens: dict[str, list[float]] = collections.defaultdict(lambda: [0] * constants.RANKS)
        # name -> requests with a place there whose prompt another replica is still reading
        self.awaiting: collections.Counter[str] = collections.Counter()

    def begin(self, pair: pair_module.Pair) -> None:
        """A pair was placed."""
        name = (pair.reader or pair.writer).name
        self.tokens[name][pair.rank] += pair.unread
        if pair.reader:
            self.awaiting[pair.writer.name] += 1

    def end(self, pair: pair_module.Pair) -> None:
        """The prompt of a pair is read, or will not be."""
        name = (pair.reader or pair.writer).name
        self.tokens[name][pair.rank] = max(0, self.tokens[name][pair.rank] - pair.unread)
        pair.unread = 0
        if pair.reader and not pair.done:
            self.awaiting[pair.writer.name] -= 1

    def change_writer(self, pair: pair_module.Pair, name: str) -> None:
        """Another writer takes the place of a pair's."""
        if pair.reader and not pair.done:
            self.awaiting[pair.writer.name] -= 1
            self.awaiting[name] += 1
