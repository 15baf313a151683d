"""A router's permits, one for each request of a tenant that has a limit, granted by the leader of the tenant's part.

All requests that wait for permits of one part are counted in one record, with one such permit request pending at a
time. A granted permit goes to a request that arrived before the permit request was sent, never to a later one:
docs/shared.md explains why the limit depends on that. Until a tenant's next token, its further requests are rejected
without a permit request.
"""

import collections
import dataclasses
import math
import threading
import typing

import mothshed.constants as constants
import mothshed.control_plane.parts as parts
import mothshed.replicas.leaders as leaders_module
import mothshed.replicas.verdict as verdict

Body = dict[str, typing.Any]


@dataclasses.dataclass
class Waiter:
    """A request that waits for a permit."""

    event: typing.Any
    first_request: int | None = None  # mark of the first permit request that counts it
    granted: bool = False
    retry_s: float | None = None  # if rejected: seconds until the tenant's next token


@dataclasses.dataclass
class PartRequests:
    """The requests that wait for permits of one part."""

    waiting: dict[str, collections.deque[Waiter]] = dataclasses.field(default_factory=dict)  # by tenant
    sent_at: dict[int, float] = dataclasses.field(default_factory=dict)  # mark -> time
    pending_request: int | None = None  # mark of the permit request that awaits its answer
    answer_s: float = 0.0  # the longest recent time to an answer; decays

    def note_answer(self, took_s: float) -> None:
        """Record how long an answer took."""
        self.answer_s = max(took_s, self.answer_s * constants.PERMIT_LATENCY_DECAY_RATIO)

    def retry_delay_s(self) -> float:
        """Return when to repeat a permit request; before its answer can arrive, requests would be counted twice."""
        expected_s = constants.PERMIT_RETRY_LATENCY_RATIO * self.answer_s
        return min(constants.MAX_PERMIT_RETRY_S, max(constants.MIN_PERMIT_RETRY_S, expected_s))


@dataclasses.dataclass(frozen=True)
class NextToken:
    """When a rejected tenant gets its next token, by the leader's document of this sequence.

    The leader says how long that takes from the moment at which it answered, which lies between the request and its
    answer: requests are refused without asking until the earliest time, and told the latest one.
    """

    sequence: int
    earliest_at: float
    latest_at: float


class Permits:
    """Requests permits and assigns them to the waiting requests."""

    def __init__(self, environment: typing.Any, leaders: leaders_module.Leaders, journal: typing.Any) -> None:
        self.environment, self.leaders, self.journal = environment, leaders, journal
        self.lock = threading.RLock()
        self.parts = {part: PartRequests() for part in range(1, constants.PART_COUNT)}
        self.next_tokens: dict[str, NextToken] = {}
        self.sequence = 0
        self.mark = int(environment.now() * constants.REQUEST_MARKS_PER_S)  # differs from all marks before a restart
        for part in self.parts:
            environment.subscribe("permits", self.on_permits, part)
        leaders.listeners.append(self.leader_changed)

    def take(
        self, tenant: str, row: dict[str, typing.Any], sequence: int, until: float, caller: typing.Any = None
    ) -> None:
        """Take a permit for one request, waiting for it until the given time at most.

        row: the tenant's row in the document of this sequence. caller: the wait ends when it disconnects.
        Raises Rejection (429 over the limit, 503 if nobody answers) and CallerDisconnected.
        """
        if not row.get("rate_per_s"):
            return
        self.refuse_before_next_token(tenant, sequence)
        waiter = Waiter(self.environment.new_event())
        try:
            self.enqueue(tenant, sequence, waiter)
            self.wait(waiter, until, caller)
        finally:
            self.dequeue(tenant, waiter)
        if waiter.granted:
            return
        if waiter.retry_s is not None:
            raise over_limit_rejection(waiter.retry_s)
        raise verdict.Rejection(503, "no permit", constants.PERMIT_RETRY_AFTER_S, "no_permit")

    def enqueue(self, tenant: str, sequence: int, waiter: Waiter) -> None:
        """Add a waiting request of a tenant, and request permits unless an answer is pending."""
        part = parts.part_of(tenant)
        with self.lock:
            self.sequence = max(self.sequence, sequence)
            self.parts[part].waiting.setdefault(tenant, collections.deque()).append(waiter)
            if self.parts[part].pending_request is None:
                self.send_request(part)

    def refuse_before_next_token(self, tenant: str, sequence: int) -> None:
        """Raise Rejection (429) if the tenant was rejected under this document and has no token yet."""
        known = self.next_tokens.get(tenant)
        if known is None:
            return
        now = self.environment.now()
        if known.sequence == sequence and now < known.earliest_at:
            raise over_limit_rejection(known.latest_at - now)
        self.next_tokens.pop(tenant, None)

    def wait(self, waiter: Waiter, until: float, caller: typing.Any) -> None:
        """Wait for the answer until the given time; raise CallerDisconnected once the caller is gone."""
        while not waiter.granted and waiter.retry_s is None:
            left = until - self.environment.now()
            if left <= 0:
                return
            if caller is not None and caller.has_disconnected():
                raise verdict.CallerDisconnected()
            waiter.event.wait(min(left, constants.MIN_PERMIT_RETRY_S))

    def dequeue(self, tenant: str, waiter: Waiter) -> None:
        """Remove a request that no longer waits."""
        with self.lock:
            waiting = self.parts[parts.part_of(tenant)].waiting
            rows = waiting.get(tenant)
            if rows and waiter in rows:
                rows.remove(waiter)
            if rows is not None and not rows:
                waiting.pop(tenant, None)

    def send_request(self, part: int) -> None:
        """Request permits for all waiting requests of a part. The caller holds the lock."""
        requests, now = self.parts[part], self.environment.now()
        if not requests.waiting:
            requests.pending_request = None
            return
        self.mark += 1
        requests.pending_request = self.mark
        requests.sent_at[self.mark] = now
        if len(requests.sent_at) > constants.MAX_PENDING_PERMIT_REQUESTS:
            del requests.sent_at[min(requests.sent_at)]
        for rows in requests.waiting.values():
            for waiter in rows:
                waiter.first_request = waiter.first_request or self.mark
        counts = {tenant: len(rows) for tenant, rows in requests.waiting.items()}
        self.environment.call_later(requests.retry_delay_s(), lambda mark=self.mark: self.retry_request(part, mark))
        destination = self.leaders.address_for(part)
        self.environment.send(
            destination, "permit_ask", part=part, mark=self.mark, sequence=self.sequence, counts=counts
        )

    def retry_request(self, part: int, mark: int) -> None:
        """Repeat a permit request that has no answer yet, possibly to another keeper."""
        with self.lock:
            if self.parts[part].pending_request == mark:
                self.journal.add("permit", outcome="unanswered")
                self.send_request(part)

    def leader_changed(self, part: int) -> None:
        """Repeat the pending permit request at a newly named leader."""
        with self.lock:
            if part in self.parts and self.parts[part].pending_request is not None:
                self.send_request(part)

    def on_permits(self, sender: str, body: Body) -> None:
        """Assign the grants in the leader's answer."""
        part, mark = body["part"], body["mark"]
        self.leaders.note_response(part, sender)
        with self.lock:
            requests = self.parts[part]
            sent_at = requests.sent_at.pop(mark, None)
            if sent_at is None:
                return
            now = self.environment.now()
            requests.note_answer(now - sent_at)
            for tenant, (count, wait_s) in body["grants"].items():
                self.assign_grants(requests, tenant, mark, count, wait_s)
                if wait_s > 0:
                    self.next_tokens[tenant] = NextToken(body["sequence"], sent_at + wait_s, now + wait_s)
            if requests.pending_request == mark:
                self.request_or_pause(part)

    def request_or_pause(self, part: int) -> None:
        """Request permits for requests that arrived meanwhile; what got no answer waits. The caller holds the lock."""
        requests = self.parts[part]
        if any(waiter.first_request is None for rows in requests.waiting.values() for waiter in rows):
            self.send_request(part)
        elif not requests.waiting:
            requests.pending_request = None

    def assign_grants(self, requests: PartRequests, tenant: str, mark: int, count: int, wait_s: float) -> None:
        """Grant the requests that the permit request counted; reject the rest of them if the bucket is empty."""
        for waiter in list(requests.waiting.get(tenant, ())):
            if waiter.first_request is None or waiter.first_request > mark:
                continue
            if count > 0:
                count -= 1
                waiter.granted = True
            elif wait_s > 0:
                waiter.retry_s = wait_s
            else:
                continue
            requests.waiting[tenant].remove(waiter)
            waiter.event.set()
        if not requests.waiting.get(tenant, True):
            del requests.waiting[tenant]


def over_limit_rejection(retry_s: float) -> verdict.Rejection:
    """Return the rejection of a request beyond its tenant's limit."""
    retry_ms = math.ceil(retry_s * 1000)  # rounded up: a caller that comes sooner would be refused again
    retry_s = max(constants.MIN_PERMIT_RETRY_AFTER_S, retry_ms / 1000)
    return verdict.Rejection(429, "the tenant's limit is reached", retry_s, "over_limit")
