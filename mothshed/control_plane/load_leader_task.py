"""Sums up what routers have running at the replicas of a service part; done by the part's leader.

Each router that reports gets the sums of all other routers in reply. Reports expire quickly; nothing is replicated or
stored. Where the replicas' own load reports aren't read, the split of a pool uses the same sums, smoothed.
"""

import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.decode_capacity as decode_capacity
import mothshed.control_plane.load_sums as load_sums
import mothshed.replicas.replica_load as replica_load


class LoadLeaderTask:
    """Collects the load reports of routers and answers each with the sums of the others."""

    def __init__(self, member, service_of=lambda name: ""):
        self.member, self.environment = member, member.environment
        self.service_of = service_of  # replica -> service
        self.capacities = {}  # service -> DecodeCapacity
        self.reports = load_sums.LoadSums(self.environment.now)
        self.smoothed = {}  # replica -> [requests, prompt tokens in prefill]
        self.smoothed_at = None
        self.changing_until = {}  # replica -> until when it is excluded because of an order
        self.environment.subscribe("usage", self.on_usage, member.part)

    def on_usage(self, sender, body):
        member = self.member
        if not member.is_leader:
            recent = member.leader and self.environment.now() - member.last_contact < constants.LEADER_HINT_MAX_AGE_S
            self.environment.send(
                sender,
                "look_elsewhere",
                part=member.part,
                mark=body["mark"],
                leader=member.address_of(member.leader) if recent else "",
            )
            return
        self.reports.record(sender, replica_load.from_wire(body["rows"]))
        sums = {name: load.to_router_wire() for name, load in self.sums(sender).items()}
        self.environment.send(sender, "usages", part=member.part, mark=body["mark"], rows=sums)

    def sums(self, except_router=""):
        """Return the load by replica over all routers except one, with exclusions for orders. Not to be modified."""
        now, total = self.environment.now(), self.reports.totals_without(except_router)
        self.changing_until = {name: until for name, until in self.changing_until.items() if until > now}
        for name, until in self.changing_until.items():
            load = total.get(name) or replica_load.ReplicaLoad()
            total[name] = dataclasses.replace(load, out_s=max(load.out_s, until - now))
        return total

    def split_load(self, name, role, slots):
        """Return the smoothed load (running, waiting, slots) that the split uses.

        A prefill replica's load is the time that its prompt tokens take, out of PREFILL_FULL_QUEUE_S.
        """
        now = self.environment.now()
        if self.smoothed_at is None or now - self.smoothed_at > constants.LOAD_REPORT_INTERVAL_S:
            decay = 0.0 if self.smoothed_at is None else 0.5 ** ((now - self.smoothed_at) / constants.LOAD_HALF_LIFE_S)
            loads = self.sums()
            sums = {name: (load.requests, sum(load.reading)) for name, load in loads.items()}
            self.smoothed = {
                n: [decay * self.smoothed.get(n, [0, 0])[k] + (1 - decay) * sums.get(n, [0, 0])[k] for k in (0, 1)]
                for n in {*self.smoothed, *sums}
            }
            self.smoothed_at = now
            self.observe_decode_replicas(loads)
        run, tokens = self.smoothed.get(name, (0, 0))
        if role == "prefill":
            return tokens / constants.PREFILL_TOKENS_PER_S, 0, constants.PREFILL_FULL_QUEUE_S
        return run, 0, self.capacity(name).full_at(slots)

    def capacity(self, name: str) -> decode_capacity.DecodeCapacity:
        """Return what the decode replicas of this replica's service can serve."""
        return self.capacities.setdefault(self.service_of(name), decode_capacity.DecodeCapacity(self.environment.now))

    def observe_decode_replicas(self, loads: replica_load.Loads) -> None:
        """Add one sample of time between stream events for each replica that has enough events."""
        samples: dict[str, list[tuple[float, float]]] = {}
        for name, load in loads.items():
            if load.events >= constants.MIN_CAPACITY_EVENTS:
                sample = (self.smoothed[name][0], load.events_s / load.events)
                samples.setdefault(self.service_of(name), []).append(sample)
        for service, rows in samples.items():
            self.capacities.setdefault(service, decode_capacity.DecodeCapacity(self.environment.now)).observe(rows)
