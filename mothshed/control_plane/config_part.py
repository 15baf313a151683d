"""The configuration part: whole documents, compare-and-set, stage then activate.

Every member applies `config_machine`; the duty here is what only the leader does:
it answers the asks of those that serve (each after a majority confirmed it),
pushes numbered news, counts acknowledgements and activates a staged document
once every leaseholder it may have has staged it or lapsed. The timing argument
is in docs/configuration.md. A new leader does not know the leaseholders: it activates
nothing before its predecessors' leases have run out. It grants older leases for as long
as it can prove that what was staged then is not acknowledged for too long.
"""

import math

import mothshed.constants as constants
import mothshed.control_plane.document_delivery as document_delivery
import mothshed.control_plane.leader_hint as leader_hint
import mothshed.control_plane.lease_bounds as lease_bounds
import mothshed.control_plane.leaseholder as leaseholder
import mothshed.runtime.log_buffer as log_buffer


class ConfigDuty:
    def __init__(self, member, bounds=None):
        self.bounds = bounds or lease_bounds.LeaseBounds()
        self.member, self.machine, self.environment = member, member.machine, member.environment
        self.on = False
        self.delivery = document_delivery.DocumentDelivery(lambda: self.machine.docs)
        self.holders = {}  # address -> leaseholder.Leaseholder
        self.staged_at = {}  # sequence not active yet -> a moment at or before its commit; -inf if none is known
        self.acks = {}  # news number -> addresses
        self.number = 0
        self.asking = False
        self.lost = {}  # address -> (when, mark): asked here while this was not the leader
        self.reports = log_buffer.RateLimiter(
            constants.MAX_VERSION_REPORT_BURST_LINES, constants.VERSION_REPORT_LINES_PER_S
        )
        self.withheld = 0  # the newest sequence for which no lease of an older one was granted
        member.leader_tasks.append(self)
        self.machine.changed = self.changed
        self.environment.subscribe("ask", self.on_ask, 0)
        self.environment.subscribe("news_ack", self.on_news_ack, 0)

    def start(self):
        self.on, self.asking = True, False
        self.holders, self.acks = {}, {}
        self.delivery = document_delivery.DocumentDelivery(lambda: self.machine.docs)
        inherited = {s: index for s, index in self.machine.staged_log_index.items() if s > self.machine.active}
        self.staged_at = {s: self.committed_since(index) for s, index in inherited.items()}
        self.number = self.member.log.term * 1000000
        self.started = self.environment.now()
        self.activates_from = self.member.former_leases_end(self.bounds.long_s)
        for address, (at, mark) in self.lost.items():
            if at > self.started - constants.LONG_LEASE_S:
                self.environment.send(address, "look_elsewhere", part=0, mark=mark, leader=self.environment.address)
        self.lost = {}
        self.tick()

    def committed_since(self, index: int | None) -> float:
        """A moment before which an inherited entry was not committed, and so not acknowledged; -inf if not known."""
        moment = None if index is None else self.member.not_committed_before(index)
        return -math.inf if moment is None else float(moment)

    def stop(self):
        self.on = False

    def tick(self):
        if self.on:
            self.try_activate()
            self.environment.call_later(constants.SHORT_LEASE_S / 4, self.tick)

    def changed(self, kind, sequence):
        if not self.on:
            return
        if kind == "stage":
            self.staged_at[sequence] = self.environment.now()
        else:
            self.note_activation(sequence)
            self.staged_at = {s: at for s, at in self.staged_at.items() if s > sequence}
        self.push()
        if kind == "stage":
            self.try_activate()

    def note_activation(self, sequence: int) -> None:
        """Report an activation: how long it took, and how many leaseholders lapsed rather than stage it."""
        after = self.environment.now() - self.staged_at.get(sequence, math.inf)
        fields = {"sequence": sequence, "after_s": round(after, 3) if after >= 0 else None}
        log_buffer.report_limited(self.reports, "version_activated", without=self.without(sequence), **fields)

    def without(self, sequence: int) -> list[str]:
        """A few leaseholders that have not staged a sequence."""
        lacking = sorted(address for address, holder in self.holders.items() if holder.staged < sequence)
        return lacking[: constants.MAX_NAMED_PROCESSES]

    def note_withheld(self) -> None:
        """Report, once for each version, that older ones are leased no longer though it is not active."""
        if self.withheld < self.machine.latest:
            self.withheld = self.machine.latest
            fields = {"latest": self.machine.latest, "active": self.machine.active}
            log_buffer.report_limited(
                self.reports, "older_leases_withheld", without=self.without(self.withheld), **fields
            )

    def push(self):
        self.number += 1
        self.acks[self.number] = set()
        self.acks.pop(self.number - 100, None)
        alike: dict[document_delivery.Lack, list[str]] = {}  # what to send -> leaseholders that lack just this
        for address, holder in self.holders.items():
            alike.setdefault(holder.take_lack(self.machine, self.environment.now()), []).append(address)
        for lack, addresses in alike.items():
            delivery = self.delivery.delivery(lack)
            self.environment.send_to_each(
                addresses,
                "news",
                part=0,
                number=self.number,
                active=self.machine.active,
                docs=delivery.docs,
                changes=delivery.changes,
            )

    def on_ask(self, sender, body):
        if not (self.on and self.member.is_leader):
            leader = leader_hint.leader_address(self.member)
            self.lost[sender] = (self.environment.now(), body["mark"])
            self.environment.send(sender, "look_elsewhere", part=0, mark=body["mark"], leader=leader)
            return
        holder = self.holders.setdefault(sender, leaseholder.Leaseholder())
        holder.note_ask(body, self.environment.now())
        self.member.confirm(lambda good: good and self.grant(sender, body))

    def length(self):
        machine, now = self.machine, self.environment.now()
        if machine.latest == machine.active:
            return self.bounds.long_s
        if now > min(self.staged_at.values(), default=-math.inf) + self.bounds.older_s:
            self.note_withheld()
            return 0.0
        return constants.SHORT_LEASE_S

    def grant(self, sender, body):
        now, length = self.environment.now(), self.length()
        holder = self.holders.setdefault(sender, leaseholder.Leaseholder(staged=body["staged"], active=body["held"]))
        delivery = self.delivery.delivery(holder.take_lack(self.machine, now))
        if length:
            holder.until = max(holder.until, now + length + constants.LEASE_CLOCK_MARGIN_S)
        self.environment.send(
            sender,
            "grant",
            part=0,
            mark=body["mark"],
            length=length,
            number=self.number,
            active=self.machine.active,
            docs=delivery.docs,
            leader=self.member.member_id,
            changes=delivery.changes,
        )

    def on_news_ack(self, sender, body):
        self.acks.get(body["number"], set()).add(sender)
        holder = self.holders.get(sender)
        if holder and body["staged"] > holder.staged:
            holder.staged = body["staged"]
            if body["staged"] > self.machine.active:
                cut = self.environment.now() + constants.SHORT_LEASE_S + constants.LEASE_CLOCK_MARGIN_S
                holder.until = min(holder.until, cut)
            self.try_activate()

    def try_activate(self):
        machine, now = self.machine, self.environment.now()
        for address in [
            a for a, h in self.holders.items() if max(h.until, h.asked) < now - constants.LEASE_HOLDER_TTL_S
        ]:
            del self.holders[address]
        if not self.on or machine.latest == machine.active or self.asking:
            return
        if now < self.activates_from:
            return
        reached = min([machine.latest] + [h.staged for h in self.holders.values() if h.until > now])
        goal = max((s for s in machine.docs if machine.active < s <= reached), default=0)
        if goal:
            self.asking = True
            self.member.propose({"op": "activate", "sequence": goal}, self.activated)

    def activated(self, result):
        self.asking = False

    def report(self):
        now = self.environment.now()
        return {
            "leaseholders": sum(h.until > now for h in self.holders.values()),
            "news": self.number,
            "acknowledged_by": sorted(self.acks.get(self.number, ())),
        }
