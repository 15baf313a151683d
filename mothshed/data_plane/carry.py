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
import mothshed.data_plane.sends as sends
import mothshed.replicas.replica_adapter as replica_adapter
import mothshed.replicas.verdict as verdict
import mothshed.runtime.charts as charts

NOT_RUN = verdict.Verdict.NOT_RUN


class Carry(sends.Sends):
    """One request on its way; `run` yields (text, finish) and raises what went wrong."""

    def __init__(self, router, request):
        self.router, self.environment, self.request = router, router.environment, request
        self.chart = charts.load("request")
        self.fails = []
        self.ran = False  # some send of this request ran or may have
        self.ask = replica_adapter.unique_request_id(request, self.environment.random)
        self.sends = {"prefill": 0, "decode": 0}  # those written to a replica
        self.tries, self.number = 0, 0  # prefills begun; sends named
        self.without = set()
        self.handle = None
        self.identified = None  # the sequence under which its tenant was asked for last

    def run(self):
        try:
            yield from self.rounds()
        finally:
            self.let_go()

    def let_go(self):
        if self.handle:
            self.router.handle_releases.enqueue(self.handle)
            self.handle = None

    def rounds(self):
        self.take_permit()
        plan = self.admit()
        self.chart.step("admit")
        while True:
            try:
                yield from self.once(plan)
                return
            except verdict.SendFailure as e:
                self.stop_if_caller_left()
                self.note(e)
                self.let_go()
                self.may_repeat(e)
                plan = self.admit()

    def note(self, e):
        self.fails.append(e)
        if e.verdict is not NOT_RUN:
            self.ran = True
        if e.replica:
            self.without.add(e.replica)
            if e.verdict is NOT_RUN and e.reason.startswith("status 503"):
                self.router.replicas.mark_full(e.replica)
            if e.reason.startswith(("NewConnection", "ConnectTimeout")):
                self.router.replicas.suspect(e.replica)
        self.router.journal.add(
            "send_failed", outcome=e.verdict.value, replica=e.replica, reason=e.reason, request=self.request.id
        )

    def may_repeat(self, e):
        """Returns if the whole request may be done over; raises its end otherwise."""
        if self.chart.state == "relaying":
            self.chart.step("break")
            raise verdict.StreamInterrupted(str(e)) from e
        held = self.ran and not self.request.safe
        if held or self.tries >= constants.MAX_PREFILL_ATTEMPTS or not self.may_send_more():
            self.end()

    def may_send_more(self):
        """Takes from the budget what doing it all over costs; waits for it as long as for a place."""
        cost = sum(1 for n in self.sends.values() if n)
        until = min(self.request.cutoff, self.request.born + constants.MAX_QUEUE_WAIT_S)
        while self.environment.now() < self.request.cutoff:
            if self.router.retry_budget.take_or_borrow(cost):
                return True
            if self.environment.now() >= until:
                return False
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
        return False

    def end(self):
        if self.ran:
            self.chart.step("fail")
            raise verdict.RequestFailure("request failed", self.fails)
        self.chart.step("bounce")
        raise verdict.Rejection(
            503, self.fails[-1].reason if self.fails else "no pair", constants.RETRY_AFTER_S, "sends_failed"
        )

    def admit(self):
        """A plan with both places reserved; a Rejection means nothing ran at all."""
        router, request = self.router, self.request

        def make_plan():
            self.stop_if_caller_left()
            sequence, document = router.lease.current()
            if sequence is None or router.held_waiting:  # held handles come before new prompts
                return None
            plan = planning.make(router.replicas, sequence, document, request, router.cell, self.without)
            if plan is None and self.without:
                plan = planning.make(router.replicas, sequence, document, request, router.cell)
            if plan:
                router.replicas.request_started(plan.prefill_replica.name)
                router.replicas.request_started(plan.decode_replica.name)
            return plan

        try:
            tenant = (router.lease.document() or {}).get("tenants", {}).get(request.tenant, {"share": 1})
            return router.admission.admit(request, tenant["share"], make_plan, bool(self.tries))
        except verdict.Rejection as e:
            if self.ran:
                self.fails.append(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e)))
                self.end()
            self.chart.step("bounce")
            raise

    def once(self, plan):
        replicas = self.router.replicas
        self.reading, self.writing = plan.prefill_replica.name, plan.decode_replica.name
        try:
            self.prefill(plan)
            replicas.request_ended(self.reading)
            self.reading = None
            self.router.admission.wake_head()
            yield from self.relay(self.decode(plan))
        finally:
            for name in (self.reading, self.writing):
                if name:
                    replicas.request_ended(name)
            self.router.admission.wake_head()

    def relay(self, parts):
        stream, row, rows = parts
        try:
            if self.request.stream:
                self.chart.step("relay")
                yield row
                yield from rows
                self.chart.step("finish")
            else:  # gathered whole before anything is delivered
                whole = [row]
                for row in rows:
                    self.stop_if_caller_left()
                    whole.append(row)
                self.chart.step("relay")
                yield from whole
                self.chart.step("finish")
        finally:
            stream.close()
