"""A delivered request's wait for a place, and what it says if there is none."""

import dataclasses

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.replica_pair as replica_pair
import mothshed.data_plane.routes as routes
import mothshed.replicas.verdict as verdict


@dataclasses.dataclass(frozen=True)
class PlacementFailure:
    """Why a request has no place now, and after how many seconds its caller may come again."""

    reason: str
    retry_after_s: float


class PlacementWait:
    """The part of Delivery that finds a pair of places."""

    def take_place(self, alone: bool) -> replica_pair.ReplicaPair:
        """A pair of places; waits a little for one. Raises SendFailure if there is none, Rejection without a route."""
        until = min(self.ask.cutoff, self.environment.now() + self.ask.patience)
        while True:
            self.stop_if_caller_left()
            self.take_permit(until)
            found = self.try_place(alone)
            if isinstance(found, replica_pair.ReplicaPair):
                return found
            if self.environment.now() >= until:
                self.retry = found.retry_after_s
                self.give_in(found.reason)
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def take_permit(self, until: float) -> None:
        """Take the permit that this request needs of its tenant, once; raises Rejection if there is none."""
        if not self.lacks_permit():
            return
        tenant = self.ask.identity.tenant
        sequence, document = self.router.lease.current()
        if sequence is None:
            return
        row = document["tenants"].get(tenant)
        if row is not None:
            self.router.permits.take(tenant, row, sequence, until, self.ask.caller)
            self.permitted = tenant

    def lacks_permit(self) -> bool:
        """Whether a permit of its tenant is still to be taken: one for the whole request, however often it is sent."""
        tenant = self.ask.identity.tenant if self.ask.identity else None
        return tenant is not None and tenant != self.permitted and not self.decodes

    def try_place(self, alone: bool) -> replica_pair.ReplicaPair | PlacementFailure:
        """A pair of places under the lease that runs now, if any; raises Rejection without a route or a known key."""
        sequence, document = self.router.lease.current()
        if sequence is None:
            return PlacementFailure("no lease", constants.NO_LEASE_RETRY_AFTER_S)
        table = self.router.tables.of(sequence, document)
        route = table.match(self.ask.host, self.ask.target)
        if route is None:
            raise verdict.Rejection(404, "no route")
        self.route = route
        known = self.ask.identity = identity.identify(document, table.keys, route, self.ask.key_digest)
        self.ask.urgency = identity.request_urgency(document, route, known) if known else None
        if self.lacks_permit():
            return PlacementFailure("no permit", constants.PERMIT_RETRY_AFTER_S)
        pool = routes.pool_of(route, self.environment.random)
        self.selector = document["pools"][pool]["selector"]
        try:
            pair = self.router.placement.reserve_pair(sequence, document, pool, self.ask, self.without, alone)
        except replica_pair.QueueFull as full:
            return PlacementFailure("queues are full", max(constants.MIN_QUEUE_FULL_RETRY_AFTER_S, full.excess_s))
        return pair or PlacementFailure("no replica", constants.ROUTE_RETRY_AFTER_S)

    def note_late(self) -> None:
        """Count an answer that begins past its aim, by the stage that took longest."""
        aim_s = self.ask.route.get("aim_s")
        if aim_s is None or self.last is not None or self.environment.now() - self.ask.born <= aim_s:
            return
        longest = self.times.longest()
        if longest:
            self.router.journal.add("late", outcome=longest.value, request=self.ask.id)

    def note_event(self) -> None:
        """Count the time from the last event to this one: it tells how many requests a writer carries."""
        now = self.environment.now()
        self.router.placement.event_times.add(self.pair.decode_replica.name, 1.0, now - self.event_at)
        self.event_at = now

    def note_pauses(self) -> None:
        """Count a stream that stood still for longer than its route allows, by where it did."""
        for cause in self.pauses.causes:
            self.router.journal.add("late", outcome=cause.value, request=self.ask.id)
