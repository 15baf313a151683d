"""Leader task of the configuration part: grants leases, distributes documents and activates staged ones.

Documents are replicated whole, accepted by compare-and-set on the base sequence, and first staged, then
activated. Every member applies `config_machine`; only the leader runs this task. It answers lease
requests (each only after a majority has confirmed the leader), pushes numbered news
records, collects acknowledgements, and activates a staged document once every possible
leaseholder has either staged it or lost its lease. docs/configuration.md gives the timing argument.

A new leader does not know the existing leaseholders, so it activates nothing before the
leases of its predecessors have expired. While a document is staged, it keeps granting leases of
the active one only as long as it can prove that the staged document was not acknowledged too long ago.
"""

import math

import mothshed.constants as constants
import mothshed.control_plane.document_delivery as document_delivery
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.control_plane.lease_bounds as lease_bounds
import mothshed.control_plane.leaseholder as leaseholder
import mothshed.runtime.log_buffer as log_buffer


class ConfigLeaderTask:
    def __init__(self, member, bounds=None):
        self.bounds = bounds or lease_bounds.LeaseBounds()
        self.member, self.machine, self.environment = member, member.machine, member.environment
        self.leading = False
        self.delivery = document_delivery.DocumentDelivery(self.machine)
        self.leaseholders = {}  # address -> leaseholder.Leaseholder
        self.staged_at = {}  # sequence not active yet -> a time at or before its commit; -inf if unknown
        self.acknowledged_by = {}  # news number -> addresses that acknowledged it
        self.news_number = 0
        self.activation_proposed = False
        self.redirected_requests = {}  # address -> (time, mark) of a request received while not the leader
        self.report_limiter = log_buffer.RateLimiter(
            constants.MAX_VERSION_REPORT_BURST_LINES, constants.VERSION_REPORT_LINES_PER_S
        )
        self.withheld_sequence = 0  # newest sequence for which leases of older ones were refused
        member.leader_tasks.append(self)
        self.machine.notify_change = self.handle_change
        self.environment.subscribe("ask", self.on_ask, 0)
        self.environment.subscribe("news_ack", self.on_news_ack, 0)

    def start(self):
        self.leading, self.activation_proposed = True, False
        self.leaseholders, self.acknowledged_by = {}, {}
        self.delivery = document_delivery.DocumentDelivery(self.machine)
        inherited = {s: index for s, index in self.machine.staged_log_index.items() if s > self.machine.active}
        self.staged_at = {s: self.earliest_commit_time(index) for s, index in inherited.items()}
        self.news_number = self.member.log.term * 1000000
        self.started_at = self.environment.now()
        self.activation_allowed_at = self.member.former_leases_end(self.bounds.long_lease_s)
        for address, (at, mark) in self.redirected_requests.items():
            if at > self.started_at - constants.LONG_LEASE_S:
                self.environment.send(address, "look_elsewhere", part=0, mark=mark, leader=self.environment.address)
        self.redirected_requests = {}
        self.tick()

    def earliest_commit_time(self, index: int | None) -> float:
        """A time before which an inherited entry was not committed, and so not acknowledged; -inf if unknown."""
        moment = None if index is None else self.member.not_committed_before(index)
        return -math.inf if moment is None else float(moment)

    def stop(self):
        self.leading = False

    def tick(self):
        if self.leading:
            try:
                self.try_activate()
            finally:
                self.environment.call_later(constants.SHORT_LEASE_S / 4, self.tick)

    def handle_change(self, kind, sequence):
        if not self.leading:
            return
        if kind == "stage":
            self.staged_at[sequence] = self.environment.now()
        else:
            self.report_activation(sequence)
            self.staged_at = {s: at for s, at in self.staged_at.items() if s > sequence}
        self.push_news()
        if kind == "stage":
            self.try_activate()

    def report_activation(self, sequence: int) -> None:
        """Report an activation: how long it took, and which leaseholders lapsed instead of staging it."""
        after = self.environment.now() - self.staged_at.get(sequence, math.inf)
        fields = {"sequence": sequence, "after_s": round(after, 3) if after >= 0 else None}
        log_buffer.report_limited(
            self.report_limiter, "version_activated", without=self.lagging_leaseholders(sequence), **fields
        )

    def lagging_leaseholders(self, sequence: int) -> list[str]:
        """Up to MAX_NAMED_PROCESSES leaseholders that have not staged a sequence."""
        lagging = sorted(address for address, entry in self.leaseholders.items() if entry.staged < sequence)
        return lagging[: constants.MAX_NAMED_PROCESSES]

    def report_withheld_leases(self) -> None:
        """Report, once per version, that leases of older versions are refused although it is not active yet."""
        if self.withheld_sequence < self.machine.latest:
            self.withheld_sequence = self.machine.latest
            fields = {"latest": self.machine.latest, "active": self.machine.active}
            log_buffer.report_limited(
                self.report_limiter,
                "older_leases_withheld",
                without=self.lagging_leaseholders(self.withheld_sequence),
                **fields,
            )

    def push_news(self):
        self.news_number += 1
        self.acknowledged_by[self.news_number] = set()
        self.acknowledged_by.pop(self.news_number - 100, None)
        addresses_by_missing: dict[document_delivery.MissingDocuments, list[str]] = {}
        for address, entry in self.leaseholders.items():
            addresses_by_missing.setdefault(entry.next_missing(self.machine, self.environment.now()), []).append(
                address
            )
        for missing, addresses in addresses_by_missing.items():
            delivery = self.delivery.prepare(missing)
            self.environment.send_to_each(
                addresses,
                "news",
                part=0,
                number=self.news_number,
                active=self.machine.active,
                docs=delivery.docs,
                changes=delivery.changes,
                large=delivery.large,
            )

    def on_ask(self, sender, body):
        if not (self.leading and self.member.is_leader):
            leader = leader_hint.leader_address(self.member)
            self.redirected_requests[sender] = (self.environment.now(), body["mark"])
            self.environment.send(sender, "look_elsewhere", part=0, mark=body["mark"], leader=leader)
            return
        entry = self.leaseholders.setdefault(sender, leaseholder.Leaseholder())
        entry.record_request(body, self.environment.now())
        self.member.confirm_leadership(lambda confirmed: confirmed and self.grant_lease(sender, body))

    def lease_length(self):
        machine, now = self.machine, self.environment.now()
        if machine.latest == machine.active:
            return self.bounds.long_lease_s
        if now > min(self.staged_at.values(), default=-math.inf) + self.bounds.older_lease_window_s:
            self.report_withheld_leases()
            return 0.0
        return constants.SHORT_LEASE_S

    def grant_lease(self, sender, body):
        now, length = self.environment.now(), self.lease_length()
        entry = self.leaseholders.setdefault(
            sender, leaseholder.Leaseholder(staged=body["staged"], active=body["held"])
        )
        delivery = self.delivery.prepare(entry.next_missing(self.machine, now))
        if length:
            entry.lease_end = max(entry.lease_end, now + length + constants.LEASE_CLOCK_MARGIN_S)
        self.environment.send(
            sender,
            "grant",
            part=0,
            mark=body["mark"],
            length=length,
            number=self.news_number,
            active=self.machine.active,
            docs=delivery.docs,
            leader=self.member.member_id,
            changes=delivery.changes,
            large=delivery.large,
        )

    def on_news_ack(self, sender, body):
        self.acknowledged_by.get(body["number"], set()).add(sender)
        entry = self.leaseholders.get(sender)
        if entry and body["staged"] > entry.staged:
            entry.staged = body["staged"]
            if body["staged"] > self.machine.active:
                short_lease_end = self.environment.now() + constants.SHORT_LEASE_S + constants.LEASE_CLOCK_MARGIN_S
                entry.lease_end = min(entry.lease_end, short_lease_end)
            self.try_activate()

    def try_activate(self):
        machine, now = self.machine, self.environment.now()
        for address in [
            address
            for address, entry in self.leaseholders.items()
            if max(entry.lease_end, entry.last_request) < now - constants.LEASE_HOLDER_TTL_S
        ]:
            del self.leaseholders[address]
        if not self.leading or machine.latest == machine.active or self.activation_proposed:
            return
        if now < self.activation_allowed_at:
            return
        reached = min(
            [machine.latest] + [entry.staged for entry in self.leaseholders.values() if entry.lease_end > now]
        )
        target = max((s for s in machine.docs if machine.active < s <= reached), default=0)
        if target:
            self.activation_proposed = True
            self.member.propose({"op": "activate", "sequence": target}, self.activation_finished)

    def activation_finished(self, result):
        self.activation_proposed = False

    def report(self):
        now = self.environment.now()
        return {
            "leaseholders": sum(entry.lease_end > now for entry in self.leaseholders.values()),
            "news": self.news_number,
            "acknowledged_by": sorted(self.acknowledged_by.get(self.news_number, ())),
        }
