"""The sends of one request: prefill, then decode of the handle that the prefill returned.

Every send checks the configuration lease right before the write and carries its sequence.
A plan made under an older configuration is made anew under the newer one; this costs no
retry budget and rejects nothing. A send counts once it is written: one withheld by its
last check, or whose connection was never made, costs nothing. Each send has a unique id,
so that two requests with the same client-supplied id are never confused at a replica.
"""

import typing

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.plan as planning
import mothshed.http.http_client as http_client
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict

NOT_RUN = verdict.Verdict.NOT_RUN


class RequestSends:
    """The part of RequestExecution that sends to replicas."""

    def wait_for_configuration(self):
        """Return the sequence to send under and its document; wait briefly if the lease has just expired."""
        deadline = min(self.request.cutoff, self.environment.now() + constants.LEASE_WAIT_TIMEOUT_S)
        while True:
            self.stop_if_caller_left()
            sequence, document = self.router.lease.current()
            if sequence is not None:
                self.check_identity(sequence, document)
                return sequence, document
            if self.environment.now() >= deadline:
                raise verdict.SendFailure(NOT_RUN, "no lease")
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def check_identity(self, sequence: int, document: dict[str, typing.Any]) -> None:
        """Check under each newer configuration that the key still belongs to the tenant; end the request if not."""
        if sequence == self.identity_sequence:
            return
        request, keys = self.request, self.router.tables.table_for(sequence, document).keys
        try:
            found = identity.identify(document, keys, identity.NO_ROUTE, request.key_digest)
        except verdict.Rejection as rejection:
            self.reject(rejection)
        if found != request.identity:
            self.reject(
                verdict.Rejection(503, "the key's tenant has changed", constants.RETRY_AFTER_S, "tenant_changed")
            )
        self.identity_sequence = sequence

    def reject(self, rejection: verdict.Rejection) -> typing.NoReturn:
        """End the request: with this rejection, or as one that may have run if any of its sends may have run."""
        if self.may_have_run:
            self.failures.append(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, rejection.reason))
            self.raise_final_failure()
        self.chart.step("bounce")
        raise rejection

    def take_permit(self) -> None:
        """Take the one permit that a request of an authenticated tenant needs; raises Rejection, CallerDisconnected."""
        request = self.request
        if request.identity is None:
            return
        try:
            sequence, document = self.wait_for_configuration()
        except verdict.SendFailure as e:
            self.reject(verdict.Rejection(503, e.reason, constants.RETRY_AFTER_S, "no_lease"))
        deadline = min(request.cutoff, request.arrived_at + constants.MAX_QUEUE_WAIT_S)
        try:
            row = document["tenants"][request.tenant]
            self.router.permits.take(request.tenant, row, sequence, deadline, request.caller)
        except verdict.Rejection as rejection:
            self.reject(rejection)

    def make_last_check(self, sequence, role):
        """Return the last check before a send is written: the lease is valid, for the same sequence."""

        def check():
            if self.router.lease.sequence() != sequence:
                return False
            if not any(self.sends_written.values()):
                self.router.retry_budget.record_request()
            self.sends_written[role] += 1
            return True

        return check

    def stop_if_caller_left(self) -> None:
        """Raise CallerDisconnected if the client has disconnected."""
        if self.request.caller.has_disconnected():
            raise verdict.CallerDisconnected()

    def time_left(self):
        """Seconds until the cutoff; raises SendFailure if it has passed."""
        time_left = self.request.cutoff - self.environment.now()
        if time_left <= 0:
            raise verdict.SendFailure(NOT_RUN, "cutoff passed")
        return time_left

    def next_send_id(self):
        """Return the id of the next send; raises CallerDisconnected, so that nothing is sent for a client that left."""
        self.stop_if_caller_left()
        self.send_number += 1
        return f"{self.send_id_prefix}.{self.send_number}"

    def replan(self, plan, sequence, document):
        """Replace the content of a plan by one made under a newer configuration."""
        replicas, request = self.router.replicas, self.request
        deadline = min(request.cutoff, self.environment.now() + constants.MAX_QUEUE_WAIT_S)
        for name in (self.reserved_prefill, self.reserved_decode):
            replicas.request_ended(name)
        self.reserved_prefill = self.reserved_decode = None
        while True:
            self.stop_if_caller_left()
            with replicas.lock:
                new_plan = planning.make(replicas, sequence, document, request, self.router.zone, self.excluded)
                if new_plan:
                    plan.sequence, plan.pool, plan.policy = sequence, new_plan.pool, new_plan.policy
                    plan.prefill_replica, plan.decode_replica = new_plan.prefill_replica, new_plan.decode_replica
                    self.reserved_prefill, self.reserved_decode = plan.prefill_replica.name, plan.decode_replica.name
                    replicas.request_started(self.reserved_prefill)
                    replicas.request_started(self.reserved_decode)
                    return
            if self.environment.now() >= deadline or planning.rule_for(document, request.kind, request.tenant) is None:
                raise verdict.SendFailure(NOT_RUN, "no free pair under the newer configuration")
            with self.router.waiting_for_decode():
                self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def prefill(self, plan):
        """Send the prefill under the current configuration and keep its handle; raises SendFailure."""
        self.prefill_attempts += 1
        while True:
            self.chart.step("prefill")
            sequence, document = self.wait_for_configuration()
            if sequence != plan.sequence:
                self.replan(plan, sequence, document)
                continue
            time_left, send_id = self.time_left(), self.next_send_id()
            silence_ratio = constants.SAFE_PREFILL_TIMEOUT_RATIO if self.request.safe_to_repeat else 1.0
            self.router.backup_releases.register(
                send_id, plan.prefill_replica, self.request.cutoff - self.environment.now()
            )
            try:
                self.handle = replica_adapter.prefill(
                    self.environment,
                    self.request,
                    send_id,
                    plan.prefill_replica,
                    sequence,
                    time_left,
                    self.make_last_check(sequence, "prefill"),
                    time_left * silence_ratio,
                    self.on_silence,
                )
                break
            except verdict.SendFailure as e:
                unconfirmed_handle = replica_adapter.unconfirmed_handle(self.environment, send_id, plan.prefill_replica)
                if e.verdict is NOT_RUN:
                    self.router.backup_releases.cancel(unconfirmed_handle)
                else:  # the replica may hold a handle that was never returned, or may come to hold one
                    self.router.handle_releases.enqueue(unconfirmed_handle)
                if e.reason != http_client.NOT_READY:  # otherwise nothing was sent: tried again under the current lease
                    raise
        self.may_have_run = True  # a prefill counts as a run
        self.chart.step("hold")

    def decode(self, plan):
        """Start the decode of the handle, on another replica if one rejects it; return the started stream."""
        replicas, rejected = self.router.replicas, set()
        deadline = min(
            self.request.cutoff, self.handle.created_at + constants.HANDLE_TTL_S - constants.CONNECT_TIMEOUT_S
        )
        while True:
            sequence, document = self.wait_for_configuration()
            if plan.decode_replica is None or not planning.is_still_allowed(
                replicas, document, self.request, plan.decode_replica
            ):
                replacement = planning.choose_decode_replica(
                    replicas, document, self.request, self.router.zone, rejected
                )
                if replacement is None:  # the prefill is done: wait for a free decode slot
                    if self.environment.now() >= deadline:
                        raise verdict.SendFailure(NOT_RUN, "no decode replica for the handle")
                    rejected.clear()
                    with self.router.waiting_for_decode():
                        self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
                    continue
                replicas.request_ended(self.reserved_decode)
                plan.decode_replica, self.reserved_decode = replacement, replacement.name
                replicas.request_started(self.reserved_decode)
                if self.router.lease.sequence() != sequence:
                    continue
            self.chart.step("decode")
            try:
                stream = replica_adapter.decode(
                    self.environment,
                    self.request,
                    self.next_send_id(),
                    plan.decode_replica,
                    self.handle,
                    sequence,
                    self.time_left(),
                    self.make_last_check(sequence, "decode"),
                    self.on_silence,
                )
                return self.pull_first_token(stream)
            except verdict.SendFailure as e:
                if e.reason == http_client.NOT_READY:
                    continue
                may_retry = e.verdict is NOT_RUN and not e.handle_lost
                while may_retry and not self.router.retry_budget.take_or_borrow(int(self.sends_written["decode"] > 0)):
                    may_retry = self.environment.now() < deadline
                    self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
                if not may_retry:
                    raise
                self.record_failure(e)
                rejected.add(e.replica)
                plan.decode_replica = None

    def pull_first_token(self, stream):
        """Read the first token: it shows that the KV memory was transferred, so the handle is released."""
        tokens = iter(stream)
        try:
            first = next(tokens)
        except StopIteration:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, "empty stream", stream.endpoint.name) from None
        self.release_handle()
        return stream, first, tokens
