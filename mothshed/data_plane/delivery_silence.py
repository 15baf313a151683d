"""What a delivered request does while its replica is silent.

A silence proves nothing: the replica may go on at any moment. So the connection to it is kept until its answer, its
failure, the deadline, or the answer of another replica, and no request ends sooner because of a silence. Meanwhile a
hedge asks another replica where the request may be repeated; if none can be had, it is tried again later.

A prefill is different, as its decode is sent only once: it is given up for a prefill by the decode replica only when
that replica accepts a connection and the extra send is paid for.
"""

import collections.abc
import dataclasses
import socket
import typing

import mothshed.constants as constants
import mothshed.data_plane.hedge as hedge_module
import mothshed.data_plane.response_start as response_start_module
import mothshed.http.caller as caller_module
import mothshed.http.connection as connection
import mothshed.http.http_client as http_client
import mothshed.replicas.known_replicas as known_replicas
import mothshed.replicas.verdict as verdict


class DeliverySilence:
    """The part of Delivery that waits for silent replicas, and owns the hedge."""

    def on_silence(self, sock: socket.socket) -> float:
        """Wait for a silent decode replica or its hedge.

        Returns the timeout of the next read, in seconds, once there is something to read. Raises TakenOver once the
        hedge has a response, TimeoutError at the deadline.
        """
        replica, hedge_at = self.pair.decode_replica, self.environment.now()
        if hedge_at < self.request.deadline:
            self.record_silence("next_event" if self.delivering else "first_event", replica)
            self.spawns(lambda: self.probe_connection(replica))
        while (now := self.environment.now()) < self.request.deadline:
            if now >= hedge_at:
                self.start_hedge()
                hedge_at = now + constants.HEDGE_RETRY_INTERVAL_S
            wait_until = self.request.deadline if self.hedge else min(hedge_at, self.request.deadline)
            waker = self.hedge.waker.reader if self.hedge else None
            if connection.wait_for_input(sock, wait_until - now, waker):
                return self.next_event_timeout()
            if self.hedge and self.hedge.finished and self.can_take_over():
                raise hedge_module.TakenOver()
        raise TimeoutError("silent until the deadline")

    def on_prefill_silence(self, sock: socket.socket) -> float:
        """Wait for a silent prefill replica until it answers or the decode replica can prefill instead.

        Returns the timeout of the next read, in seconds, once there is something to read. Raises TimeoutError once the
        prefill is to be given up, at the latest at the deadline.
        """
        replica, is_probed = self.pair.prefill_replica, False
        self.record_silence("prefill", replica)
        while (remaining_s := self.request.deadline - self.environment.now()) > 0:
            if self.decode_replica_is_secured():
                raise TimeoutError("silent prefill")  # its replica is probed after this failure
            if not is_probed:
                self.spawns(lambda: self.probe_connection(replica))
                is_probed = True
            if connection.wait_for_input(sock, min(remaining_s, constants.HEDGE_RETRY_INTERVAL_S)):
                return constants.MIN_PREFILL_TIMEOUT_S
        raise TimeoutError("silent until the deadline")

    def record_silence(self, stage: str, replica: known_replicas.Endpoint) -> None:
        """Count a silence, by the stage of the request."""
        self.router.journal.add("silence", outcome=stage, replica=replica.name, request=self.request.id)

    def decode_replica_is_secured(self) -> bool:
        """Whether the decode replica of the pair can take the prompt now: a try, an extra send and a connection."""
        replica = self.pair.decode_replica
        if self.counts.tries() >= self.route["tries"] or not self.is_available(replica) or not self.pay(1):
            return False
        try:
            self.environment.kept.check_connects(replica.url.removeprefix("http://"))
        except http_client.ExchangeError:
            return False
        return True

    def may_hedge(self) -> bool:
        """Whether the request may be sent to another replica while one is working on it."""
        return self.repeatable and (not self.delivering or self.can_resume()) and self.may_retry()

    def start_hedge(self) -> None:
        """Start a hedge if there is none, and it is allowed and paid for."""
        if self.hedge or not self.may_hedge() or not self.pay(1):
            return
        hedge = hedge_module.Hedge(self.new_attempt())
        if not self.spawns(hedge.run):
            hedge.cancel()
            return
        self.hedge, self.prepaid = hedge, 0
        self.record_hedge("started")

    def spawns(self, call: collections.abc.Callable[[], None]) -> bool:
        """Run call() in a thread of its own; return whether one could be started."""
        try:
            self.environment.spawn(call)
        except RuntimeError:
            return False
        return True

    def new_attempt(self) -> typing.Any:
        """A delivery of the same request to another replica, which counts its sends together with this one."""
        request = dataclasses.replace(self.request, caller=caller_module.Caller())
        attempt = type(self)(self.router, request, self.counts)
        attempt.working_replicas = self.working_replicas | {self.pair.decode_replica.name}
        attempt.excluded = self.excluded | attempt.working_replicas
        attempt.last_event_id = self.last_event_id
        attempt.permitted_tenant = self.permitted_tenant
        attempt.prepaid = self.prepaid
        attempt.may_have_run = True
        return attempt

    def can_take_over(self) -> bool:
        """Whether the finished hedge has a response that continues this request; else it is dropped."""
        if self.hedge.has_response() and self.may_follow(self.hedge.response_start):
            return True
        hedge, self.hedge = self.hedge, None
        hedge.cancel()
        self.prepaid += hedge.delivery.prepaid
        self.excluded |= hedge.delivery.excluded
        self.failures += hedge.delivery.failures
        self.record_hedge("failed", str(hedge.failure or "response of another kind"))
        return False

    def take_over(self) -> response_start_module.ResponseStart:
        """The start of the hedge's response, which is delivered from now on; the work of the silent replica ends."""
        name = self.pair.decode_replica.name
        self.record_failure(
            verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, "Timeout: another replica was faster", name)
        )
        return self.adopt_hedge()

    def adopt_hedge(self) -> response_start_module.ResponseStart:
        """The start of the hedge's response; what the hedge holds belongs to this delivery from now on."""
        hedge, self.hedge = self.hedge, None
        response_start, other = hedge.take(), hedge.delivery
        self.pair, self.handle, self.reply = other.pair, other.handle, other.reply
        other.pair = other.handle = other.reply = None
        self.route, self.selector, self.last_event_at = other.route, other.selector, other.last_event_at
        self.prepaid += other.prepaid
        self.excluded |= other.excluded
        self.failures += other.failures
        self.replica_response = None
        self.reply.move_to(self.request.caller.cancellation, self.on_silence)
        self.record_hedge("took_over")
        return response_start

    def await_hedge(self) -> response_start_module.ResponseStart | None:
        """The start of the hedge's response after this attempt has failed; None if there is no hedge or it fails."""
        while self.hedge and not self.hedge.finished:
            self.raise_if_caller_left()
            self.environment.sleep(constants.PLACEMENT_INTERVAL_S)
        if self.hedge and self.can_take_over():
            return self.adopt_hedge()
        return None

    def cancel_hedge(self) -> None:
        """End the work of the hedge, if there is one."""
        if self.hedge:
            hedge, self.hedge = self.hedge, None
            hedge.cancel()
            self.record_hedge("not_needed")

    def record_hedge(self, outcome: str, reason: str = "") -> None:
        """Count a hedge that started or ended."""
        self.router.journal.add("hedge", outcome=outcome, reason=reason, request=self.request.id)
