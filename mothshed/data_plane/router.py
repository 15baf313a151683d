"""The router process: builds its components and keeps the state that they share."""

import contextlib
import threading
import typing

import mothshed.configuration.lease as lease_module
import mothshed.constants as constants
import mothshed.data_plane.admission as admission
import mothshed.data_plane.backup_releases as backup_releases
import mothshed.data_plane.handle_releases as handle_releases
import mothshed.data_plane.load_reporter as load_reporter
import mothshed.data_plane.permits as permits
import mothshed.data_plane.placement as placement
import mothshed.data_plane.retry_budget as retry_budget
import mothshed.data_plane.route_front as route_front
import mothshed.data_plane.router_front as router_front
import mothshed.data_plane.routes as routes
import mothshed.http.caller as caller_module
import mothshed.http.http_server as http_server
import mothshed.replicas.known_replicas as replicas_module
import mothshed.replicas.leaders as leaders
import mothshed.replicas.listed_replicas as listed_replicas
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import mothshed.runtime.constants as runtime_constants
import mothshed.runtime.counters as counters
import mothshed.runtime.journal as journal_module
import mothshed.runtime.stop_schedule as stop_schedule
import mothshed.transport.gossip as gossip


class Router:
    """One router: its configuration lease, known replicas, admission, retry budget, and requests in flight."""

    def __init__(self, environment, settings, replica_protocol=None):
        """replica_protocol: an adapter to another replica protocol; its requests are delivered by routes."""
        self.environment, self.settings, self.replica_protocol = environment, settings, replica_protocol
        self.zone = settings["cell"]
        self.journal = journal_module.Journal(environment.now)
        self.totals = self.journal.view(journal_module.Totals())
        self.counters_report = counters.CountersReport(environment, self.totals, environment.figures)
        self.replicas = (
            listed_replicas.ListedReplicas(
                environment,
                settings["list_url"],
                self.journal,
                replica_protocol,
                lambda: self.gossip.keeper_addresses(),
            )
            if replica_protocol
            else replicas_module.Replicas(environment, settings["list_url"], self.journal)
        )
        self.gossip = gossip.Gossip(environment, settings["name"], "route", self.zone, settings["seeds"], self.replicas)
        self.replicas.router_count = self.gossip.estimate_router_count
        self.server = None
        self.lease = lease_module.Lease(environment, self.gossip.keeper_addresses, self.apply_limits)
        self.admission = admission.Admission(environment)
        self.retry_budget = retry_budget.RetryBudget(
            environment, self.gossip.neighbouring_routers, settings.get("slack", 0.0), self.gossip.estimate_router_count
        )
        self.handle_releases = handle_releases.HandleReleases(
            environment, self.journal, (replica_protocol or replica_adapter).release_handle
        )
        self.placement = placement.Placement(environment, self.replicas, self.zone)
        self.tables = routes.RouteTables()
        self.leaders = (
            self.replicas.leaders if replica_protocol else leaders.Leaders(environment, self.gossip.keeper_addresses)
        )
        self.permits = permits.Permits(environment, self.leaders, self.journal)
        if replica_protocol:
            self.load_reporter = load_reporter.LoadReporter(environment, self.replicas, self.placement)
        self.backup_releases = backup_releases.BackupReleases(
            environment, self.gossip, self.handle_releases, self.journal
        )
        self.in_flight = 0
        self.handles_waiting = 0  # KV handles whose requests wait for a free decode slot
        self.stopping = self.leaving = self.cutting = False
        self.accept_until = float("inf")  # no request is taken later, on the environment's clock
        self.stop_progress: typing.Callable[[], dict[str, float] | None] = lambda: None
        self.lock = threading.Lock()

    def run(self):
        """Start the background tasks."""
        self.replicas.run()
        self.environment.spawn(self.handle_releases.run)
        self.counters_report.run()

    @contextlib.contextmanager
    def waiting_for_decode(self):
        """Count one KV handle that waits for a decode slot; while there is one, no new prompt is admitted here."""
        with self.lock:
            self.handles_waiting += 1
        try:
            yield
        finally:
            with self.lock:
                self.handles_waiting -= 1

    def begin_request(self):
        """Count one more request in flight; False once this router takes no new requests."""
        with self.lock:
            if self.stopping or self.environment.now() >= self.accept_until:
                return False
            self.in_flight += 1
            return True

    def end_request(self):
        """Count one request less in flight."""
        with self.lock:
            self.in_flight -= 1

    def wait_for_lease(self, caller: caller_module.Caller) -> tuple[int | None, dict[str, typing.Any] | None]:
        """Wait briefly for a lease; return its sequence (None without one) and document. Raises CallerDisconnected."""
        deadline = self.environment.now() + constants.DELIVERY_LEASE_TIMEOUT_S
        while self.lease.sequence() is None and self.environment.now() < deadline and not caller.has_disconnected():
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
        if caller.has_disconnected():
            raise verdict.CallerDisconnected()
        return self.lease.current()

    def begin_stop(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> None:
        """Take new requests until `accept_s` after the time of the signal only, and tell that this router leaves."""
        self.stop_progress = lambda: schedule.progress(self.environment.now() - begun_at)
        self.accept_until = begun_at + schedule.accept_s
        self.leaving = True

    def drain(self, schedule: stop_schedule.StopSchedule, begun_at: float) -> bool:
        """Complete the work, and cut what takes too long; return whether all of it was completed.

        begun_at: time of the signal. New requests are taken until `accept_s` after it; returns by `exit_s` after it.
        """
        self.begin_stop(schedule, begun_at)
        self.environment.sleep(max(0.0, self.accept_until - self.environment.now()))
        with self.lock:
            self.stopping = True
        if self.wait_until_idle(begun_at + schedule.cut_s):
            return True
        self.cut_requests()
        self.wait_until_idle(begun_at + schedule.exit_s)
        return False

    def wait_until_idle(self, deadline: float) -> bool:
        """Wait until no work is in progress, up to a time of the environment's clock; return whether none is."""
        while self.is_busy():
            if self.environment.now() >= deadline:
                return False
            self.environment.sleep(runtime_constants.STOP_CHECK_INTERVAL_S)
        return True

    def cut_requests(self) -> None:
        """End the requests in progress, at their replicas too; their user agents see an incomplete response."""
        self.cutting = True
        if self.server is not None:
            self.server.cancel_requests()

    def is_busy(self):
        """Whether a request or its response is in progress, or a handle release is pending."""
        return (
            self.in_flight > 0
            or self.handle_releases.count_pending() > 0
            or self.server is not None
            and self.server.has_active_exchange()
        )

    def ready(self):
        """Whether this router should receive new clients."""
        return not self.leaving and self.lease.sequence() is not None and bool(self.replicas.rows)

    def apply_limits(self):
        """Apply the active configuration's limits on request headers and idle client connections."""
        limits = (self.lease.document() or {}).get("limits", {})
        if self.server and limits:
            self.server.max_request_header_size = limits.get("head_bytes", constants.MAX_HEADER_BYTES)
            self.server.set_idle_limit(limits.get("idle_s", constants.DEFAULT_IDLE_TIMEOUT_S))

    def condition(self):
        """Return the state of this router that the condition page shows."""
        sequence = self.lease.sequence()
        return {
            "name": self.settings["name"],
            "serving": sequence is not None and not self.stopping,
            "sequence": sequence,
            "active": self.lease.active,
            "staged": self.lease.staged,
            "flight": self.in_flight,
            "waiting": self.admission.queued_count(),
            "frees_left": self.handle_releases.count_pending(),
            "extra_sends_left": self.retry_budget.rounded_available(),
            "kept_for_neighbours": len(self.backup_releases.entries),
            "process": self.environment.figures(),
            "releases": self.environment.releases(),
            "neighbours": sorted(self.gossip.view),
            "replicas": sorted(self.replicas.usable({})),
            "leaving": sorted(self.replicas.leaving()),
            "stop": self.stop_progress(),
        }

    def front(self):
        """Make the HTTP server of this router; it is not yet serving."""
        app = route_front.RouteFront(self) if self.replica_protocol else router_front.CompletionsFront(self)
        self.server = http_server.Server(self.settings["http"], app, constants.MAX_SERVER_THREADS, lambda: self.leaving)
        self.apply_limits()
        return self.server
