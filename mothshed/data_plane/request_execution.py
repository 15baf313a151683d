"""Executes a request of the completions interface: prefill, decode, handle release, relay of the response.

The rules for repeating requests are here. A request that is not safe to repeat is sent
again only if it provably did not run, and its prefill counts as a run: after the prefill
only the decode of the same handle may go to another replica, and only if the earlier
decode provably did not run. A request that is safe to repeat may start over while no
byte of its response was delivered. Every send checks the configuration lease right
before the write and carries its sequence; a plan made under an older configuration is
made anew under the newer one before its next send.
"""

import mothshed.constants as constants
import mothshed.data_plane.request_sends as request_sends
import mothshed.data_plane.request_silence as request_silence
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import mothshed.runtime.charts as charts

NOT_RUN = verdict.Verdict.NOT_RUN


class RequestExecution(request_sends.RequestSends, request_silence.RequestSilence):
    """The execution of one request; `run` yields (text, finish reason) and raises the request's failure."""

    def __init__(self, router, request):
        self.router, self.environment, self.request = router, router.environment, request
        self.chart = charts.load("request")
        self.failures = []
        self.may_have_run = False  # whether any send of this request ran or may have run
        self.send_id_prefix = replica_adapter.unique_request_id(request, self.environment.random)
        self.sends_written = {"prefill": 0, "decode": 0}  # sends written to a replica
        self.prefill_attempts, self.send_number = 0, 0  # prefills started; send ids made
        self.excluded = set()
        self.reserved_prefill = self.reserved_decode = None  # replicas that hold a slot for this attempt
        self.secured_plan = None  # of the next attempt, reserved and paid for while a replica was silent
        self.handle = None
        self.identity_sequence = None  # configuration under which the tenant's key was last checked

    def run(self):
        """Execute the request; its handle, if there is one, is released at the end in any case."""
        try:
            yield from self.run_attempts()
        finally:
            self.release_secured_plan()
            self.release_handle()

    def was_sent(self) -> bool:
        """Return whether any part of the request was sent to a replica, so that it may have run."""
        return self.may_have_run or any(self.sends_written.values())

    def release_handle(self):
        """Queue the release of the request's handle, if it has one."""
        if self.handle:
            self.router.handle_releases.enqueue(self.handle)
            self.handle = None

    def run_attempts(self):
        """Admit and attempt the request until an attempt succeeds or the request may not be repeated."""
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
                plan, self.secured_plan = self.secured_plan or self.admit(), None

    def record_failure(self, failure):
        """Note a failed send, exclude its replica from further plans, and mark the replica as full or suspected."""
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
        """Return if the whole request may start over; raise its final failure otherwise."""
        if self.chart.state == "relaying":
            self.chart.step("break")
            raise verdict.StreamInterrupted("stream broke", str(failure)) from failure
        must_not_repeat = self.may_have_run and not self.request.safe_to_repeat
        if must_not_repeat or self.prefill_attempts >= constants.MAX_PREFILL_ATTEMPTS or not self.take_retry_budget():
            self.raise_final_failure()

    def take_retry_budget(self):
        """Take the cost of starting over from the retry budget, waiting as long as a request may be queued."""
        if self.secured_plan:
            return True
        cost = self.restart_cost()
        deadline = min(self.request.cutoff, self.request.arrived_at + constants.MAX_QUEUE_WAIT_S)
        while self.environment.now() < self.request.cutoff:
            if self.router.retry_budget.take_or_borrow(cost):
                return True
            if self.environment.now() >= deadline:
                return False
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
        return False

    def raise_final_failure(self):
        """Raise RequestFailure if the request may have run, Rejection otherwise."""
        if self.may_have_run:
            self.chart.step("fail")
            raise verdict.RequestFailure("request failed", self.failures)
        self.chart.step("bounce")
        raise verdict.Rejection(
            503, self.failures[-1].reason if self.failures else "no pair", constants.RETRY_AFTER_S, "sends_failed"
        )

    def admit(self):
        """Return a plan with a slot reserved on both replicas; a Rejection means that nothing ran."""

        def make_plan():
            self.stop_if_caller_left()
            return self.make_plan(self.excluded) or (self.make_plan(set()) if self.excluded else None)

        try:
            return self.router.admission.admit(self.request, self.share(), make_plan, bool(self.prefill_attempts))
        except verdict.Rejection as e:
            if self.may_have_run:
                self.failures.append(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e)))
                self.raise_final_failure()
            self.chart.step("bounce")
            raise

    def run_attempt(self, plan):
        """Run prefill and decode on the plan's replicas, and yield the response; free their slots at the end."""
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
        """Yield the tokens of a decode: as they arrive for a streamed request, after the last one otherwise."""
        stream, first, tokens = started_stream
        try:
            if self.request.stream:
                self.chart.step("relay")
                yield first
                yield from tokens
                self.chart.step("finish")
            else:  # the complete response is gathered before anything is delivered
                gathered = [first]
                for token in tokens:
                    self.stop_if_caller_left()
                    gathered.append(token)
                self.chart.step("relay")
                yield from gathered
                self.chart.step("finish")
        finally:
            stream.close()
