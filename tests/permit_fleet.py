"""A simulated fleet whose routers take permits of one tenant, and the outcomes of its requests."""

import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.parts as parts
import mothshed.replicas.verdict as verdict
import tools.fleet as real_fleet
import tools.simulator.fleet as sim

TENANT = "dispatch"
PART = parts.part_of(TENANT)
WAIT_TIMEOUT_S = 2.0  # s; how long a request waits for its permit


@dataclasses.dataclass(frozen=True)
class Outcome:
    """The outcome of one request: 200 with a permit, or the status of its rejection."""

    arrived_at: float
    ended_at: float
    status: int


class PermitFleet:
    """rate, burst: the tenant's limit. Keepers use a window of 1 s and no excess."""

    def __init__(self, seed, rate, burst, routers):
        self.fleet = sim.SimFleet(seed, routers=routers, replicas=2)
        self.rate, self.burst, self.rows = rate, burst, []
        body = real_fleet.document(self.fleet.deployment, note="first")
        body["tenants"][TENANT].update(rate_per_s=rate, burst=burst)
        self.fleet.ready(body=body)
        self.fleet.run(constants.PERMIT_LEADER_NOTICE_TTL_S + burst / rate)  # the bucket is full

    def request(self, router):
        """Send one request to this router now, if it runs."""
        machine = self.fleet.machines[router]
        if machine.alive:
            self.fleet.loop.spawn(machine, lambda: self.take(router))

    def take(self, router):
        loop, part = self.fleet.loop, self.fleet.processes[router]
        arrived_at, now = loop.time, part.environment.now()
        sequence, document = part.lease.current()
        if sequence is None:
            return
        status = 200
        try:
            part.permits.take(TENANT, document["tenants"][TENANT], sequence, now + WAIT_TIMEOUT_S)
        except verdict.Rejection as rejection:
            status = rejection.status
        self.rows.append(Outcome(arrived_at, loop.time, status))

    def load(self, rate, seconds):
        """Send so many requests a second, evenly spaced, each to a random router."""
        names = self.fleet.names("route")
        for number in range(int(rate * seconds)):
            name = self.fleet.random.choice(names)
            self.fleet.call_later(number / rate, lambda name=name: self.request(name))

    def count(self, status):
        return sum(row.status == status for row in self.rows)

    def max_excess(self, window_s):
        """Return by how many requests the worst window exceeds the limit; counts those sent and granted within it."""
        granted = [row for row in self.rows if row.status == 200]
        allowed = self.rate * window_s + self.burst
        return max(
            sum(one.arrived_at >= first.arrived_at and one.ended_at <= first.arrived_at + window_s for one in granted)
            - allowed
            for first in granted
        )
