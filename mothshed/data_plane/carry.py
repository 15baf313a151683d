"""Carries a plan out: prefill, decode, free, relay, written straight down.

The rules on repeating stand here. An unsafe request is sent again only on a
proven not_run, and its prefill counts as a run: after it, only the decode of the
same handle may go elsewhere, and only if the earlier one proved that it did not
run. A safe request may be done over while no byte has been delivered. Every send
checks the lease right before and carries its sequence; a plan made under an
older one is fitted to the newer before its next send.
"""

import mothshed.common.charts as charts
import mothshed.common.constants as constants
import mothshed.common.replica_adapter as replica_adapter
import mothshed.common.verdict as verdict
import mothshed.common.web as web
import mothshed.data_plane.plan as planning

NOT_RUN = verdict.Verdict.NOT_RUN


class Carry:
    """One request on its way; `run` yields (text, finish) and raises what went wrong."""

    def __init__(self, router, request):
        self.router, self.desk, self.request = router, router.desk, request
        self.chart = charts.load("request")
        self.fails = []
        self.ran = False            # some send of this request ran or may have
        self.sends = {"prefill": 0, "decode": 0}
        self.without = set()
        self.handle = None

    def run(self):
        try:
            yield from self.rounds()
        finally:
            self.let_go()

    def let_go(self):
        if self.handle:
            self.router.frees.order(self.handle)
            self.handle = None

    def rounds(self):
        plan = self.admit()
        self.chart.step("admit")
        while True:
            try:
                yield from self.once(plan)
                return
            except verdict.SendFailure as e:
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
                self.router.replicas.full(e.replica)
            if e.reason.startswith(("NewConnection", "ConnectTimeout")):
                self.router.replicas.doubt(e.replica)
        self.router.journal.add("send_failed", outcome=e.verdict.value, replica=e.replica, reason=e.reason)

    def may_repeat(self, e):
        """Returns if the whole request may be done over; raises its end otherwise."""
        if self.chart.state == "relaying":
            self.chart.step("break")
            raise verdict.StreamBroken(str(e)) from e
        held = self.ran and not self.request.safe
        left = self.request.cutoff - self.desk.now()
        tries = self.sends["prefill"] >= constants.SENDS_MOST
        if held or left <= 0 or tries or not self.router.budget.extra(1 + (self.sends["decode"] > 0)):
            self.end()

    def end(self):
        if self.ran:
            self.chart.step("fail")
            raise verdict.RequestFailure("request failed", self.fails)
        self.chart.step("bounce")
        raise verdict.Bounce(503, self.fails[-1].reason if self.fails else "no pair", constants.RETRY_AFTER,
                             "sends_failed")

    def admit(self):
        """A plan with both places reserved; a Bounce means nothing ran at all."""
        router, request = self.router, self.request

        def make_plan():
            sequence, document = router.lease.sequence(), router.lease.document()
            if sequence is None or router.held_waiting:     # held handles come before new prompts
                return None
            plan = planning.make(router.replicas, sequence, document, request, router.cell, self.without)
            if plan is None and self.without:
                plan = planning.make(router.replicas, sequence, document, request, router.cell)
            if plan:
                router.replicas.begin(plan.reader.name)
                router.replicas.begin(plan.writer.name)
            return plan
        try:
            tenant = (router.lease.document() or {}).get("tenants", {}).get(request.tenant, {"share": 1})
            return router.admission.enter(request, tenant["share"], make_plan)
        except verdict.Bounce as e:
            if self.ran:
                self.fails.append(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e)))
                self.end()
            self.chart.step("bounce")
            raise

    def once(self, plan):
        replicas = self.router.replicas
        self.reading, self.writing = plan.reader.name, plan.writer.name
        try:
            self.prefill(plan)
            replicas.end(self.reading)
            self.reading = None
            self.router.admission.nudge()
            yield from self.relay(self.decode(plan))
        finally:
            for name in (self.reading, self.writing):
                if name:
                    replicas.end(name)
            self.router.admission.nudge()

    def sequence(self):
        """The sequence to send under, waited for a little when the lease just lapsed."""
        until = min(self.request.cutoff, self.desk.now() + constants.LEASE_WAIT)
        while True:
            sequence = self.router.lease.sequence()
            if sequence is not None:
                return sequence, self.router.lease.document()
            if self.desk.now() >= until:
                raise verdict.SendFailure(NOT_RUN, "no lease")
            self.desk.pause(constants.PLACE_BEAT)

    def ready(self, sequence):
        """The last check before a send: the lease still runs, under the same sequence."""
        return lambda: self.router.lease.sequence() == sequence

    def left(self):
        left = self.request.cutoff - self.desk.now()
        if left <= 0:
            raise verdict.SendFailure(NOT_RUN, "cutoff passed")
        return left

    def prefill(self, plan):
        self.chart.step("prefill")
        sequence, document = self.sequence()
        if sequence != plan.sequence:
            fresh = planning.make(self.router.replicas, sequence, document, self.request, self.router.cell)
            if fresh is None or (fresh.reader, fresh.writer) != (plan.reader, plan.writer):
                raise verdict.SendFailure(NOT_RUN, "configuration changed")
            plan.sequence = sequence
        if not self.sends["prefill"]:
            self.router.budget.sent()
        self.sends["prefill"] += 1
        left = self.left() * (constants.SAFE_WAIT if self.request.safe else 1.0)
        self.router.frees.forget(self.request.id, plan.reader.name)
        self.router.guard.owe(self.request.id, plan.reader, self.request.cutoff - self.desk.now())
        try:
            self.handle = replica_adapter.prefill(self.desk, self.request, plan.reader, sequence, left, self.ready(sequence))
        except verdict.SendFailure as e:
            if e.reason == web.NOT_READY:       # nothing was sent: under the newer one, or later
                self.sends["prefill"] -= 1
                return self.prefill(plan)
            doubt = replica_adapter.unheard(self.desk, self.request, plan.reader)
            if e.verdict is NOT_RUN:
                self.router.guard.paid(doubt)
            else:                               # it may hold, or come to hold, what we never heard of
                self.router.frees.order(doubt)
            raise
        self.ran = True             # a prefill is a run
        self.chart.step("hold")

    def decode(self, plan):
        """Decodes the handle, elsewhere if bounced; returns the stream begun."""
        replicas, bounced = self.router.replicas, set()
        until = min(self.request.cutoff, self.handle.born + constants.HANDLE_LIFE - constants.CONNECT_TIME)
        while True:
            sequence, document = self.sequence()
            if plan.writer is None or not planning.still_fits(replicas, document, self.request, plan.writer):
                writer = planning.writer_again(replicas, document, self.request, self.router.cell, bounced)
                if writer is None:              # the prompt is read: worth a wait for a place
                    if self.desk.now() >= until:
                        raise verdict.SendFailure(NOT_RUN, "no decode replica for the handle")
                    bounced.clear()
                    with self.router.held_wait():
                        self.desk.pause(constants.PLACE_BEAT)
                    continue
                replicas.end(self.writing)
                plan.writer, self.writing = writer, writer.name
                replicas.begin(self.writing)
                if self.router.lease.sequence() != sequence:
                    continue
            self.chart.step("decode")
            if not self.sends["decode"]:
                self.router.budget.sent()
            self.sends["decode"] += 1
            try:
                stream = replica_adapter.decode(self.desk, self.request, plan.writer, self.handle, sequence,
                                                self.left(), self.ready(sequence))
                return self.first(stream)
            except verdict.SendFailure as e:
                if e.reason == web.NOT_READY:
                    continue
                again = e.verdict is NOT_RUN and not e.gone
                while again and not self.router.budget.extra():
                    again = self.desk.now() < until
                    self.desk.pause(constants.PLACE_BEAT)
                if not again:
                    raise
                self.note(e)
                bounced.add(e.replica)
                plan.writer = None

    def first(self, stream):
        """Pulls the first token: it shows that the pull is done, so the free is ordered."""
        rows = iter(stream)
        try:
            row = next(rows)
        except StopIteration:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, "empty stream", stream.place.name) from None
        self.let_go()
        return stream, row, rows

    def relay(self, parts):
        stream, row, rows = parts
        try:
            if self.request.stream:
                self.chart.step("relay")
                yield row
                yield from rows
                self.chart.step("finish")
            else:                       # gathered whole before anything is delivered
                whole = [row, *rows]
                self.chart.step("relay")
                yield from whole
                self.chart.step("finish")
        finally:
            stream.close()
