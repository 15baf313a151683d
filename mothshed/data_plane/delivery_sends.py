"""The sends of one delivered request: what is checked before, and what a failure says.

The last check before a send is the lease, under the sequence the pair was made
under; sends beyond the first draw on the retry budget. Silence alone does not speak
against a replica: one that still takes a connection is only busy.
"""

import mothshed.constants as constants
import mothshed.data_plane.identity as identity
import mothshed.data_plane.pair as pair_module
import mothshed.data_plane.routes as routes
import mothshed.http.web as web
import mothshed.replicas.verdict as verdict

NOT_RUN = verdict.Verdict.NOT_RUN


class DeliverySends:
    """The part of Deliver that talks to replicas."""

    def check(self, role):
        """The last check before a send: the same lease still runs, the replica stays, and the caller still waits."""
        place = self.pair.reader if role == "prefill" else self.pair.writer

        def ready():
            if not self.plan_is_current() or not self.staying(place):
                return False
            if self.environment.now() >= self.ask.cutoff:  # the connection came late, or this process stood still
                return False
            if self.ask.caller.has_left():
                return False
            self.note_caller("sent_after_caller_left", role)
            if not (self.prefills or self.decodes):
                self.router.retry_budget.record_request()
            if role == "prefill":
                self.prefills += 1
            else:
                self.decodes += 1
            if role == "decode" or self.prefills > 1:
                self.counted += 1
            return True

        return ready

    def stop_if_caller_left(self) -> None:
        """Raise CallerDisconnected once the caller is gone; a failure after that says nothing about a replica."""
        if self.ask.caller.has_left():
            raise verdict.CallerDisconnected()

    def note_caller(self, kind: str, stage: str) -> None:
        """Count what is done over half a second after the caller was seen to have left."""
        left_at = self.ask.caller.left_at()
        if left_at is not None and self.environment.now() - left_at > constants.CLIENT_DISCONNECT_GRACE_S:
            self.router.journal.add(kind, outcome=stage, request=self.ask.id)

    def staying(self, place):
        """Whether a replica is still listed and not shown leaving."""
        return place.name in self.router.replicas.rows and place.name not in self.router.replicas.leaving()

    def keep_writer(self):
        """Another writer for the handle when the pair's began to leave while the prompt was read."""
        pair = self.pair
        if not self.staying(pair.writer):
            self.router.placing.change_writer(pair, self.selector, self.without)

    def plan_is_current(self) -> bool:
        """Whether a lease runs under which this request still goes to the pool of its pair, and from the same tenant.

        A change that leaves the request's route and key alone is no reason to read its prompt again.
        """
        sequence, document = self.router.lease.current()
        if sequence is None:
            return False
        if sequence != self.pair.sequence:
            table = self.router.tables.of(sequence, document)
            new = table.match(self.ask.host, self.ask.target)
            if not routes.plan_is_current(self.route, new, self.pair.pool, self.selector, document):
                return False
            if not identity.is_current(self.ask.identity, document, table.keys, new, self.ask.key_digest):
                return False
            self.pair.sequence = sequence
        return True

    def wait_for_lease(self) -> None:
        """A prompt that was read waits a little for a lease that has just run out."""
        until = self.environment.now() + min(self.left(), constants.DELIVERY_LEASE_TIMEOUT_S)
        while self.router.lease.sequence() is None and self.environment.now() < until:
            self.stop_if_caller_left()
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)

    def may_send(self, role):
        """Takes an extra send from the budget if the next one is beyond the first."""
        extra = self.counted > 0 if role == "decode" else self.prefills > 0
        if role == "decode" and self.decodes + self.shed >= self.route["tries"]:
            self.give_in("as many replicas were asked as the route allows")
        if extra and not self.router.retry_budget.take_or_borrow():
            self.give_in("retry budget is spent")

    def reader_left(self):
        """Whether a replica of the request's own pool, none of those it was turned away by, reads prompts."""
        return any(name not in self.without for name in self.router.replicas.usable(self.selector, "prefill"))

    def judge(self, e, place):
        """What a failure says of the replica: silence alone says nothing, it may only be busy."""
        if "Timeout" in e.reason and e.verdict is not NOT_RUN:
            self.environment.spawn(lambda: self.look(place))
        elif e.verdict is not NOT_RUN or e.reason.startswith(("NewConnection", "ConnectTimeout")):
            self.router.replicas.mark_failed(place.name)

    def look(self, place):
        """A silent replica that still takes a connection is busy; one that does not is out."""
        try:
            self.environment.kept.look(place.url.removeprefix("http://"))
        except web.WebFault:
            self.router.replicas.mark_failed(place.name)

    def prefill(self, pair):
        """The handle, or None when the writer shall read for itself."""
        began, name, unread = self.environment.now(), pair.reader.name, pair.unread
        read = min(
            max(constants.PREFILL_TIMEOUT_RATIO * pair.expected, constants.MIN_PREFILL_TIMEOUT_S),
            constants.MAX_PREFILL_TIMEOUT_S,
            self.left(),
        )
        try:
            self.may_send("prefill")
            urgency = identity.urgency_for_replica(self.ask.urgency, pair.rank)
            handle = self.speech.prefill(
                self.environment, self.ask, pair.reader, self.left(), read, self.check("prefill"), urgency
            )
        except verdict.SendFailure as e:
            if e.reason == web.NOT_READY or self.over:
                raise
            self.stop_if_caller_left()
            self.fails.append(e)
            if e.verdict is verdict.Verdict.RAN:
                raise
            self.router.journal.add(
                "send_failed", outcome="prefill", replica=name, reason=e.reason, request=self.ask.id
            )
            if e.replica:
                self.without.add(e.replica)
                if self.prefills == 1 and self.counted == 0:
                    self.counted += 1  # a first prefill that nobody took up counts after all
                    self.shed += e.rejected
                self.judge(e, pair.reader)
                self.router.placing.parts.forget(name)
            return None
        finally:
            self.router.placing.read(pair)
        self.router.placing.parts.add(name, self.ask.parts)
        self.router.placing.measured(name, unread, pair.queued, self.environment.now() - began)
        self.router.replicas.mark_succeeded(name)
        return handle

    def patience_first(self):
        """How long the first event may take before a repeatable request goes elsewhere."""
        if self.again and self.decodes + 1 < self.route["tries"] and not self.last:
            reading = (
                self.ask.tokens / constants.PREFILL_TOKENS_PER_S / constants.DECODE_PREFILL_RATIO
                if not self.handle
                else 0.0
            )
            return min(self.left(), constants.FIRST_EVENT_TIMEOUT_S + 2 * reading)
        return self.left()

    def may_read_itself(self, e: verdict.SendFailure, pair: pair_module.Pair) -> bool:
        """Whether a writer that turned a handle away may be sent the prompt instead, to read it by itself.

        It proved that nothing ran, and it was not full as far as is known: then the memory could not be had,
        as when handles lapse early. No other replica is asked, so the route's tries allow it; the budget counts it.
        """
        if not (self.handle and e.rejected and e.verdict is NOT_RUN):
            return False
        room = self.router.placing.running(pair.writer.name) <= self.router.replicas.rows[pair.writer.name]["slots"]
        return room and self.staying(pair.writer) and self.router.retry_budget.take_or_borrow()

    def drop_handle(self, e: verdict.SendFailure) -> None:
        """The hand-over of a prompt failed: its memory is freed, and the failed send counts as none of a replica."""
        self.fails.append(e)
        self.router.handle_releases.enqueue(self.handle)
        self.handle = None
        self.decodes -= 1  # the route's tries count replicas, and it is the same one
        self.router.journal.add(
            "send_failed", outcome="hand_over", replica=e.replica, reason=e.reason, request=self.ask.id
        )

    def whole(self, reply, name):
        try:
            return reply.all()
        except web.WebFault as e:
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e), name) from e
