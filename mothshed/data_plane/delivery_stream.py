"""Delivers the events of a stream; one that breaks resumes at another replica where that is allowed.

Only a run that goes on under the head that was sent is joined to a stream; any other one counts as a failed attempt.
"""

import collections.abc
import itertools

import mothshed.constants as constants
import mothshed.data_plane.hedge as hedge_module
import mothshed.data_plane.pauses as pauses_module
import mothshed.data_plane.response_start as response_start_module
import mothshed.http.http_client as http_client
import mothshed.replicas.verdict as verdict

Events = response_start_module.Events
ResponseStart = response_start_module.ResponseStart


class DeliveryStream:
    """The part of Delivery that runs from the first event on."""

    @property
    def delivering(self) -> bool:
        """Whether the head of the response was handed over to be sent."""
        return self.head is not None

    def may_be_resumed(self, response_start: ResponseStart) -> bool:
        """Whether events of another run may follow under the head of this response."""
        is_stream = self.repeatable and not response_start.is_whole
        return is_stream and response_start_module.may_be_continued(response_start.reply)

    def can_resume(self) -> bool:
        """Whether the stream that is being delivered may go on at another replica from here."""
        may_be_continued = response_start_module.may_be_continued(self.head)
        return self.repeatable and self.last_event_id is not None and may_be_continued

    def may_follow(self, response_start: ResponseStart) -> bool:
        """Whether a response can be delivered from here: anything at the start, later only what goes on."""
        if not self.delivering:
            return True
        if not response_start_module.continues(self.head, response_start.reply):
            return False
        event_id = response_start.event_id
        return event_id is None or self.last_event_id is None or event_id > self.last_event_id

    def stream_events(self, response_start: ResponseStart) -> collections.abc.Iterator[bytes]:
        """The events as they arrive, from further replicas if the stream breaks or pauses for too long."""
        remaining_events = response_start.remaining_events
        self.head = response_start.reply
        if response_start.event_id is not None:
            self.last_event_id = response_start.event_id
        with self.pauses.watch(pauses_module.PauseCause.CALLER):
            yield response_start.first_event
        while True:
            try:
                yield from self.forward_events(remaining_events)
                return
            except hedge_module.TakenOver:
                remaining_events = self.events_of(self.take_over())
            except http_client.ExchangeError as error:
                self.raise_if_caller_left()
                failure = verdict.SendFailure(verdict.Verdict.MAY_HAVE_RUN, str(error), self.pair.decode_replica.name)
                self.suspect_replica(failure, self.pair.decode_replica)
                self.record_failure(failure)
                remaining_events = self.resume()

    def forward_events(self, remaining_events: Events) -> collections.abc.Iterator[bytes]:
        """The events of the current replica, as they arrive."""
        while True:
            if self.reply:
                self.reply.set_timeout(self.next_event_timeout())
            try:
                with self.pauses.watch(pauses_module.PauseCause.REPLICA):
                    event, event_id = next(remaining_events)
            except StopIteration:
                self.cancel_hedge()
                return
            self.cancel_hedge()
            self.record_event_interval()
            if event_id is not None:
                if self.last_event_id is not None and event_id <= self.last_event_id:
                    raise http_client.ExchangeError("an event came twice", True)
                self.last_event_id = event_id
            with self.pauses.watch(pauses_module.PauseCause.CALLER):
                yield event

    def next_event_timeout(self) -> float:
        """Seconds without an event after which the stream is also requested from another replica."""
        remaining_s = self.request.deadline - self.environment.now()
        return min(remaining_s, constants.NEXT_EVENT_TIMEOUT_S) if self.may_hedge() else remaining_s

    def resume(self) -> Events:
        """Remaining events of a broken resumable stream, from another replica; raises StreamInterrupted if none."""
        response_start = self.await_hedge()
        while not response_start and self.can_resume() and self.may_retry():
            try:
                response_start = self.try_once()
            except verdict.SendFailure:  # it was not ready to be sent
                continue
            except verdict.Rejection:
                break
            if response_start and not self.may_follow(response_start):
                name = self.pair.decode_replica.name
                self.record_failure(
                    verdict.SendFailure(verdict.Verdict.RAN, "a response that can't follow the head", name)
                )
                response_start = None
        if not response_start:
            raise verdict.StreamInterrupted(self.interruption_reason(), "; ".join(map(str, self.failures)))
        return self.events_of(response_start)

    @staticmethod
    def events_of(response_start: ResponseStart) -> Events:
        """All events of a response, the first one included."""
        first = response_start.first_event, response_start.event_id
        return itertools.chain([first], response_start.remaining_events)
