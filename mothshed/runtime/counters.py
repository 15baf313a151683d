"""A process's own counters, reported in one line from time to time while they change."""

import collections.abc
import typing

import mothshed.constants as constants
import mothshed.runtime.journal as journal
import mothshed.runtime.log_buffer as log_buffer

ReadGauges = collections.abc.Callable[[], dict[str, int]]


class CountersReport:
    """Reports what was added to the totals since the last line; nothing while nothing changes.

    gauges: what the process holds now; it stands in the line as it is.
    """

    def __init__(self, timers: typing.Any, totals: journal.Totals, gauges: ReadGauges = dict) -> None:
        self.timers, self.totals, self.gauges = timers, totals, gauges
        self.reported: dict[str, int] = {}

    def run(self) -> None:
        """Begin; the next line is due after one interval."""
        self.timers.call_later(constants.COUNTERS_INTERVAL_S, self.report_changes)

    def report_changes(self) -> None:
        """Report what changed, and come again."""
        increments = self.take_increments()
        if increments:
            log_buffer.report("counters", **increments, **self.gauges())
        self.timers.call_later(constants.COUNTERS_INTERVAL_S, self.report_changes)

    def take_increments(self) -> dict[str, int]:
        """Counter -> how much it grew since this was asked last."""
        counts = dict(self.totals.counts)
        grown = {name: count - self.reported.get(name, 0) for name, count in counts.items()}
        self.reported = counts
        return {name: count for name, count in sorted(grown.items()) if count}
