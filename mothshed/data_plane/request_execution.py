"""Carries a plan out: prefill, decode, free, relay, written straight down.

The rules on repeating stand here. An unsafe request is sent again only on a
proven not_run, and its prefill counts as a run: after it, only the decode of the
same handle may go elsewhere, and only if the earlier one proved that it did not
run. A safe request may be done over while no byte has been delivered. Every send
checks the lease right before and carries its sequence; a plan made under an
older one is fitted to the newer before its next send.
"""

import mothshed.constants as constants
import mothshed.data_plane.plan as planning
import mothshed.data_plane.request_sends as request_sends
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import mothshed.runtime.charts as charts

NOT_RUN = verdict.Verdict.NOT_RUN


class RequestExecution(request_sends.RequestSends):
    """One request on its way; `run` yields (text, finish) and raises what went wrong."""

    def __init__(self, router, request):
        self.router, self.environment, self.request = router, router.environment, request
        self.chart = charts.load("request")
        self.failures = []
        self.may_have_run = False  # some send of this request ran or may have
        self.send_id_prefix = replica_adapter.unique_request_id(request, self.environment.random)
        self.sends_written = {"prefill": 0, "decode": 0}  # those written to a replica
        self.prefill_attempts, self.send_number = 0, 0  # prefills begun; sends named
        self.excluded = set()
        self.handle = None
        self.identity_sequence = None  # the sequence under which its tenant was asked for last

    def run(self):
        try:
            yield from self.run_attempts()
        finally:
            self.release_handle()

    def release_handle(self):
        if self.handle:
            self.router.handle_releases.enqueue(self.handle)
            self.handle = None

    def run_attempts(self):
        self.take_permit()
        plan = self.admit()
        self.chart.step("admit")
        while True:
            try:
                yield from self.run_attempt(plan)
                return
            except verdict.SendFailure as e:
                self.stop_if_caller_left()
                self.record_failure(e)
                self.release_handle()
                self.check_may_repeat(e)
                plan = self.admit()

    def record_failure(self, failure):
        self.failures.append(failure)
        if failure.verdict is not NOT_RUN:
            self.may_have_run = True
        if failure.replica:
            self.excluded.add(failure.replica)
            if failure.verdict is NOT_RUN and failure.reason.startswith("status 503"):
                self.router.replicas.mark_full(failure.replica)
            if failure.reason.startswith(("NewConnection", "ConnectTimeout")):
                self.router.replicas.suspect(failure.replica)
        self.router.journal.add(
            "send_failed",
            outcome=failure.verdict.value,
            replica=failure.replica,
            reason=failure.reason,
            request=self.request.id,
        )

    def check_may_repeat(self, failure):
        """Returns if the whole request may be done over; raises its end otherwise."""
        if self.chart.state == "relaying":
            self.chart.step("break")
            raise verdict.StreamInterrupted(str(failure)) from failure
        must_not_repeat = self.may_have_run and not self.request.safe_to_repeat
        if must_not_repeat or self.prefill_attempts >= constants.MAX_PREFILL_ATTEMPTS or not self.take_retry_budget():
            self.raise_final_failure()

    def take_retry_budget(self):
        """Takes from the budget what doing it all over costs; waits for it as long as for a place."""
        cost = sum(1 for n in self.sends_written.values() if n)
        deadline = min(self.request.cutoff, self.request.arrived_at + constants.MAX_QUEUE_WAIT_S)
        while self.environment.now() < self.request.cutoff:
            if self.router.retry_budget.take_or_borrow(cost):
                return True
            if self.environment.now() >= deadline:
                return False
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
        return False

    def raise_final_failure(self):
        if self.may_have_run:
            self.chart.step("fail")
            raise verdict.RequestFailure("request failed", self.failures)
        self.chart.step("bounce")
        raise verdict.Rejection(
            503, self.failures[-1].reason if self.failures else "no pair", constants.RETRY_AFTER_S, "sends_failed"
        )

    def admit(self):
        """A plan with both places reserved; a Rejection means nothing ran at all."""
        router, request = self.router, self.request

        def make_plan():
            self.stop_if_caller_left()
            sequence, document = router.lease.current()
            if sequence is None or router.handles_waiting:  # held handles come before new prompts
                return None
            plan = planning.make(router.replicas, sequence, document, request, router.zone, self.excluded)
            if plan is None and self.excluded:
                plan = planning.make(router.replicas, sequence, document, request, router.zone)
            if plan:
                router.replicas.request_started(plan.prefill_replica.name)
                router.replicas.request_started(plan.decode_replica.name)
            return plan

        try:
            tenant = (router.lease.document() or {}).get("tenants", {}).get(request.tenant, {"share": 1})
            return router.admission.admit(request, tenant["share"], make_plan, bool(self.prefill_attempts))
        except verdict.Rejection as e:
            if self.may_have_run:
                self.failures.append(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e)))
                self.raise_final_failure()
            self.chart.step("bounce")
            raise

    def run_attempt(self, plan):
        replicas = self.router.replicas
        self.reserved_prefill, self.reserved_decode = plan.prefill_replica.name, plan.decode_replica.name
        try:
            self.prefill(plan)
            replicas.request_ended(self.reserved_prefill)
            self.reserved_prefill = None
            self.router.admission.wake_head()
            yield from self.relay(self.decode(plan))
        finally:
            for name in (self.reserved_prefill, self.reserved_decode):
                if name:
                    replicas.request_ended(name)
            self.router.admission.wake_head()

    def relay(self, started_stream):
        stream, first, tokens = started_stream
        try:
            if self.request.stream:
                self.chart.step("relay")
                yield first
                yield from tokens
                self.chart.step("finish")
            else:  # gathered whole before anything is delivered
                gathered = [first]
                for token in tokens:
                    self.stop_if_caller_left()
                    gathered.append(token)
                self.chart.step("relay")
                yield from gathered
                self.chart.step("finish")
        finally:
            stream.close()
