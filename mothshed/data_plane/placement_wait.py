"""Waits for replicas and a permit for a delivered request, and counts late responses."""

import dataclasses

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.replica_pair as replica_pair
import mothshed.data_plane.routes as routes
import mothshed.replicas.verdict as verdict


@dataclasses.dataclass(frozen=True)
class PlacementFailure:
    """Why no replicas are available for a request, and when its caller may retry.

    The reason is also the outcome label of the refusal metric.
    """

    reason: str
    retry_after_s: float


class PlacementWait:
    """The part of Delivery that reserves a pair of replicas."""

    def wait_for_pair(self, decode_only: bool) -> replica_pair.ReplicaPair:
        """Wait for a pair up to the placement timeout; raises SendFailure if there is none, Rejection if no route."""
        deadline = min(self.request.deadline, self.environment.now() + self.request.placement_timeout_s)
        while True:
            self.raise_if_caller_left()
            self.acquire_permit(deadline)
            result = self.try_reserve_pair(decode_only)
            if isinstance(result, replica_pair.ReplicaPair):
                return result
            if self.environment.now() >= deadline:
                self.retry_after_s = result.retry_after_s
                self.abandon(result.reason)
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def acquire_permit(self, deadline: float) -> None:
        """Acquire the permit of the tenant that this request needs, once; raises Rejection if there is none."""
        if not self.needs_permit():
            return
        tenant = self.request.identity.tenant
        sequence, document = self.router.lease.current()
        if sequence is None:
            return
        tenant_config = document["tenants"].get(tenant)
        if tenant_config is not None:
            self.router.permits.take(tenant, tenant_config, sequence, deadline, self.request.caller)
            self.permitted_tenant = tenant

    def needs_permit(self) -> bool:
        """Whether the permit of its tenant is still missing: a request needs one, however often it is sent."""
        tenant = self.request.identity.tenant if self.request.identity else None
        return tenant is not None and tenant != self.permitted_tenant and not self.counts.decodes

    def try_reserve_pair(self, decode_only: bool) -> replica_pair.ReplicaPair | PlacementFailure:
        """A pair under the current lease, if there is one; raises Rejection without a route or a known key."""
        sequence, document = self.router.lease.current()
        if sequence is None:
            return PlacementFailure("no lease", constants.NO_LEASE_RETRY_AFTER_S)
        table = self.router.tables.table_for(sequence, document)
        route = table.match(self.request.host, self.request.target)
        if route is None:
            raise verdict.Rejection(404, "no route")
        self.adopt_route(route)
        caller_identity = self.request.identity = identity.identify(
            document, table.keys, route, self.request.key_digest
        )
        self.request.urgency = identity.request_urgency(document, route, caller_identity) if caller_identity else None
        if self.needs_permit():
            return PlacementFailure("no permit", constants.PERMIT_RETRY_AFTER_S)
        pool = routes.choose_pool(route, self.environment.random)
        self.selector = document["pools"][pool]["selector"]
        try:
            pair = self.router.placement.reserve_pair(
                sequence, document, pool, self.request, self.excluded, decode_only
            )
        except replica_pair.QueueFull as error:
            return PlacementFailure("queues are full", max(constants.MIN_QUEUE_FULL_RETRY_AFTER_S, error.excess_s))
        return pair or PlacementFailure("no replica", constants.ROUTE_RETRY_AFTER_S)

    def adopt_route(self, route: routes.Route) -> None:
        """Go by the route of the newest document; raises SendFailure if that allows no further run of the request."""
        same_kind = route["kind"] == self.route["kind"]
        self.repeatable = self.repeatable and same_kind and routes.is_repeatable(route)
        self.route = route
        if self.may_have_run and not self.repeatable:
            self.abandon("the route allows no further run")

    def record_late_start(self) -> None:
        """Count a response that starts later than its aim, by the stage that took longest."""
        aim_s = self.request.route.get("aim_s")
        if aim_s is None or self.last_event_id is not None or self.environment.now() - self.request.arrived_at <= aim_s:
            return
        longest = self.stage_times.longest()
        if longest:
            self.router.journal.add("late", outcome=longest.value, request=self.request.id)

    def record_event_interval(self) -> None:
        """Record the time since the last event, from which the capacity of a decode replica is estimated."""
        now = self.environment.now()
        self.router.placement.event_times.add(self.pair.decode_replica.name, 1.0, now - self.last_event_at)
        self.last_event_at = now

    def interruption_reason(self) -> str:
        """Why a broken stream was not resumed."""
        if self.ended:
            return self.failures[-1].reason
        if not self.can_resume():
            return "stream may not be resumed"
        if self.environment.now() >= self.last_start_at():
            return "no time is left"
        return "no try is left"

    def record_long_pauses(self) -> None:
        """Count a stream that paused for longer than its route allows, by the cause."""
        for cause in self.pauses.causes:
            self.router.journal.add("late", outcome=cause.value, request=self.request.id)
