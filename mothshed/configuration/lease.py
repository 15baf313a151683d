"""The holder's side of the configuration lease.

A process serves only while a lease runs, and the lease is counted from the
moment it asked, so whatever delay or freeze follows only shortens it. While a
newer document is staged here, no lease lasts more than SHORT_LEASE_S. A document comes
whole, or as the difference to one that is held here (`changes`); where that base is
missing, the next ask says that it takes none, and the whole is sent. `sequence`
is the check made right before every send: it gives the sequence to serve under,
or None. All of it runs in one mailbox; readers in other threads see one tuple.
"""

import dataclasses
import typing

import mothshed.configuration.document_difference as document_difference
import mothshed.constants as constants
import mothshed.runtime.log_buffer as log_buffer


@dataclasses.dataclass
class AskCounts:
    """What became of the asks since the lease last ran: tells why none runs."""

    sent: int = 0
    redirected: int = 0  # the one that was asked does not lead
    empty_grants: int = 0  # the leader grants no lease of the version held here


class Lease:
    def __init__(self, environment, keepers, changed=lambda: None):
        self.environment = environment
        self.keepers = keepers  # () -> addresses that may know the leader
        self.changed = changed
        self.leader = ""
        self.docs = {}  # sequence -> document: the active one, and what is staged
        self.former = {}  # the same of the one that was active before: a change made from it may be on its way
        self.takes_changes = True  # False from a change that does not fit until the next document
        self.active, self.staged = 0, 0
        self.until = 0.0
        self.view = (0, 0.0, None)  # (active, until, document), read by other threads
        self.mark = int(
            environment.now() * constants.REQUEST_MARKS_PER_S
        )  # of the last ask; no life before used the same
        self.asked, self.responded = {}, environment.now()  # mark -> when it was asked; when the leader last answered
        self.started = environment.now()
        self.number = 0  # latest news number
        self.turn = 0
        self.asked_at = -constants.LEASE_RENEWAL_INTERVAL_S  # when it last asked
        self.next_tick = None
        self.asks = AskCounts()
        self.staged_at: dict[int, float] = {}  # sequence -> when its document came
        self.reports = log_buffer.RateLimiter(
            constants.MAX_VERSION_REPORT_BURST_LINES, constants.VERSION_REPORT_LINES_PER_S
        )
        for kind in ("grant", "news", "look_elsewhere"):
            environment.subscribe(kind, getattr(self, "on_" + kind), 0)
        environment.post(self.tick)

    def tick(self):
        self.ask()
        busy = self.staged > self.active
        self.next_tick = self.environment.call_later(
            constants.SHORT_LEASE_RENEWAL_INTERVAL_S if busy else constants.LEASE_RENEWAL_INTERVAL_S, self.tick
        )

    def renew_soon(self) -> None:
        """Ask at once, or one short interval after the last time: a short lease runs out before the usual one."""
        if not self.next_tick:  # the first tick is still to come
            return
        self.next_tick.cancel()
        wait = self.asked_at + constants.SHORT_LEASE_RENEWAL_INTERVAL_S - self.environment.now()
        if wait > 0:
            self.next_tick = self.environment.call_later(wait, self.tick)
        else:
            self.tick()

    def ask(self):
        now = self.environment.now()
        if now - self.responded > 2 * constants.LEASE_RENEWAL_INTERVAL_S:
            self.leader = ""
        self.mark += 1
        self.asked[self.mark] = self.asked_at = now
        self.asked.pop(self.mark - 50, None)
        self.asks.sent += 1
        for goal in [self.leader] if self.leader else self.some_keepers():
            self.environment.send(
                goal,
                "ask",
                part=0,
                mark=self.mark,
                held=self.active,
                staged=self.staged,
                takes_changes=self.takes_changes,
            )

    def some_keepers(self):
        """While no leader is known: a few at once, in a steady order so that none is passed over."""
        known = sorted(set(self.keepers()))
        self.turn += constants.MAX_LEASE_REQUEST_MEMBERS
        return [
            known[(self.turn + n) % len(known)] for n in range(min(constants.MAX_LEASE_REQUEST_MEMBERS, len(known)))
        ]

    def on_look_elsewhere(self, sender, body):
        self.asks.redirected += 1
        if body["leader"] and body["leader"] != self.leader:
            self.leader = body["leader"]
            self.responded = self.environment.now()
            self.ask()

    def on_grant(self, sender, body):
        asked = self.asked.pop(body["mark"], None)
        if asked is None:
            return
        self.responded = self.environment.now()
        self.leader = sender
        self.stage(self.documents(body), sender, body["number"])
        if body["active"] < self.active:
            return
        length = body["length"]
        if self.staged > body["active"]:
            length = min(length, constants.SHORT_LEASE_S)
        self.activate(body["active"])
        if self.active == body["active"] and length > 0:  # a grant of no length says only who leads
            self.note_gap(asked + length)
            self.until = max(self.until, asked + length)
        else:
            self.asks.empty_grants += 1
        if 0 < length <= constants.SHORT_LEASE_S:
            self.renew_soon()
        self.show()

    def on_news(self, sender, body):
        self.responded = self.environment.now()
        self.leader = sender
        self.stage(self.documents(body), sender, body["number"])
        self.activate(body["active"])
        self.show()

    def documents(self, body: dict[str, typing.Any]) -> list[tuple[int, document_difference.Document]]:
        """The documents of a record, by sequence: those that came whole, and those that its changes lead to."""
        found = {sequence: document for sequence, document in body["docs"]}
        for sequence, base, change in body.get("changes", ()):
            document = self.changed_document(base, change, found)
            if document is not None:
                found[sequence] = document
        return sorted(found.items())

    def changed_document(
        self,
        base: int,
        change: document_difference.Difference,
        received: dict[int, document_difference.Document],
    ) -> document_difference.Document | None:
        """The document that a change makes of its base; None, and the whole is asked for, if that can't be told."""
        known = received.get(base) or self.docs.get(base) or self.former.get(base)
        try:
            if known is not None:
                return document_difference.apply_difference(known, change)
        except document_difference.DifferenceError as fault:
            log_buffer.failure("change_does_not_fit", fault, base=base)
        log_buffer.note("change_not_taken", base=base, active=self.active, staged=self.staged)
        self.takes_changes = False
        self.renew_soon()
        return None

    def stage(self, docs, sender, number):
        self.number = number
        was_busy = self.staged > self.active
        for sequence, doc in docs:
            self.docs[sequence] = doc
            self.takes_changes = True
            self.staged_at.setdefault(sequence, self.environment.now())
            self.staged = max(self.staged, sequence)
        if self.staged > self.active:
            self.until = min(self.until, self.environment.now() + constants.SHORT_LEASE_S)
            self.show()
        if docs:
            self.environment.send(sender, "news_ack", part=0, number=number, staged=self.staged)
        if self.staged > self.active and not was_busy:
            self.renew_soon()

    def activate(self, sequence):
        if sequence <= self.active or sequence not in self.docs:
            return
        former, self.active = self.active, sequence
        self.former = {former: self.docs[former]} if former in self.docs else {}
        for old in [s for s in self.docs if s < sequence]:
            del self.docs[old]
        self.note_version(former)
        self.renew_soon()  # what is left of a short lease ends soon; the next one may be long

    def note_version(self, former: int) -> None:
        """Report that another version is in force here, and how long its document waited for that."""
        staged_s = round(self.environment.now() - self.staged_at[self.active], 3)
        self.staged_at = {s: at for s, at in self.staged_at.items() if s > self.active}
        fields = {"sequence": self.active, "former": former, "staged_s": staged_s, "leader": self.leader}
        log_buffer.report_limited(self.reports, "version_in_force", **fields)

    def note_gap(self, until: float) -> None:
        """Report how long no lease ran, if this one ends such a time; counted from the start for the first."""
        now = self.environment.now()
        missing = now - max(self.until, self.started)
        if until > now and missing > constants.MIN_REPORTED_LEASE_GAP_S:
            fields = dataclasses.asdict(self.asks) | {"sequence": self.active, "leader": self.leader}
            log_buffer.report("lease_back", missing_s=round(missing, 3), **fields)
        if until > now:
            self.asks = AskCounts()

    def show(self):
        old = self.view[0]
        self.view = (self.active, self.until, self.docs.get(self.active))
        if old != self.active:
            self.changed()

    def sequence(self):
        """The sequence to serve under now, or None."""
        active, until, doc = self.view
        return active if doc is not None and self.environment.now() < until else None

    def document(self):
        return self.view[2]

    def current(self) -> tuple[int | None, dict[str, typing.Any] | None]:
        """(sequence to serve under now or None, its document), both of one moment."""
        active, until, doc = self.view
        return (active, doc) if doc is not None and self.environment.now() < until else (None, doc)
