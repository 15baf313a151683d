"""What this router has running at replicas, told to one holder; what others have, told back.

Each service's part has an owner among the keepers. To it a router says, every beat,
what it has at that part's replicas (requests, prompt tokens being read, who is out),
and is told the sums of all other routers. So the number of messages grows with the
routers, not with routers times replicas. A hint only: nothing is decided by it but
where to place, and without it a router goes by what it knows itself.
"""

import mothshed.common.constants as constants
import mothshed.control_plane.parts as parts


class UsageShare:
    def __init__(self, desk, replicas, placing, keepers):
        self.desk, self.replicas, self.placing, self.keepers = desk, replicas, placing, keepers
        self.owners, self.mark, self.turn = {}, 0, 0
        self.sent = {}          # part -> (mark, when it was asked and not answered yet)
        self.busy_at = -1e9
        for kind in ("usages", "look_elsewhere"):
            for part in range(1, constants.PARTS):
                desk.hear(kind, getattr(self, "on_" + kind), part)
        desk.post(self.tick)

    def rows(self):
        """part -> {replica: [requests, s it stays out, tokens being read by rank ...]}."""
        found, now = {}, self.desk.now()
        with self.replicas.lock:
            for name, row in self.replicas.rows.items():
                part = found.setdefault(parts.part_of(row["service"]), {})
                out = max(0.0, self.replicas.doubts.get(name, 0) - now) if name in self.replicas.fails else 0.0
                own = [self.replicas.mine.get(name, 0), round(out, 2), *self.placing.reading[name]]
                if any(own):
                    part[name] = own
        return found

    def tick(self):
        now, rows = self.desk.now(), self.rows()
        if any(rows.values()):
            self.busy_at = now
        for part, own in rows.items():
            mark, since = self.sent.get(part, (0, None))
            if since is not None and now - since > constants.USAGE_SILENT:
                self.owners.pop(part, None)
            goal = self.owners.get(part) or self.any_keeper()
            self.mark += 1
            self.sent[part] = (self.mark, now if since is None else since)
            self.desk.tell(goal, "usage", part=part, mark=self.mark, rows=own)
        busy = now - self.busy_at < constants.USAGE_IDLE
        self.desk.beat(constants.USAGE_BEAT if busy else constants.USAGE_IDLE, self.tick)

    def any_keeper(self):
        known = sorted(set(self.keepers()))
        self.turn += 1
        return known[self.turn % len(known)] if known else ""

    def on_usages(self, sender, body):
        self.owners[body["part"]] = sender
        self.sent[body["part"]] = (0, None)
        self.placing.take_others(body["part"], body["rows"])

    def on_look_elsewhere(self, sender, body):
        if body["owner"]:
            self.owners[body["part"]] = body["owner"]
