"""The sends of one request: prefill, then decode of the handle that came back.

Every send checks the lease right before and carries its sequence. A plan made
under an older one is made anew under the newer, at no cost and without a bounce.
A send counts once it is written: one held back by its last check, or whose
connection never stood, took nothing. Each send has a name of its own, so that two
asks with one id never meet at a replica.
"""

import typing

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.plan as planning
import mothshed.http.web as web
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict

NOT_RUN = verdict.Verdict.NOT_RUN


class Sends:
    """The part of Carry that talks to replicas."""

    def sequence(self):
        """The sequence to send under, waited for a little when the lease just lapsed."""
        until = min(self.request.cutoff, self.environment.now() + constants.LEASE_WAIT_TIMEOUT_S)
        while True:
            self.stop_if_caller_left()
            sequence, document = self.router.lease.current()
            if sequence is not None:
                self.check_tenant(sequence, document)
                return sequence, document
            if self.environment.now() >= until:
                raise verdict.SendFailure(NOT_RUN, "no lease")
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def check_tenant(self, sequence: int, document: dict[str, typing.Any]) -> None:
        """Asks again who the request comes from, under each newer document; raises its end if that has changed."""
        if sequence == self.identified:
            return
        request, keys = self.request, self.router.tables.table_for(sequence, document).keys
        try:
            found = identity.identify(document, keys, identity.NO_ROUTE, request.key_digest)
        except verdict.Rejection as refusal:
            self.refuse(refusal)
        if found != request.identity:
            self.refuse(
                verdict.Rejection(503, "the key's tenant has changed", constants.RETRY_AFTER_S, "tenant_changed")
            )
        self.identified = sequence

    def refuse(self, refusal: verdict.Rejection) -> typing.NoReturn:
        """Ends the request: by this refusal, or as one that may have run if some send of it has."""
        if self.ran:
            self.fails.append(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, refusal.reason))
            self.end()
        self.chart.step("bounce")
        raise refusal

    def take_permit(self) -> None:
        """Takes the one permit that a request of a proven tenant needs; raises Rejection and CallerDisconnected."""
        request = self.request
        if request.identity is None:
            return
        try:
            sequence, document = self.sequence()
        except verdict.SendFailure as e:
            self.refuse(verdict.Rejection(503, e.reason, constants.RETRY_AFTER_S, "no_lease"))
        until = min(request.cutoff, request.born + constants.MAX_QUEUE_WAIT_S)
        try:
            row = document["tenants"][request.tenant]
            self.router.permits.take(request.tenant, row, sequence, until, request.caller)
        except verdict.Rejection as refusal:
            self.refuse(refusal)

    def ready(self, sequence, role):
        """The last check before a send: the lease still runs, under the same sequence."""

        def check():
            if self.router.lease.sequence() != sequence:
                return False
            if not any(self.sends.values()):
                self.router.retry_budget.record_request()
            self.sends[role] += 1
            return True

        return check

    def stop_if_caller_left(self) -> None:
        """Raises CallerDisconnected if nobody waits for the answer any more."""
        if self.request.caller.has_left():
            raise verdict.CallerDisconnected()

    def left(self):
        left = self.request.cutoff - self.environment.now()
        if left <= 0:
            raise verdict.SendFailure(NOT_RUN, "cutoff passed")
        return left

    def name(self):
        """The next send's name; none is made for a caller that has left."""
        self.stop_if_caller_left()
        self.number += 1
        return f"{self.ask}.{self.number}"

    def replan(self, plan, sequence, document):
        """The plan made anew under a newer configuration, in the place of the old one."""
        replicas, request = self.router.replicas, self.request
        until = min(request.cutoff, self.environment.now() + constants.MAX_QUEUE_WAIT_S)
        for name in (self.reading, self.writing):
            replicas.request_ended(name)
        self.reading = self.writing = None
        while True:
            self.stop_if_caller_left()
            with replicas.lock:
                fresh = planning.make(replicas, sequence, document, request, self.router.cell, self.without)
                if fresh:
                    plan.sequence, plan.pool, plan.policy = sequence, fresh.pool, fresh.policy
                    plan.prefill_replica, plan.decode_replica = fresh.prefill_replica, fresh.decode_replica
                    self.reading, self.writing = plan.prefill_replica.name, plan.decode_replica.name
                    replicas.request_started(self.reading)
                    replicas.request_started(self.writing)
                    return
            if self.environment.now() >= until or planning.rule_for(document, request.kind, request.tenant) is None:
                raise verdict.SendFailure(NOT_RUN, "no free pair under the newer configuration")
            with self.router.held_wait():
                self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def prefill(self, plan):
        self.tries += 1
        while True:
            self.chart.step("prefill")
            sequence, document = self.sequence()
            if sequence != plan.sequence:
                self.replan(plan, sequence, document)
                continue
            left, name = self.left() * (constants.SAFE_PREFILL_TIMEOUT_RATIO if self.request.safe else 1.0), self.name()
            self.router.backup_releases.register(
                name, plan.prefill_replica, self.request.cutoff - self.environment.now()
            )
            try:
                self.handle = replica_adapter.prefill(
                    self.environment,
                    self.request,
                    name,
                    plan.prefill_replica,
                    sequence,
                    left,
                    self.ready(sequence, "prefill"),
                )
                break
            except verdict.SendFailure as e:
                doubt = replica_adapter.unconfirmed_handle(self.environment, name, plan.prefill_replica)
                if e.verdict is NOT_RUN:
                    self.router.backup_releases.cancel(doubt)
                else:  # it may hold, or come to hold, what we never heard of
                    self.router.handle_releases.enqueue(doubt)
                if e.reason != web.NOT_READY:  # else nothing was sent: under the newer one, or later
                    raise
        self.ran = True  # a prefill is a run
        self.chart.step("hold")

    def decode(self, plan):
        """Decodes the handle, elsewhere if bounced; returns the stream begun."""
        replicas, rejected = self.router.replicas, set()
        until = min(self.request.cutoff, self.handle.created_at + constants.HANDLE_TTL_S - constants.CONNECT_TIMEOUT_S)
        while True:
            sequence, document = self.sequence()
            if plan.decode_replica is None or not planning.is_still_allowed(
                replicas, document, self.request, plan.decode_replica
            ):
                writer = planning.choose_decode_replica(replicas, document, self.request, self.router.cell, rejected)
                if writer is None:  # the prompt is read: worth a wait for a place
                    if self.environment.now() >= until:
                        raise verdict.SendFailure(NOT_RUN, "no decode replica for the handle")
                    rejected.clear()
                    with self.router.held_wait():
                        self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
                    continue
                replicas.request_ended(self.writing)
                plan.decode_replica, self.writing = writer, writer.name
                replicas.request_started(self.writing)
                if self.router.lease.sequence() != sequence:
                    continue
            self.chart.step("decode")
            try:
                stream = replica_adapter.decode(
                    self.environment,
                    self.request,
                    self.name(),
                    plan.decode_replica,
                    self.handle,
                    sequence,
                    self.left(),
                    self.ready(sequence, "decode"),
                )
                return self.first(stream)
            except verdict.SendFailure as e:
                if e.reason == web.NOT_READY:
                    continue
                again = e.verdict is NOT_RUN and not e.handle_lost
                while again and not self.router.retry_budget.take_or_borrow(int(self.sends["decode"] > 0)):
                    again = self.environment.now() < until
                    self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
                if not again:
                    raise
                self.note(e)
                rejected.add(e.replica)
                plan.decode_replica = None

    def first(self, stream):
        """Pulls the first token: it shows that the pull is done, so the free is ordered."""
        rows = iter(stream)
        try:
            row = next(rows)
        except StopIteration:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, "empty stream", stream.endpoint.name) from None
        self.let_go()
        return stream, row, rows
