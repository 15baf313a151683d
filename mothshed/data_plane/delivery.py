"""Delivers a request of a route unchanged: prefill, decode, release of the KV memory, events.

For routed replicas a prefill is not a run and may be repeated; a decode is a run. A request that is not repeatable
goes to a second decode replica only if the first one proved that it did not run. A resumable stream that breaks
continues at another replica after the last event delivered, under the head of the first response. A silent replica is
waited for, beside a hedge where the request may be repeated. KV memory still held is released on every exit. A
replica's own error response is forwarded unchanged if nothing better is available.
"""

import typing

import mothshed.constants as constants
import mothshed.data_plane.delivery_sends as delivery_sends
import mothshed.data_plane.delivery_silence as delivery_silence
import mothshed.data_plane.delivery_stream as delivery_stream
import mothshed.data_plane.hedge as hedge_module
import mothshed.data_plane.identity as identity
import mothshed.data_plane.pauses as pauses_module
import mothshed.data_plane.placement_wait as placement_wait
import mothshed.data_plane.replica_pair as replica_pair
import mothshed.data_plane.response_start as response_start_module
import mothshed.data_plane.routes as routes
import mothshed.data_plane.send_counts as send_counts
import mothshed.data_plane.stage_times as stage_times
import mothshed.http.events as events
import mothshed.http.http_client as http_client
import mothshed.http.response_head as response_head
import mothshed.replicas.verdict as verdict

NOT_RUN = verdict.Verdict.NOT_RUN
Stage = stage_times.Stage


class Delivery(
    delivery_sends.DeliverySends,
    delivery_silence.DeliverySilence,
    delivery_stream.DeliveryStream,
    placement_wait.PlacementWait,
):
    def __init__(self, router, request, counts=None):
        self.router, self.environment, self.request = router, router.environment, request
        self.protocol = router.replica_protocol
        self.route = request.route
        self.repeatable = routes.is_repeatable(self.route)
        self.failures, self.excluded = [], set()
        self.may_have_run = False  # it is running, ran, or may have run at a replica
        self.ended = False  # no further attempt is made
        self.retry_after_s = constants.ROUTE_RETRY_AFTER_S
        self.replica_response = None  # (reply, body): a replica's own error response, to be forwarded
        self.counts = counts or send_counts.SendCounts()
        self.prepaid = 0  # extra sends that were paid for and not yet written
        self.hedge = None  # while the replica is silent
        self.working_replicas = frozenset()  # of the attempts that this one hedges
        self.head = None  # of the response to the client: the reply of the first run, once it is delivered
        self.last_event_id = request.resume_after  # of the last event delivered
        self.pair = self.handle = self.reply = None
        self.selector = {}  # of the pool of the pair
        self.permitted_tenant = None  # the tenant whose permit this request holds
        self.stage_times = stage_times.StageTimes(self.environment.now)
        self.last_event_at = None  # time of the last event of the current replica
        self.pauses = pauses_module.PauseMonitor(self.environment.now, self.route.get("pause_s"))

    def remaining_s(self):
        remaining_s = self.request.deadline - self.environment.now()
        if remaining_s <= 0:
            raise verdict.SendFailure(NOT_RUN, "cutoff passed")
        return remaining_s

    def start(self):
        """The start of the response to the client; raises Rejection or RequestFailure."""
        try:
            return self.run_attempts()
        except BaseException:
            self.release()
            raise

    def run_attempts(self) -> response_start_module.ResponseStart:
        """The start of the response of the first attempt that succeeds; raises Rejection or RequestFailure."""
        while True:
            try:
                response_start = self.try_once()
            except verdict.SendFailure:  # it was not ready to be sent
                continue
            if response_start:
                return response_start
            if not self.may_retry():
                return self.final_response()

    def try_once(self) -> response_start_module.ResponseStart | None:
        """The start of a response, from one attempt or its hedge; None if both failed.

        Raises SendFailure if there is no lease or the plan is outdated, so that nothing was sent.
        """
        try:
            response_start = self.attempt()
        except hedge_module.TakenOver:
            return self.take_over()
        except verdict.SendFailure as error:
            if error.reason == http_client.NOT_READY:
                self.release_attempt()
                raise
            self.record_failure(error)
            return self.await_hedge()
        self.cancel_hedge()
        return response_start

    def record_failure(self, error):
        self.release_attempt()
        self.failures.append(error)
        self.may_have_run = self.may_have_run or error.verdict is not NOT_RUN
        replica, outcome = error.replica, error.verdict.value
        if replica:
            self.excluded.add(replica)
        self.router.journal.add(
            "send_failed", outcome=outcome, replica=replica, reason=error.reason, request=self.request.id
        )

    def release(self):
        """Release all that this delivery holds; repeatable."""
        self.cancel_hedge()
        self.release_attempt()

    def release_attempt(self) -> None:
        """Release what the current attempt holds; repeatable."""
        if self.handle:
            self.router.handle_releases.enqueue(self.handle)
        if self.reply:
            self.record_late_work("worked_after_caller_left", "decode")
            self.reply.close()
        if self.pair:
            self.router.placement.finish_prefill(self.pair)
            self.router.replicas.request_ended(self.pair.decode_replica.name)
        self.handle = self.reply = self.pair = None

    def abandon(self, reason):
        self.ended = True
        raise verdict.SendFailure(NOT_RUN, reason)

    def was_sent(self) -> bool:
        """Whether a decode of this request was sent to a replica, so that it may have run."""
        return self.may_have_run or self.counts.decodes > 0

    def may_retry(self):
        if self.ended or self.may_have_run and not self.repeatable or self.environment.now() >= self.request.deadline:
            return False
        return self.counts.tries() < self.route["tries"] and self.environment.now() < self.last_start_at()

    def last_start_at(self):
        """The time after which no attempt is started."""
        return self.request.deadline - min(0.1, (self.request.deadline - self.request.arrived_at) / 10)

    def final_response(self):
        """The replica's own error response, if there is one; else raises the outcome of the request."""
        if self.replica_response:
            reply, body = self.replica_response
            return response_start_module.ResponseStart(reply, body, None, iter(()), is_whole=True)
        if self.may_have_run:
            raise verdict.RequestFailure("request failed", self.failures)
        reason = self.failures[-1].reason if self.failures else "no replica"
        raise verdict.Rejection(503, reason, round(self.retry_after_s, 2), "sends_failed")

    def attempt(self):
        prefills = self.counts.prefills
        decode_only = prefills > 1 or (prefills == 1 and not self.has_prefill_replica())
        with self.stage_times.measure(Stage.PLACEMENT):
            pair = self.pair = self.wait_for_pair(decode_only)
        if pair.decode_replica.name in self.working_replicas:
            self.abandon("no other replica")
        self.authorize_attempt(pair)
        if pair.prefill_replica:
            with self.stage_times.measure(Stage.PREFILL):
                self.handle = self.prefill(pair)
            with self.stage_times.measure(Stage.LEASE):
                self.wait_for_lease()
            self.replace_leaving_decode()
        self.authorize_send("decode")
        with self.stage_times.measure(Stage.FIRST_EVENT):
            response_start = self.decode(pair)
        self.record_late_start()
        return response_start

    def decode(self, pair: replica_pair.ReplicaPair) -> response_start_module.ResponseStart:
        """Decode at a pair's decode replica; return the start of its response."""
        try:
            self.reply = self.send_decode(pair)
        except verdict.SendFailure as error:
            self.raise_if_caller_left()
            if not self.may_prefill_locally(error, pair):
                raise
            self.drop_handle(error)
            self.reply = self.send_decode(pair)
        return self.read_first_event(pair)

    def send_decode(self, pair: replica_pair.ReplicaPair) -> typing.Any:
        """The reply of a pair's decode replica; raises SendFailure."""
        try:
            return self.protocol.decode(
                self.environment,
                self.request,
                pair.decode_replica,
                self.handle,
                self.remaining_s(),
                self.first_event_timeout(),
                self.send_check("decode"),
                self.last_event_id,
                identity.urgency_for_replica(self.request.urgency, 0 if self.handle else pair.rank),
                not self.repeatable,
                self.on_silence,
            )
        except verdict.SendFailure as error:
            self.raise_if_caller_left()
            if error.reason != http_client.NOT_READY:
                self.suspect_replica(error, pair.decode_replica)
            raise

    def read_first_event(self, pair):
        """Check the response head, and read the first event of a stream or the whole body."""
        reply, name = self.reply, pair.decode_replica.name
        if reply.status >= 500:  # the replica's own error: the request ran
            self.replica_response = reply, self.read_body(reply, name)
            self.router.placement.outcomes.record_failed(name)
            raise verdict.SendFailure(verdict.Verdict.RAN, f"status {reply.status}", name)
        self.replica_response = None
        try:
            if self.route["kind"] == "stream":
                ends_with_connection = reply.status == 200 and reply.framing is response_head.Framing.CONNECTION
                remaining_events = events.split_events(reply.pieces(), ends_with_connection)
                response_start = response_start_module.ResponseStart(
                    reply, *next(remaining_events, (b"", None)), remaining_events
                )
            else:  # read in full before anything is delivered
                response_start = response_start_module.ResponseStart(reply, reply.all(), None, iter(()), is_whole=True)
        except http_client.ExchangeError as error:
            self.raise_if_caller_left()
            self.suspect_replica(verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(error)), pair.decode_replica)
            raise verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(error), name) from error
        self.router.placement.finish_prefill(pair)
        if self.handle:  # the KV memory was transferred
            self.router.handle_releases.enqueue(self.handle)
            self.handle = None
        self.router.replicas.mark_succeeded(name)
        self.router.placement.outcomes.record_answered(name)
        if self.request.parts:
            self.router.placement.prefix_cache.add(name, self.request.parts)
        self.last_event_at = self.environment.now()
        return response_start
