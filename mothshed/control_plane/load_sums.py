"""The load that all routers report of replicas, summed incrementally.

Totals are updated as reports arrive and expire, so one report costs the same however many routers there are. A router
gets the totals without its own report. For how long a replica is excluded is the maximum over the routers rather than
a sum, and is kept separately.
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
    """The last report of one router. at: seconds of the boot clock."""

    at: float
    loads: replica_load.Loads


class LoadSums:
    """The reports of routers that are no older than LOAD_TTL_S, and their sums. now: the boot clock, in seconds."""

    def __init__(self, now: collections.abc.Callable[[], float]) -> None:
        self.now = now
        self.reports: collections.OrderedDict[str, Report] = collections.OrderedDict()  # oldest first
        self.totals: replica_load.Loads = {}  # by replica, without out_s
        self.reporters: collections.Counter[str] = collections.Counter()  # replica -> reports that name it
        self.excluded_until: dict[str, dict[str, float]] = {}  # replica -> router -> until when the router excludes it

    def __len__(self) -> int:
        """Return the number of routers whose reports are counted."""
        return len(self.reports)

    def record(self, sender: str, loads: replica_load.Loads) -> None:
        """Replace a router's report."""
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
        """Remove a router's report from the sums."""
        report = self.reports.pop(sender, None)
        for name, load in report.loads.items() if report else ():
            self.reporters[name] -= 1
            if self.reporters[name]:
                add_scaled(self.totals[name], load, -1)
            else:  # no router reports it any more; this also drops rounding errors
                del self.totals[name], self.reporters[name]
            routers = self.excluded_until.get(name, {})
            routers.pop(sender, None)
            if not routers:
                self.excluded_until.pop(name, None)

    def remove_expired(self) -> None:
        """Remove the reports that are older than LOAD_TTL_S."""
        oldest = self.now() - constants.LOAD_TTL_S
        while self.reports:
            sender, report = next(iter(self.reports.items()))
            if report.at > oldest:
                return
            self.remove(sender)

    def totals_without(self, sender: str = "") -> replica_load.Loads:
        """Return the load by replica over all routers except one. The rows must not be modified."""
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
        """Return by replica for how many more seconds any router except one excludes it."""
        now, found = self.now(), {}
        for name, routers in self.excluded_until.items():
            left = max((until - now for router, until in routers.items() if router != except_router), default=0.0)
            if left > 0:
                found[name] = left
        return found


def add_scaled(total: replica_load.ReplicaLoad, load: replica_load.ReplicaLoad, sign: int) -> None:
    """Add a load to a total (sign 1) or subtract it (sign -1)."""
    for name in SUMMED_FIELDS:
        setattr(total, name, getattr(total, name) + sign * getattr(load, name))
    total.reading = [current + sign * change for current, change in zip(total.reading, load.reading, strict=True)]
