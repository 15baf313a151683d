"""The leader of a service's part adds up what routers have running at its replicas.

Every router that reports is told the sums of all the others at once. Reports die
young; nothing here is agreed or kept. The same sums, smoothed, are what the split
of a pool goes by where replicas' own reports are not read.
"""

import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.decode_capacity as decode_capacity
import mothshed.control_plane.load_sums as load_sums
import mothshed.replicas.replica_load as replica_load


class LoadTask:
    def __init__(self, member, service_of=lambda name: ""):
        self.member, self.environment = member, member.environment
        self.service_of = service_of  # replica -> its service
        self.capacities = {}  # service -> DecodeCapacity
        self.reports = load_sums.LoadSums(self.environment.now)
        self.smooth = {}  # replica -> [requests, tokens being read]
        self.smoothed_at = None
        self.shifting = {}  # replica -> until when an order keeps it away
        self.environment.subscribe("usage", self.on_usage, member.part)

    def on_usage(self, sender, body):
        member = self.member
        if not member.is_leader:
            fresh = member.leader and self.environment.now() - member.last_contact < constants.LEADER_HINT_MAX_AGE_S
            self.environment.send(
                sender,
                "look_elsewhere",
                part=member.part,
                mark=body["mark"],
                leader=member.address_of(member.leader) if fresh else "",
            )
            return
        self.reports.take(sender, replica_load.from_wire(body["rows"]))
        sums = {name: load.placing_wire() for name, load in self.sums(sender).items()}
        self.environment.send(sender, "usages", part=member.part, mark=body["mark"], rows=sums)

    def sums(self, but=""):
        """replica -> ReplicaLoad over all routers but one, and what orders keep away; not to be changed."""
        now, total = self.environment.now(), self.reports.without(but)
        self.shifting = {name: until for name, until in self.shifting.items() if until > now}
        for name, until in self.shifting.items():
            load = total.get(name) or replica_load.ReplicaLoad()
            total[name] = dataclasses.replace(load, out_s=max(load.out_s, until - now))
        return total

    def split_load(self, name, role, slots):
        """(running, waiting, slots) as the split weighs them, smoothed over a second or two."""
        now = self.environment.now()
        if self.smoothed_at is None or now - self.smoothed_at > constants.LOAD_REPORT_INTERVAL_S:
            keep = 0.0 if self.smoothed_at is None else 0.5 ** ((now - self.smoothed_at) / constants.LOAD_HALF_LIFE_S)
            loads = self.sums()
            sums = {name: (load.requests, sum(load.reading)) for name, load in loads.items()}
            self.smooth = {
                n: [keep * self.smooth.get(n, [0, 0])[k] + (1 - keep) * sums.get(n, [0, 0])[k] for k in (0, 1)]
                for n in {*self.smooth, *sums}
            }
            self.smoothed_at = now
            self.observe_writers(loads)
        run, tokens = self.smooth.get(name, (0, 0))
        if role == "prefill":
            return tokens / constants.PREFILL_TOKENS_PER_S, 0, constants.PREFILL_FULL_QUEUE_S
        return run, 0, self.capacity(name).full_at(slots)

    def capacity(self, name: str) -> decode_capacity.DecodeCapacity:
        """What the writers of a replica's service carry."""
        return self.capacities.setdefault(self.service_of(name), decode_capacity.DecodeCapacity(self.environment.now))

    def observe_writers(self, loads: replica_load.Loads) -> None:
        """Take what the events of running streams tell, one sample for each replica with enough of them."""
        samples: dict[str, list[tuple[float, float]]] = {}
        for name, load in loads.items():
            if load.events >= constants.MIN_CAPACITY_EVENTS:
                sample = (self.smooth[name][0], load.events_s / load.events)
                samples.setdefault(self.service_of(name), []).append(sample)
        for service, rows in samples.items():
            self.capacities.setdefault(service, decode_capacity.DecodeCapacity(self.environment.now)).observe(rows)
