"""A process's own counters, reported in one line from time to time while they change."""

import typing

import mothshed.common.constants as constants
import mothshed.common.journal as journal
import mothshed.common.ring as ring


class CountersReport:
    """Reports what was added to the totals since the last line; nothing while nothing changes."""

    def __init__(self, timers: typing.Any, totals: journal.Totals) -> None:
        self.timers, self.totals = timers, totals
        self.reported: dict[str, int] = {}

    def run(self) -> None:
        """Begin; the next line is due after one interval."""
        self.timers.beat(constants.COUNTERS_INTERVAL, self.tick)

    def tick(self) -> None:
        """Report what changed, and come again."""
        added = self.added()
        if added:
            ring.report("counters", **added)
        self.timers.beat(constants.COUNTERS_INTERVAL, self.tick)

    def added(self) -> dict[str, int]:
        """Counter -> how much it grew since this was asked last."""
        counts = dict(self.totals.counts)
        grown = {name: count - self.reported.get(name, 0) for name, count in counts.items()}
        self.reported = counts
        return {name: count for name, count in sorted(grown.items()) if count}
