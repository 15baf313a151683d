"""Sends of one delivered request to replicas: the checks before them, and the handling of their failures.

Immediately before a send the configuration lease is checked again, with the sequence that the pair was chosen under.
Sends after the first draw on the retry budget. A timeout alone does not exclude a replica: one that still accepts
connections is only busy.
"""

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.replica_pair as replica_pair
import mothshed.data_plane.routes as routes
import mothshed.http.http_client as http_client
import mothshed.replicas.verdict as verdict

NOT_RUN = verdict.Verdict.NOT_RUN


class DeliverySends:
    """The part of Delivery that talks to replicas."""

    def send_check(self, role):
        """The last check before a send: the plan is current, the replica stays, and the caller is connected."""
        replica = self.pair.prefill_replica if role == "prefill" else self.pair.decode_replica

        def ready():
            if not self.plan_is_current() or not self.is_available(replica):
                return False
            if self.environment.now() >= self.request.deadline:  # a slow connect, or this process was suspended
                return False
            if self.request.caller.has_disconnected():
                return False
            self.record_late_work("sent_after_caller_left", role)
            if not (self.counts.prefills or self.counts.decodes):
                self.router.retry_budget.record_request()
            self.prepaid -= min(self.prepaid, self.counts.is_extra(role))
            self.counts.add(role)
            return True

        return ready

    def raise_if_caller_left(self) -> None:
        """Raise CallerDisconnected if the caller disconnected: a failure then says nothing about the replica."""
        if self.request.caller.has_disconnected():
            raise verdict.CallerDisconnected()

    def record_late_work(self, kind: str, stage: str) -> None:
        """Count work done more than CLIENT_DISCONNECT_GRACE_S after the caller disconnected."""
        disconnected_at = self.request.caller.disconnected_at()
        if (
            disconnected_at is not None
            and self.environment.now() - disconnected_at > constants.CLIENT_DISCONNECT_GRACE_S
        ):
            self.router.journal.add(kind, outcome=stage, request=self.request.id)

    def is_available(self, replica):
        """Whether a replica is still listed and not leaving."""
        return replica.name in self.router.replicas.rows and replica.name not in self.router.replicas.leaving()

    def replace_leaving_decode(self):
        """Choose another decode replica for the handle if the first one started to leave during the prefill."""
        pair = self.pair
        if not self.is_available(pair.decode_replica):
            self.router.placement.replace_decode_replica(pair, self.selector, self.excluded)

    def plan_is_current(self) -> bool:
        """Whether a lease is valid under which the request goes to the pool of its pair and comes from the same tenant.

        A configuration change that does not affect the request's route and key does not repeat the prefill.
        """
        sequence, document = self.router.lease.current()
        if sequence is None:
            return False
        if sequence != self.pair.sequence:
            table = self.router.tables.table_for(sequence, document)
            newer_route = table.match(self.request.host, self.request.target)
            if not routes.plan_is_current(self.route, newer_route, self.pair.pool, self.selector, document):
                return False
            if not identity.is_current(
                self.request.identity, document, table.keys, newer_route, self.request.key_digest
            ):
                return False
            self.pair.sequence = sequence
        return True

    def wait_for_lease(self) -> None:
        """After a prefill, wait up to DELIVERY_LEASE_TIMEOUT_S for an expired lease to be renewed."""
        deadline = self.environment.now() + min(self.remaining_s(), constants.DELIVERY_LEASE_TIMEOUT_S)
        while self.router.lease.sequence() is None and self.environment.now() < deadline:
            self.raise_if_caller_left()
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def authorize_attempt(self, pair: replica_pair.ReplicaPair) -> None:
        """Charge all sends of an attempt to the retry budget, so that no prefill is made without its decode."""
        if not self.counts.counted:  # its first decode, and a prefill before it, cost nothing
            return
        self.charge(self.counts.is_extra("decode") + (pair.prefill_replica is not None and self.counts.prefills > 0))

    def authorize_send(self, role):
        """Charge a send after the first to the retry budget; raises SendFailure if it or the tries are used up."""
        if role == "decode" and self.counts.tries() >= self.route["tries"]:
            self.abandon("as many replicas were asked as the route allows")
        self.charge(int(self.counts.is_extra(role)))

    def charge(self, count: int) -> None:
        """Have this number of extra sends paid for; raises SendFailure if the retry budget is spent."""
        if not self.pay(count):
            self.abandon("retry budget is spent")

    def pay(self, count: int) -> bool:
        """Have this number of extra sends paid for, and return whether they are; those not written stay paid for."""
        missing = count - self.prepaid
        if missing > 0:
            if not self.router.retry_budget.take_or_borrow(missing):
                return False
            self.prepaid: int = count
        return True

    def has_prefill_replica(self):
        """Whether the request's pool has a usable prefill replica that is not excluded."""
        return any(name not in self.excluded for name in self.router.replicas.usable(self.selector, "prefill"))

    def suspect_replica(self, error, replica):
        """Exclude a replica after a failed connection or a broken response; after a timeout probe it first."""
        if "Timeout" in error.reason and error.verdict is not NOT_RUN:
            self.environment.spawn(lambda: self.probe_connection(replica))
        elif error.verdict is not NOT_RUN or error.reason.startswith(("NewConnection", "ConnectTimeout")):
            self.router.replicas.mark_failed(replica.name)

    def probe_connection(self, replica):
        """Exclude a replica that timed out if it does not accept a connection; otherwise it is only busy."""
        try:
            self.environment.kept.check_connects(replica.url.removeprefix("http://"))
        except http_client.ExchangeError:
            self.router.replicas.mark_failed(replica.name)

    def prefill(self, pair):
        """The handle of the exported KV memory, or None if the decode replica has to prefill the prompt itself."""
        started_at, name, uncached_tokens = self.environment.now(), pair.prefill_replica.name, pair.uncached_tokens
        read_timeout_s = min(
            max(constants.PREFILL_TIMEOUT_RATIO * pair.expected_prefill_s, constants.MIN_PREFILL_TIMEOUT_S),
            constants.MAX_PREFILL_TIMEOUT_S,
            self.remaining_s(),
        )
        try:
            self.authorize_send("prefill")
            urgency = identity.urgency_for_replica(self.request.urgency, pair.rank)
            handle = self.protocol.prefill(
                self.environment,
                self.request,
                pair.prefill_replica,
                self.remaining_s(),
                read_timeout_s,
                self.send_check("prefill"),
                urgency,
                self.on_prefill_silence,
            )
        except verdict.SendFailure as error:
            if error.reason == http_client.NOT_READY or self.ended:
                raise
            self.raise_if_caller_left()
            self.failures.append(error)
            if error.verdict is verdict.Verdict.RAN:
                raise
            self.router.journal.add(
                "send_failed", outcome="prefill", replica=name, reason=error.reason, request=self.request.id
            )
            if error.replica:
                self.excluded.add(error.replica)
                if self.counts.prefills == 1 and self.counts.counted == 0:
                    self.counts.counted += 1  # a first prefill that was not accepted counts after all
                    self.counts.rejected_prefills += error.rejected
                self.suspect_replica(error, pair.prefill_replica)
                self.router.placement.prefix_cache.forget(name)
            return None
        finally:
            self.router.placement.finish_prefill(pair)
        self.router.placement.prefix_cache.add(name, self.request.parts)
        self.router.placement.record_prefill(
            name, uncached_tokens, pair.queued_tokens, self.environment.now() - started_at
        )
        self.router.replicas.mark_succeeded(name)
        return handle

    def first_event_timeout(self):
        """Seconds until the first event, after which a repeatable request is also sent to another replica."""
        if self.repeatable and self.counts.tries() + 1 < self.route["tries"]:
            local_prefill_s = (
                self.request.tokens / constants.PREFILL_TOKENS_PER_S / constants.DECODE_PREFILL_RATIO
                if not self.handle
                else 0.0
            )
            return min(self.remaining_s(), constants.FIRST_EVENT_TIMEOUT_S + 2 * local_prefill_s)
        return self.remaining_s()

    def may_prefill_locally(self, error: verdict.SendFailure, pair: replica_pair.ReplicaPair) -> bool:
        """Whether a decode replica that rejected a handle may be sent the prompt instead, to prefill it itself.

        The replica proved that nothing ran, and it is not known to be full: so the KV memory could not be
        fetched, for instance because handles expire early. As no further replica is involved, the tries of the route
        allow it; it is charged to the retry budget.
        """
        if not (self.handle and error.rejected and error.verdict is NOT_RUN):
            return False
        name = pair.decode_replica.name
        row = self.router.replicas.rows.get(name)
        has_room = row is not None and self.router.placement.running(name) <= row["slots"]
        return has_room and self.is_available(pair.decode_replica) and self.pay(1)

    def drop_handle(self, error: verdict.SendFailure) -> None:
        """Release the KV memory after its transfer failed, and do not count the failed send as a try."""
        self.failures.append(error)
        self.router.handle_releases.enqueue(self.handle)
        self.handle = None
        self.counts.decodes -= 1  # the tries of the route count replicas, and the next send goes to the same one
        self.router.journal.add(
            "send_failed", outcome="hand_over", replica=error.replica, reason=error.reason, request=self.request.id
        )

    def read_body(self, reply, name):
        try:
            return reply.all()
        except http_client.ExchangeError as error:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(error), name) from error
