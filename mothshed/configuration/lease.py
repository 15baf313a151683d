"""The leaseholder's side of the configuration lease.

A process serves only while it holds a lease. The lease counts from the time of
the request, so any delay or pause after that only shortens it. While a newer document
is staged here, no lease lasts longer than SHORT_LEASE_S. A document arrives whole, as
the difference to a document held here (`changes`), or in pieces if it is large
(`large_documents`). If the base of a difference is missing, the next request declines
differences and the whole document is sent. `sequence` is the check made right before
every send: it returns the sequence to serve, or None.
All of this runs in one mailbox; other threads read one published tuple.
"""

import dataclasses
import typing

import mothshed.configuration.document_difference as document_difference
import mothshed.configuration.large_documents as large_documents
import mothshed.constants as constants
import mothshed.runtime.log_buffer as log_buffer


@dataclasses.dataclass
class RequestCounts:
    """Outcomes of the requests since the last valid lease; they show why there is none."""

    sent: int = 0
    redirected: int = 0  # the receiver was not the leader
    empty_grants: int = 0  # the leader grants no lease for the version held here


class Lease:
    def __init__(self, environment, keeper_addresses, notify_change=lambda: None):
        self.environment = environment
        self.keeper_addresses = keeper_addresses  # () -> addresses of keepers that may know the leader
        self.notify_change = notify_change
        self.leader = ""
        self.docs = {}  # sequence -> document: the active and the staged ones
        self.previous_documents = {}  # the previously active document: differences to it may be in flight
        self.takes_changes = True  # False from a failed difference until the next document
        self.active, self.staged = 0, 0
        self.valid_until = 0.0
        self.published = (0, 0.0, None)  # (active, valid_until, document), read by other threads
        # mark of the last request; starts at the clock so that a restarted process never reuses a mark
        self.request_mark = int(environment.now() * constants.REQUEST_MARKS_PER_S)
        self.requested_at = {}  # mark -> time of the request
        self.last_contact = environment.now()  # time of the last answer of a leader
        self.started_at = environment.now()
        self.news_number = 0  # number of the latest news record
        self.next_keeper_index = 0
        self.last_request = -constants.LEASE_RENEWAL_INTERVAL_S  # time of the last request
        self.next_tick = None
        self.request_counts = RequestCounts()
        self.staged_at: dict[int, float] = {}  # sequence -> time at which its document arrived
        self.report_limiter = log_buffer.RateLimiter(
            constants.MAX_VERSION_REPORT_BURST_LINES, constants.VERSION_REPORT_LINES_PER_S
        )
        self.large_documents = large_documents.LargeDocuments(environment, self.take_document)
        for kind in ("grant", "news", "look_elsewhere"):
            environment.subscribe(kind, getattr(self, "on_" + kind), 0)
        environment.post(self.tick)

    def tick(self):
        try:
            self.request_lease()
        finally:
            change_pending = self.staged > self.active
            self.next_tick = self.environment.call_later(
                constants.SHORT_LEASE_RENEWAL_INTERVAL_S if change_pending else constants.LEASE_RENEWAL_INTERVAL_S,
                self.tick,
            )

    def renew_soon(self) -> None:
        """Request a lease now, or one short interval after the last request, since a short lease expires early."""
        if not self.next_tick:  # not started yet
            return
        self.next_tick.cancel()
        wait = self.last_request + constants.SHORT_LEASE_RENEWAL_INTERVAL_S - self.environment.now()
        if wait > 0:
            self.next_tick = self.environment.call_later(wait, self.tick)
        else:
            self.tick()

    def request_lease(self):
        now = self.environment.now()
        if now - self.last_contact > 2 * constants.LEASE_RENEWAL_INTERVAL_S:
            self.leader = ""
        self.request_mark += 1
        self.requested_at[self.request_mark] = self.last_request = now
        self.requested_at.pop(self.request_mark - 50, None)
        self.request_counts.sent += 1
        for destination in [self.leader] if self.leader else self.next_keepers():
            self.environment.send(
                destination,
                "ask",
                part=0,
                mark=self.request_mark,
                held=self.active,
                staged=self.staged,
                takes_changes=self.takes_changes,
                takes_pieces=True,
            )

    def next_keepers(self):
        """The next few keepers to ask while no leader is known, in a fixed order so that none is skipped."""
        known = sorted(set(self.keeper_addresses()))
        self.next_keeper_index += constants.MAX_LEASE_REQUEST_MEMBERS
        return [
            known[(self.next_keeper_index + n) % len(known)]
            for n in range(min(constants.MAX_LEASE_REQUEST_MEMBERS, len(known)))
        ]

    def on_look_elsewhere(self, sender, body):
        self.request_counts.redirected += 1
        if body["leader"] and body["leader"] != self.leader:
            self.leader = body["leader"]
            self.last_contact = self.environment.now()
            self.request_lease()

    def on_grant(self, sender, body):
        requested_at = self.requested_at.pop(body["mark"], None)
        if requested_at is None:
            return
        self.last_contact = self.environment.now()
        self.leader = sender
        self.stage(self.documents_in_record(body), sender, body["number"])
        self.fetch_documents(body, sender)
        if body["active"] < self.active:
            return
        length = body["length"]
        if self.staged > body["active"]:
            length = min(length, constants.SHORT_LEASE_S)
        self.activate(body["active"])
        if self.active == body["active"] and length > 0:  # a grant of length 0 only identifies the leader
            self.report_gap(requested_at + length)
            self.valid_until = max(self.valid_until, requested_at + length)
        else:
            self.request_counts.empty_grants += 1
        if 0 < length <= constants.SHORT_LEASE_S:
            self.renew_soon()
        self.publish()

    def on_news(self, sender, body):
        self.last_contact = self.environment.now()
        self.leader = sender
        self.stage(self.documents_in_record(body), sender, body["number"])
        self.fetch_documents(body, sender)
        self.activate(body["active"])
        self.publish()

    def fetch_documents(self, body: dict[str, typing.Any], sender: str) -> None:
        """Fetch the large documents that a record names, unless they are here."""
        self.large_documents.fetch([row for row in body.get("large", ()) if row[0] not in self.docs], sender)

    def take_document(self, sequence: int, document: document_difference.Document, sender: str) -> None:
        """Stage a document that was fetched in pieces."""
        if sequence > self.active:
            self.stage([(sequence, document)], sender, self.news_number)
            self.publish()

    def documents_in_record(self, body: dict[str, typing.Any]) -> list[tuple[int, document_difference.Document]]:
        """The documents of a record, by sequence: the whole ones, and those rebuilt from its differences."""
        documents = {sequence: document for sequence, document in body["docs"]}
        for sequence, base, change in body.get("changes", ()):
            document = self.rebuilt_document(base, change, documents)
            if document is not None:
                documents[sequence] = document
        return sorted(documents.items())

    def rebuilt_document(
        self,
        base: int,
        change: document_difference.Difference,
        received: dict[int, document_difference.Document],
    ) -> document_difference.Document | None:
        """The document that a difference yields; None if that fails, and then the whole document is requested."""
        base_document = received.get(base) or self.docs.get(base) or self.previous_documents.get(base)
        try:
            if base_document is not None:
                return document_difference.apply_difference(base_document, change)
        except document_difference.DifferenceError as error:
            log_buffer.failure("change_does_not_fit", error, base=base)
        log_buffer.note("change_not_taken", base=base, active=self.active, staged=self.staged)
        self.takes_changes = False
        self.renew_soon()
        return None

    def stage(self, docs, sender, number):
        self.news_number = number
        change_was_pending = self.staged > self.active
        for sequence, doc in docs:
            self.docs[sequence] = doc
            self.takes_changes = True
            self.staged_at.setdefault(sequence, self.environment.now())
            self.staged = max(self.staged, sequence)
        if self.staged > self.active:
            self.valid_until = min(self.valid_until, self.environment.now() + constants.SHORT_LEASE_S)
            self.publish()
        if docs:
            self.environment.send(sender, "news_ack", part=0, number=number, staged=self.staged)
        if self.staged > self.active and not change_was_pending:
            self.renew_soon()

    def activate(self, sequence):
        if sequence <= self.active or sequence not in self.docs:
            return
        previous, self.active = self.active, sequence
        kept = (
            previous in self.docs and previous not in self.large_documents.sequences
        )  # those are no base of differences
        self.previous_documents = {previous: self.docs[previous]} if kept else {}
        for older in [s for s in self.docs if s < sequence]:
            del self.docs[older]
        self.report_version(previous)
        self.renew_soon()  # the current lease may be short; the next one may be long

    def report_version(self, previous: int) -> None:
        """Report that another version is in force here, and how long its document was staged."""
        staged_s = round(self.environment.now() - self.staged_at[self.active], 3)
        self.staged_at = {s: at for s, at in self.staged_at.items() if s > self.active}
        fields = {"sequence": self.active, "former": previous, "staged_s": staged_s, "leader": self.leader}
        log_buffer.report_limited(self.report_limiter, "version_in_force", **fields)

    def report_gap(self, valid_until: float) -> None:
        """Report the gap without a lease, if a new lease ends one; the first gap counts from the start."""
        now = self.environment.now()
        missing_s = now - max(self.valid_until, self.started_at)
        if valid_until > now and missing_s > constants.MIN_REPORTED_LEASE_GAP_S:
            fields = dataclasses.asdict(self.request_counts) | {"sequence": self.active, "leader": self.leader}
            log_buffer.report("lease_back", missing_s=round(missing_s, 3), **fields)
        if valid_until > now:
            self.request_counts = RequestCounts()

    def publish(self):
        previous = self.published[0]
        self.published = (self.active, self.valid_until, self.docs.get(self.active))
        if previous != self.active:
            self.notify_change()

    def sequence(self):
        """The sequence to serve now, or None without a lease."""
        active, valid_until, doc = self.published
        return active if doc is not None and self.environment.now() < valid_until else None

    def document(self):
        return self.published[2]

    def current(self) -> tuple[int | None, dict[str, typing.Any] | None]:
        """(sequence to serve now or None, active document), read consistently."""
        active, valid_until, doc = self.published
        return (active, doc) if doc is not None and self.environment.now() < valid_until else (None, doc)
