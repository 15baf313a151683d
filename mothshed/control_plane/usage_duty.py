"""The leader of a service's part adds up what routers have running at its replicas.

Every router that reports is told the sums of all the others at once. Reports die
young; nothing here is agreed or kept. The same sums, smoothed, are what the split
of a pool goes by where replicas' own reports are not read.
"""

import mothshed.common.constants as constants
import mothshed.common.replica_load as replica_load


class UsageDuty:
    def __init__(self, member):
        self.member, self.desk = member, member.desk
        self.reports = {}  # router -> (when, Loads)
        self.smooth = {}  # replica -> [requests, tokens being read]
        self.smoothed_at = None
        self.shifting = {}  # replica -> until when an order keeps it away
        self.desk.hear("usage", self.on_usage, member.part)

    def on_usage(self, sender, body):
        member = self.member
        if not member.is_leader:
            fresh = member.leader and self.desk.now() - member.heard < constants.LEADER_FRESH
            self.desk.tell(
                sender,
                "look_elsewhere",
                part=member.part,
                mark=body["mark"],
                leader=member.place_of(member.leader) if fresh else "",
            )
            return
        self.reports[sender] = (self.desk.now(), replica_load.from_wire(body["rows"]))
        sums = replica_load.to_wire(self.sums(sender))
        self.desk.tell(sender, "usages", part=member.part, mark=body["mark"], rows=sums)

    def sums(self, but=""):
        """replica -> ReplicaLoad over all routers but one."""
        now, total = self.desk.now(), {}
        self.reports = {a: r for a, r in self.reports.items() if now - r[0] < constants.USAGE_LIFE}
        for sender, (at, rows) in self.reports.items():
            if sender == but:
                continue
            for name, load in rows.items():
                total.setdefault(name, replica_load.ReplicaLoad()).add(load, now - at)
        for name, until in list(self.shifting.items()):
            if until <= now:
                del self.shifting[name]
            else:
                kept_away = replica_load.ReplicaLoad(out_s=until - now)
                total.setdefault(name, replica_load.ReplicaLoad()).add(kept_away)
        return total

    def usage(self, name, role, slots):
        """(running, waiting, slots) as the split weighs them, smoothed over a second or two."""
        now = self.desk.now()
        if self.smoothed_at is None or now - self.smoothed_at > constants.USAGE_BEAT:
            keep = 0.0 if self.smoothed_at is None else 0.5 ** ((now - self.smoothed_at) / constants.USAGE_HALF)
            sums = {name: (load.requests, sum(load.reading)) for name, load in self.sums().items()}
            self.smooth = {
                n: [keep * self.smooth.get(n, [0, 0])[k] + (1 - keep) * sums.get(n, [0, 0])[k] for k in (0, 1)]
                for n in {*self.smooth, *sums}
            }
            self.smoothed_at = now
        run, tokens = self.smooth.get(name, (0, 0))
        if role == "prefill":
            return tokens / constants.READ_PACE, 0, constants.READ_FULL
        return run, 0, constants.RUN_FULL * slots
