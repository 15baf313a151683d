"""Delivers a request of a route as it came: prefill, decode, free, events.

Written straight down, as Carry is for our own interface. Whether a prefill is a run
is a fact about the replicas' protocol: on routes it is none, so it may be repeated; a
decode is one. A request that is not repeatable goes to a second
writer only on a proven not_run; a resumable stream that breaks is taken up at
another replica after the last event delivered, under the head of the first. What
is left of the hand-over on any way out is freed. A replica's own failure is passed
on unchanged when nothing better is left.
"""

import itertools
import typing

import mothshed.constants as constants
import mothshed.data_plane.delivery_sends as delivery_sends
import mothshed.data_plane.identity as identity
import mothshed.data_plane.pair as pair_module
import mothshed.data_plane.pauses as pauses_module
import mothshed.data_plane.place_wait as place_wait
import mothshed.data_plane.routes as routes
import mothshed.data_plane.stage_times as stage_times
import mothshed.http.events as events
import mothshed.http.web as web
import mothshed.replicas.verdict as verdict

NOT_RUN = verdict.Verdict.NOT_RUN
Stage = stage_times.Stage


class Deliver(delivery_sends.DeliverySends, place_wait.PlaceWait):
    def __init__(self, router, ask):
        self.router, self.environment, self.ask, self.speech = router, router.environment, ask, router.replica_protocol
        self.route = ask.route
        self.again = routes.repeatable(self.route)
        self.fails, self.without = [], set()
        self.ran = False  # it runs somewhere, did, or may have
        self.over = False  # nothing more is begun, whatever is left
        self.retry = constants.ROUTE_RETRY_AFTER_S
        self.own = None  # (reply, body): a replica's own failure, to be passed on
        self.prefills = self.decodes = 0  # written to a replica
        self.shed = 0  # first prefills that were turned away: they count among the tries
        self.counted = 0  # sends that count: all but a first prefill that was taken up
        self.last = ask.after  # id of the last event delivered
        self.pair = self.handle = self.reply = None
        self.selector = {}  # of the replicas that the pair was taken from
        self.permitted = None  # the tenant of whom this request has a permit
        self.times = stage_times.StageTimes(self.environment.now)
        self.event_at = None  # when the last event came from the replica that sends now
        self.pauses = pauses_module.Pauses(self.environment.now, self.route.get("pause_s"))

    def left(self):
        left = self.ask.cutoff - self.environment.now()
        if left <= 0:
            raise verdict.SendFailure(NOT_RUN, "cutoff passed")
        return left

    def start(self):
        """(reply, first event, its id, the rest) with the reply's head; raises Rejection or RequestFailure."""
        while True:
            try:
                return self.once()
            except verdict.SendFailure as e:
                if e.reason == web.NOT_READY:  # a newer configuration, or none: nothing was sent
                    self.let_go()
                    continue
                self.note(e)
                if not self.may_repeat():
                    return self.end()
            except BaseException:
                self.let_go()
                raise

    def note(self, e):
        self.let_go()
        self.fails.append(e)
        self.ran = self.ran or e.verdict is not NOT_RUN
        if e.replica:
            self.without.add(e.replica)
        self.router.journal.add(
            "send_failed", outcome=e.verdict.value, replica=e.replica, reason=e.reason, request=self.ask.id
        )

    def let_go(self):
        if self.handle:
            self.router.handle_releases.enqueue(self.handle)
        if self.reply:
            self.note_caller("worked_after_caller_left", "decode")
            self.reply.close()
        if self.pair:
            self.router.placing.read(self.pair)
            self.router.replicas.request_ended(self.pair.writer.name)
        self.handle = self.reply = self.pair = None

    def give_in(self, reason):
        self.over = True
        raise verdict.SendFailure(NOT_RUN, reason)

    def may_repeat(self):
        if self.over or self.ran and not self.again or self.environment.now() >= self.ask.cutoff:
            return False
        return self.decodes + self.shed < self.route["tries"] and self.environment.now() < self.give_up()

    def give_up(self):
        """Past this moment nothing new is begun."""
        return self.ask.cutoff - min(0.1, (self.ask.cutoff - self.ask.born) / 10)

    def end(self):
        """A replica's own failure to be passed on, or the exception that says how it ended."""
        if self.own:
            reply, body = self.own
            return reply, body, None, iter(())
        if self.ran:
            raise verdict.RequestFailure("request failed", self.fails)
        raise verdict.Rejection(
            503, self.fails[-1].reason if self.fails else "no replica", round(self.retry, 2), "sends_failed"
        )

    def once(self):
        alone = self.prefills > 1 or (self.prefills == 1 and not self.reader_left())
        with self.times.stage(Stage.PLACE):
            pair = self.pair = self.take_place(alone)
        if pair.reader:
            with self.times.stage(Stage.READING):
                self.handle = self.prefill(pair)
            with self.times.stage(Stage.LEASE):
                self.wait_for_lease()
            self.keep_writer()
        self.may_send("decode")
        with self.times.stage(Stage.FIRST_EVENT):
            begun = self.decode(pair)
        self.note_late()
        return begun

    def decode(self, pair: pair_module.Pair) -> tuple[typing.Any, ...]:
        """The answer of a pair's writer, begun: its reply, first event, that one's id, and the rest."""
        try:
            self.reply = self.send_decode(pair)
        except verdict.SendFailure as e:
            self.stop_if_caller_left()
            if not self.may_read_itself(e, pair):
                raise
            self.drop_handle(e)
            self.reply = self.send_decode(pair)
        return self.begun(pair)

    def send_decode(self, pair: pair_module.Pair) -> typing.Any:
        """The reply of a pair's writer; raises SendFailure."""
        try:
            return self.speech.decode(
                self.environment,
                self.ask,
                pair.writer,
                self.handle,
                self.left(),
                self.patience_first(),
                self.check("decode"),
                self.last,
                identity.urgency_for_replica(self.ask.urgency, 0 if self.handle else pair.rank),
                not self.again,
            )
        except verdict.SendFailure as e:
            self.stop_if_caller_left()
            if e.reason != web.NOT_READY:
                self.judge(e, pair.writer)
            raise

    def begun(self, pair):
        """The head is here: judges it, and pulls the first event of a stream."""
        reply, name = self.reply, pair.writer.name
        if reply.status >= 500:  # its own failure: it ran
            self.own = reply, self.whole(reply, name)
            self.router.placing.outcomes.failed(name)
            raise verdict.SendFailure(verdict.Verdict.RAN, f"status {reply.status}", name)
        self.own = None
        try:
            if self.route["kind"] == "stream":
                rows = events.split(reply.pieces())
                first, number = next(rows, (b"", None))
            else:  # gathered whole before anything is delivered
                first, number, rows = reply.all(), None, iter(())
        except web.WebFault as e:
            self.stop_if_caller_left()
            self.judge(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e)), pair.writer)
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e), name) from e
        self.router.placing.read(pair)
        if self.handle:  # the pull is done
            self.router.handle_releases.enqueue(self.handle)
            self.handle = None
        self.router.replicas.mark_succeeded(name)
        self.router.placing.outcomes.answered(name)
        if self.ask.parts:
            self.router.placing.parts.add(name, self.ask.parts)
        self.event_at = self.environment.now()
        return reply, first, number, rows

    def body(self, begun):
        """The events as they come; what breaks is taken up elsewhere where that is allowed."""
        reply, first, number, rows = begun
        self.last = number or self.last
        with self.pauses.watch(pauses_module.Cause.CALLER):
            yield first
        while True:
            try:
                yield from self.following(rows)
                return
            except web.WebFault as e:
                self.stop_if_caller_left()
                broken = verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(e), self.pair.writer.name)
                self.judge(broken, self.pair.writer)
                self.note(broken)
            rows = self.take_up()

    def following(self, rows):
        while True:
            if self.reply:
                span = self.ask.cutoff - self.environment.now()
                if self.again and self.last is not None and self.decodes < self.route["tries"]:
                    span = min(span, constants.NEXT_EVENT_TIMEOUT_S)
                self.reply.patience(span)
            try:
                with self.pauses.watch(pauses_module.Cause.REPLICA):
                    event, number = next(rows)
            except StopIteration:
                return
            self.note_event()
            if number is not None:
                if self.last is not None and number <= self.last:
                    raise verdict.StreamInterrupted("an event came twice")
                self.last = number
            with self.pauses.watch(pauses_module.Cause.CALLER):
                yield event

    def take_up(self):
        """The rest of a broken resumable stream, from another replica; StreamInterrupted if there is none."""
        while self.again and self.last is not None and self.may_repeat():
            try:
                reply, first, number, rows = self.once()
                if reply.status != 200:
                    break
                return itertools.chain([(first, number)], rows)
            except verdict.SendFailure as e:
                if e.reason == web.NOT_READY:
                    self.let_go()
                    continue
                self.note(e)
            except verdict.Rejection:
                break
        raise verdict.StreamInterrupted(str(self.fails[-1]) if self.fails else "stream broke")
