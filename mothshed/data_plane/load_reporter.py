"""What this router has running at replicas, told to one holder; what others have, told back.

Each service's part has a leader among the keepers. To it a router says, every beat,
what it has at that part's replicas (requests, prompt tokens being read, who is out),
and is told the sums of all other routers. So the number of messages grows with the
routers, not with routers times replicas. A hint only: nothing is decided by it but
where to place, and without it a router goes by what it knows itself.
"""

import mothshed.constants as constants
import mothshed.control_plane.parts as parts
import mothshed.replicas.replica_load as replica_load


class LoadReporter:
    def __init__(self, environment, replicas, placing):
        self.environment, self.replicas, self.placing, self.leaders = environment, replicas, placing, replicas.leaders
        self.busy_at, self.mark = -1e9, 0
        for part in range(1, constants.PART_COUNT):
            environment.subscribe("usages", self.on_usages, part)
        environment.post(self.tick)

    def rows(self):
        """part -> {replica: ReplicaLoad}, of replicas of which there is anything to tell."""
        found, now = {}, self.environment.now()
        with self.replicas.lock:
            for name, row in self.replicas.rows.items():
                part = found.setdefault(parts.part_of(row["service"]), {})
                out = (
                    max(0.0, self.replicas.suspected_until.get(name, 0) - now)
                    if name in self.replicas.consecutive_failures
                    else 0.0
                )
                ended = self.placing.outcomes.of(name)
                own = replica_load.ReplicaLoad(
                    self.replicas.own_requests.get(name, 0),
                    out,
                    ended.answered,
                    ended.failed,
                    list(self.placing.reading[name]),
                    *self.placing.event_times.of(name),
                )
                if own.any():
                    part[name] = own
        return found

    def tick(self):
        now, rows = self.environment.now(), self.rows()
        if any(load.requests for own in rows.values() for load in own.values()):
            self.busy_at = now
        for part, own in rows.items():
            self.mark += 1
            self.environment.send(
                self.leaders.address_for(part), "usage", part=part, mark=self.mark, rows=replica_load.to_wire(own)
            )
        busy = now - self.busy_at < constants.IDLE_LOAD_REPORT_INTERVAL_S
        self.environment.call_later(
            constants.LOAD_REPORT_INTERVAL_S if busy else constants.IDLE_LOAD_REPORT_INTERVAL_S, self.tick
        )

    def on_usages(self, sender, body):
        self.leaders.note_response(body["part"], sender)
        self.placing.take_others(body["part"], replica_load.from_wire(body["rows"]))
