"""Reports the counters of a process in one log line per interval while they change."""

import collections.abc
import threading
import typing

import mothshed.constants as constants
import mothshed.runtime.journal as journal
import mothshed.runtime.log_buffer as log_buffer

ReadGauges = collections.abc.Callable[[], dict[str, int]]


class CountersReport:
    """Reports the increments of the totals since the last line; writes no line without increments.

    gauges: returns the current values of the process, which are added to each line.
    """

    def __init__(self, timers: typing.Any, totals: journal.Totals, gauges: ReadGauges = dict) -> None:
        self.timers, self.totals, self.gauges = timers, totals, gauges
        self.reported: dict[str, int] = {}
        self.lock = threading.Lock()

    def run(self) -> None:
        """Start the reports; the first one is due after one interval."""
        self.timers.call_later(constants.COUNTERS_INTERVAL_S, self.report_changes)

    def report_changes(self) -> None:
        """Report the increments, if any, and schedule the next report."""
        try:
            self.report_now()
        finally:
            self.timers.call_later(constants.COUNTERS_INTERVAL_S, self.report_changes)

    def report_now(self) -> None:
        """Report the increments since the last line, if any, as before the end of a process."""
        increments = self.take_increments()
        if increments:
            log_buffer.report("counters", **increments, **self.gauges())

    def take_increments(self) -> dict[str, int]:
        """Return the increment of each changed counter since the last call, by name."""
        with self.lock:
            counts = dict(self.totals.counts)
            grown = {name: count - self.reported.get(name, 0) for name, count in counts.items()}
            self.reported = counts
        return {name: count for name, count in sorted(grown.items()) if count}
