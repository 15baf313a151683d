"""A router's permits: one for each request of a tenant that has a limit, from the leader of the tenant's part.

All requests that wait here for permits of one part are asked for in one record, one ask at a time. A permit that is
granted goes to a request that came before its ask was sent, never to a later one: docs/shared.md says why the limit
leans on that. Until a tenant's next token is there, further requests of it are refused without asking.
"""

import collections
import dataclasses
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
    first_mark: int | None = None  # of the first ask that counts it
    granted: bool = False
    retry_s: float | None = None  # refused: seconds until the tenant's next token


@dataclasses.dataclass
class PartAsks:
    """What waits for permits of one part."""

    waiting: dict[str, collections.deque[Waiter]] = dataclasses.field(default_factory=dict)  # by tenant
    asked_at: dict[int, float] = dataclasses.field(default_factory=dict)  # mark -> when
    unanswered: int | None = None  # mark of the ask under way
    answer_s: float = 0.0  # how long answers take: the longest lately

    def note_answer(self, took_s: float) -> None:
        """An answer took this long."""
        self.answer_s = max(took_s, self.answer_s * constants.PERMIT_LATENCY_DECAY_RATIO)

    def again_s(self) -> float:
        """After how long an ask is made anew. Sooner than answers come, requests would be counted twice."""
        usual_s = constants.PERMIT_RETRY_LATENCY_RATIO * self.answer_s
        return min(constants.MAX_PERMIT_RETRY_S, max(constants.MIN_PERMIT_RETRY_S, usual_s))


@dataclasses.dataclass(frozen=True)
class NextToken:
    """When a tenant that was refused has its next token, by the leader's document of this sequence."""

    sequence: int
    at: float


class Permits:
    """Asks for permits and hands them to the requests that wait."""

    def __init__(self, environment: typing.Any, leaders: leaders_module.Leaders, journal: typing.Any) -> None:
        self.environment, self.leaders, self.journal = environment, leaders, journal
        self.lock = threading.RLock()
        self.parts = {part: PartAsks() for part in range(1, constants.PART_COUNT)}
        self.next_tokens: dict[str, NextToken] = {}
        self.sequence = 0
        self.mark = int(environment.now() * constants.REQUEST_MARKS_PER_S)  # no life before used the same
        for part in self.parts:
            environment.subscribe("permits", self.on_permits, part)
        leaders.listeners.append(self.leader_changed)

    def take(
        self, tenant: str, row: dict[str, typing.Any], sequence: int, until: float, caller: typing.Any = None
    ) -> None:
        """Take a permit for one request, waiting until then for it at most.

        row: the tenant's in the document of this sequence. caller: whose leaving ends the wait.
        Raises Rejection (429 over the limit, 503 if nobody answers) and CallerDisconnected.
        """
        if not row.get("rate_per_s"):
            return
        self.refuse_before_next_token(tenant, sequence)
        waiter = Waiter(self.environment.new_event())
        try:
            self.enter(tenant, sequence, waiter)
            self.wait(waiter, until, caller)
        finally:
            self.forget(tenant, waiter)
        if waiter.granted:
            return
        if waiter.retry_s is not None:
            raise over_limit(waiter.retry_s)
        raise verdict.Rejection(503, "no permit", constants.PERMIT_RETRY_AFTER_S, "no_permit")

    def enter(self, tenant: str, sequence: int, waiter: Waiter) -> None:
        """Let one more request of a tenant wait for a permit, and ask for it unless an ask is under way."""
        part = parts.part_of(tenant)
        with self.lock:
            self.sequence = max(self.sequence, sequence)
            self.parts[part].waiting.setdefault(tenant, collections.deque()).append(waiter)
            if self.parts[part].unanswered is None:
                self.ask(part)

    def refuse_before_next_token(self, tenant: str, sequence: int) -> None:
        """Raise Rejection (429) if the tenant was refused by this document and its next token is still to come."""
        known = self.next_tokens.get(tenant)
        if known is None:
            return
        wait_s = known.at - self.environment.now()
        if known.sequence == sequence and wait_s > 0:
            raise over_limit(wait_s)
        self.next_tokens.pop(tenant, None)

    def wait(self, waiter: Waiter, until: float, caller: typing.Any) -> None:
        """Wait until the request has its answer, its time is over or its caller has left (CallerDisconnected)."""
        while not waiter.granted and waiter.retry_s is None:
            left = until - self.environment.now()
            if left <= 0:
                return
            if caller is not None and caller.has_left():
                raise verdict.CallerDisconnected()
            waiter.event.wait(min(left, constants.MIN_PERMIT_RETRY_S))

    def forget(self, tenant: str, waiter: Waiter) -> None:
        """The request waits no more."""
        with self.lock:
            waiting = self.parts[parts.part_of(tenant)].waiting
            rows = waiting.get(tenant)
            if rows and waiter in rows:
                rows.remove(waiter)
            if rows is not None and not rows:
                waiting.pop(tenant, None)

    def ask(self, part: int) -> None:
        """Ask for all that wait for permits of a part; under the lock."""
        asks, now = self.parts[part], self.environment.now()
        if not asks.waiting:
            asks.unanswered = None
            return
        self.mark += 1
        asks.unanswered = self.mark
        asks.asked_at[self.mark] = now
        if len(asks.asked_at) > constants.MAX_PENDING_PERMIT_REQUESTS:
            del asks.asked_at[min(asks.asked_at)]
        for rows in asks.waiting.values():
            for waiter in rows:
                waiter.first_mark = waiter.first_mark or self.mark
        counts = {tenant: len(rows) for tenant, rows in asks.waiting.items()}
        self.environment.call_later(asks.again_s(), lambda mark=self.mark: self.ask_again(part, mark))
        goal = self.leaders.address_for(part)
        self.environment.send(goal, "permit_ask", part=part, mark=self.mark, sequence=self.sequence, counts=counts)

    def ask_again(self, part: int, mark: int) -> None:
        """Nobody has answered an ask: it is made anew, perhaps elsewhere."""
        with self.lock:
            if self.parts[part].unanswered == mark:
                self.journal.add("permit", outcome="unanswered")
                self.ask(part)

    def leader_changed(self, part: int) -> None:
        """Somebody was named as a part's leader."""
        with self.lock:
            if part in self.parts and self.parts[part].unanswered is not None:
                self.ask(part)

    def on_permits(self, sender: str, body: Body) -> None:
        """The leader's answer."""
        part, mark = body["part"], body["mark"]
        self.leaders.note_response(part, sender)
        with self.lock:
            asks = self.parts[part]
            asked_at = asks.asked_at.pop(mark, None)
            if asked_at is None:
                return
            asks.note_answer(self.environment.now() - asked_at)
            for tenant, (count, wait_s) in body["grants"].items():
                self.hand_out(asks, tenant, mark, count, wait_s)
                if wait_s > 0:
                    self.next_tokens[tenant] = NextToken(body["sequence"], asked_at + wait_s)
            if asks.unanswered == mark:
                self.ask_or_pause(part)

    def ask_or_pause(self, part: int) -> None:
        """Ask for what came meanwhile; what the leader could not answer yet waits for the next time. Under the lock."""
        asks = self.parts[part]
        if any(waiter.first_mark is None for rows in asks.waiting.values() for waiter in rows):
            self.ask(part)
        elif not asks.waiting:
            asks.unanswered = None

    def hand_out(self, asks: PartAsks, tenant: str, mark: int, count: int, wait_s: float) -> None:
        """Give grants to those that an ask counted, and refuse the others of them if the bucket is empty."""
        for waiter in list(asks.waiting.get(tenant, ())):
            if waiter.first_mark is None or waiter.first_mark > mark:
                continue
            if count > 0:
                count -= 1
                waiter.granted = True
            elif wait_s > 0:
                waiter.retry_s = wait_s
            else:
                continue
            asks.waiting[tenant].remove(waiter)
            waiter.event.set()
        if not asks.waiting.get(tenant, True):
            del asks.waiting[tenant]


def over_limit(retry_s: float) -> verdict.Rejection:
    """The refusal of a request beyond its tenant's limit."""
    retry_s = max(constants.MIN_PERMIT_RETRY_AFTER_S, round(retry_s, 3))
    return verdict.Rejection(429, "the tenant's limit is reached", retry_s, "over_limit")
