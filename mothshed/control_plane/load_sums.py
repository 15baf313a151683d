"""The load that all routers report of replicas, added up so that one report costs no more with more routers.

Totals are kept as reports come and go: a router is told the totals less its own report. How long
a replica is to be left alone is no sum but the longest that anyone says, and is kept beside them.
"""

import collections
import collections.abc
import dataclasses

import mothshed.constants as constants
import mothshed.replicas.replica_load as replica_load

SUMMED_FIELDS = [
    field.name for field in dataclasses.fields(replica_load.ReplicaLoad) if field.name not in ("out_s", "reading")
]


@dataclasses.dataclass(frozen=True)
class Report:
    """What one router said, and when (s of the boot clock)."""

    at: float
    loads: replica_load.Loads


class LoadSums:
    """Reports of routers not older than LOAD_TTL_S, and their sums. now: seconds of the boot clock."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.reports: collections.OrderedDict[str, Report] = collections.OrderedDict()  # the oldest first
        self.totals: replica_load.Loads = {}  # by replica, without out_s
        self.reporters: collections.Counter[str] = collections.Counter()  # replica -> reports that name it
        self.excluded_until: dict[str, dict[str, float]] = {}  # replica -> router -> until when it is left alone

    def __len__(self) -> int:
        """How many routers' reports are counted."""
        return len(self.reports)

    def record(self, sender: str, loads: replica_load.Loads) -> None:
        """A router's report, in the place of its last one."""
        self.remove(sender)
        now = self.now()
        self.reports[sender] = Report(now, loads)
        for name, load in loads.items():
            total = self.totals.setdefault(name, replica_load.ReplicaLoad())
            add_scaled(total, load, 1)
            self.reporters[name] += 1
            if load.out_s > 0:
                self.excluded_until.setdefault(name, {})[sender] = now + load.out_s

    def remove(self, sender: str) -> None:
        """Take a router's report out of the sums."""
        report = self.reports.pop(sender, None)
        for name, load in report.loads.items() if report else ():
            self.reporters[name] -= 1
            if self.reporters[name]:
                add_scaled(self.totals[name], load, -1)
            else:  # nobody names it any more; what rounding has left goes too
                del self.totals[name], self.reporters[name]
            routers = self.excluded_until.get(name, {})
            routers.pop(sender, None)
            if not routers:
                self.excluded_until.pop(name, None)

    def remove_expired(self) -> None:
        """Take out the reports that are too old to count."""
        oldest = self.now() - constants.LOAD_TTL_S
        while self.reports:
            sender, report = next(iter(self.reports.items()))
            if report.at > oldest:
                return
            self.remove(sender)

    def totals_without(self, sender: str = "") -> replica_load.Loads:
        """Replica -> load over all routers but one; its rows are not to be changed."""
        self.remove_expired()
        report = self.reports.get(sender)
        own = report.loads if report else {}
        found = {name: total for name, total in self.totals.items() if name not in own}
        for name, load in own.items():
            if self.reporters[name] > 1:
                found[name] = dataclasses.replace(self.totals[name], reading=list(self.totals[name].reading))
                add_scaled(found[name], load, -1)
        for name, out_s in self.exclusions(sender).items():
            found[name] = dataclasses.replace(found.get(name) or replica_load.ReplicaLoad(), out_s=out_s)
        return found

    def exclusions(self, except_router: str) -> dict[str, float]:
        """Replica -> seconds for which any router but one still leaves it alone."""
        now, found = self.now(), {}
        for name, routers in self.excluded_until.items():
            left = max((until - now for router, until in routers.items() if router != except_router), default=0.0)
            if left > 0:
                found[name] = left
        return found


def add_scaled(total: replica_load.ReplicaLoad, load: replica_load.ReplicaLoad, sign: int) -> None:
    """Add a load to a total, or take it off again."""
    for name in SUMMED_FIELDS:
        setattr(total, name, getattr(total, name) + sign * getattr(load, name))
    total.reading = [current + sign * change for current, change in zip(total.reading, load.reading, strict=True)]
