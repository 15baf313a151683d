"""An in-memory event journal and the views derived from it.

Events in a process are appended to its journal, and the state that decisions read is
a view that folds these events in order. The journal keeps only the latest events, which
the log buffer writes out after a failure; views keep their state.

>>> journal = Journal()
>>> view = journal.view(SumView())
>>> journal.add("sent", n=2); journal.add("sent", n=1)
>>> view.sent
3
"""

import collections
import itertools
import threading

import mothshed.constants as constants


class SumView:
    """A view for the doctest: the sum of `n` over all events."""

    def __init__(self):
        self.sent = 0

    def fold(self, kind, event):
        self.sent += event["n"]


class Journal:
    def __init__(self, now=lambda: 0.0):
        self.now = now
        self.events = collections.deque(maxlen=constants.MAX_JOURNAL_EVENTS)
        self.views = []
        self.last_returned = None  # the last event returned by unwritten_events()
        self.lock = threading.RLock()

    def view(self, view):
        self.views.append(view)
        return view

    def add(self, kind, **event):
        with self.lock:
            event["at"] = self.now()
            self.events.append((kind, event))
            for view in self.views:
                view.fold(kind, event)

    def unwritten_events(self):
        """Return the events that no earlier call returned, oldest first: [(kind, event)]."""
        with self.lock:
            rows = list(itertools.takewhile(lambda row: row is not self.last_returned, reversed(self.events)))
            self.last_returned = rows[0] if rows else self.last_returned
        return rows[::-1]


class Totals:
    """Counters for the metrics page: one per event kind, and one per kind and outcome."""

    def __init__(self):
        self.counts = collections.Counter()

    def fold(self, kind, event):
        self.counts[kind] += 1
        if "outcome" in event:
            self.counts[f"{kind}_{event['outcome']}"] += 1

    def text(self, gauges):
        """Return the metrics page: all counters and the gauges of the process (name -> value)."""
        counted = "".join(f"mothshed_{name}_total {count}\n" for name, count in sorted(self.counts.items()))
        return counted + "".join(f"mothshed_process_{name} {value}\n" for name, value in sorted(gauges.items()))
