"""Reports what this router has running at replicas to the parts' leaders, and receives what other routers have there.

Each service part has a leader among the keepers. A router periodically sends it what it has at that part's replicas
(requests, prompt tokens in prefill, exclusions) and gets the sums of all other routers back. The number of messages
thus grows with the number of routers rather than with routers times replicas. The sums are hints that only placement
uses; without them a router goes by what it knows itself.
"""

import mothshed.constants as constants
import mothshed.control_plane.parts as parts
import mothshed.replicas.replica_load as replica_load


class LoadReporter:
    """Exchanges load reports with the leaders of the service parts."""

    def __init__(self, environment, replicas, placement):
        self.environment, self.replicas, self.placement = environment, replicas, placement
        self.leaders = replicas.leaders
        self.last_active_at, self.mark = -1e9, 0
        for part in range(1, constants.PART_COUNT):
            environment.subscribe("usages", self.on_usages, part)
        environment.post(self.tick)

    def loads_by_part(self):
        """Return the load of each part's replicas by name, without replicas that have none."""
        found, now = {}, self.environment.now()
        with self.replicas.lock:
            for name, row in self.replicas.rows.items():
                part = found.setdefault(parts.part_of(row["service"]), {})
                out = (
                    max(0.0, self.replicas.suspected_until.get(name, 0) - now)
                    if name in self.replicas.consecutive_failures
                    else 0.0
                )
                outcomes = self.placement.outcomes.counts_of(name)
                load = replica_load.ReplicaLoad(
                    self.replicas.own_requests.get(name, 0),
                    out,
                    outcomes.answered,
                    outcomes.failed,
                    list(self.placement.backlog[name]),
                    *self.placement.event_times.of(name),
                )
                if load.has_values():
                    part[name] = load
        return found

    def tick(self):
        now = self.environment.now()
        try:
            self.report_loads(now)
        finally:
            busy = now - self.last_active_at < constants.IDLE_LOAD_REPORT_INTERVAL_S
            self.environment.call_later(
                constants.LOAD_REPORT_INTERVAL_S if busy else constants.IDLE_LOAD_REPORT_INTERVAL_S, self.tick
            )

    def report_loads(self, now: float) -> None:
        """Send the load of each part's replicas to the leader of the part."""
        rows = self.loads_by_part()
        if any(load.requests for loads in rows.values() for load in loads.values()):
            self.last_active_at = now
        for part, loads in rows.items():
            self.mark += 1
            self.environment.send(
                self.leaders.address_for(part), "usage", part=part, mark=self.mark, rows=replica_load.to_wire(loads)
            )

    def on_usages(self, sender, body):
        self.leaders.note_response(body["part"], sender)
        self.placement.update_remote_loads(body["part"], replica_load.from_wire(body["rows"]))
