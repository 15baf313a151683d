"""The configuration part: whole documents, compare-and-set, stage then activate.

The machine is what every member applies; the duty is what only the owner does:
it answers the asks of those that serve (each after a majority confirmed it),
pushes numbered news, counts acknowledgements and activates a staged document
once every leaseholder it may have has staged it or lapsed. The timing argument
is in docs/configuration.md. A new owner knows neither the leaseholders nor when
a staged document was acknowledged: it grants no older lease at all until the
document is active, and waits out a whole LEASE_LONG before that.
"""

import mothshed.common.constants as constants


class ConfigMachine:
    def __init__(self):
        self.docs = {}  # sequence -> {"doc", "by", "id"}
        self.latest = self.active = 0
        self.changed = lambda kind, sequence: None

    def apply(self, index, command):
        if command["op"] == "stage":
            return self.stage(command)
        if command["op"] == "activate" and self.active < command["sequence"] in self.docs:
            self.active = command["sequence"]
            for old in sorted(self.docs)[: -constants.HISTORY]:
                if old < self.active:
                    del self.docs[old]
            self.changed("activate", self.active)
        return {"active": self.active}

    def stage(self, command):
        for sequence, row in self.docs.items():
            if row["id"] == command["id"]:
                return {"sequence": sequence}
        if command["base"] != self.latest:
            return {"conflict": self.latest}
        wanted = command.get("sequence", self.latest + 1)
        if wanted <= self.latest:
            return {"low": self.latest}
        self.latest = wanted
        self.docs[self.latest] = {"doc": command["doc"], "by": command["by"], "id": command["id"]}
        self.changed("stage", self.latest)
        return {"sequence": self.latest}

    def dump(self):
        return {"latest": self.latest, "active": self.active, "docs": sorted(self.docs.items())}

    def restore(self, state):
        self.latest, self.active = state["latest"], state["active"]
        self.docs = {int(s): row for s, row in state["docs"]}


class ConfigDuty:
    def __init__(self, member):
        self.member, self.machine, self.desk = member, member.machine, member.desk
        self.on = False
        self.holders = {}  # address -> {"until", "staged"}
        self.staged_at = {}  # sequence -> when it was committed under this owner
        self.acks = {}  # news number -> addresses
        self.number = 0
        self.asking = False
        self.lost = {}  # address -> (when, mark): asked here while this was not the owner
        member.duties.append(self)
        self.machine.changed = self.changed
        self.desk.hear("ask", self.on_ask, 0)
        self.desk.hear("news_ack", self.on_news_ack, 0)

    def start(self):
        self.on, self.asking = True, False
        self.holders, self.staged_at, self.acks = {}, {}, {}
        self.number = self.member.log.term * 1000000
        self.started = self.desk.now()
        for address, (at, mark) in self.lost.items():
            if at > self.started - constants.LEASE_LONG:
                self.desk.tell(address, "look_elsewhere", part=0, mark=mark, owner=self.desk.address)
        self.lost = {}
        self.tick()

    def stop(self):
        self.on = False

    def tick(self):
        if self.on:
            self.try_activate()
            self.desk.beat(constants.LEASE_SHORT / 4, self.tick)

    def changed(self, kind, sequence):
        if not self.on:
            return
        if kind == "stage":
            self.staged_at[sequence] = self.desk.now()
        self.push()
        if kind == "stage":
            self.try_activate()

    def docs_after(self, staged):
        return [
            [s, row["doc"]] for s, row in sorted(self.machine.docs.items()) if s > staged and s >= self.machine.active
        ]

    def push(self):
        self.number += 1
        self.acks[self.number] = set()
        self.acks.pop(self.number - 100, None)
        for address, holder in self.holders.items():
            self.desk.tell(
                address,
                "news",
                part=0,
                number=self.number,
                active=self.machine.active,
                docs=self.docs_after(holder["staged"]),
            )

    def on_ask(self, sender, body):
        if not (self.on and self.member.owns):
            m = self.member
            fresh = m.owner and self.desk.now() - m.heard < constants.OWNER_FRESH
            owner = m.place_of(m.owner) if fresh else ""
            self.lost[sender] = (self.desk.now(), body["mark"])
            self.desk.tell(sender, "look_elsewhere", part=0, mark=body["mark"], owner=owner)
            return
        self.member.confirm(lambda good: good and self.grant(sender, body))

    def length(self):
        m, now = self.machine, self.desk.now()
        if m.latest == m.active:
            return constants.LEASE_LONG
        since = self.staged_at.get(min(s for s in m.docs if s > m.active))
        if since is None or now > since + constants.OLD_GRANTS:
            return 0.0
        return constants.LEASE_SHORT

    def grant(self, sender, body):
        now, length = self.desk.now(), self.length()
        holder = self.holders.setdefault(sender, {"until": 0.0, "staged": 0})
        holder["staged"] = body["staged"]
        if length:
            holder["until"] = max(holder["until"], now + length + constants.LEASE_SLACK)
        self.desk.tell(
            sender,
            "grant",
            part=0,
            mark=body["mark"],
            length=length,
            number=self.number,
            active=self.machine.active,
            docs=self.docs_after(body["staged"]),
            owner=self.member.who,
        )

    def on_news_ack(self, sender, body):
        self.acks.get(body["number"], set()).add(sender)
        holder = self.holders.get(sender)
        if holder and body["staged"] > holder["staged"]:
            holder["staged"] = body["staged"]
            if body["staged"] > self.machine.active:
                cut = self.desk.now() + constants.LEASE_SHORT + constants.LEASE_SLACK
                holder["until"] = min(holder["until"], cut)
            self.try_activate()

    def try_activate(self):
        m, now = self.machine, self.desk.now()
        for address in [a for a, h in self.holders.items() if h["until"] < now - 10 * constants.LEASE_LONG]:
            del self.holders[address]
        if not self.on or m.latest == m.active or self.asking:
            return
        if now < self.started + constants.LEASE_LONG + constants.LEASE_SLACK:
            return
        held = [h["staged"] for h in self.holders.values() if h["until"] > now]
        goal = min([m.latest] + held)
        if goal > m.active:
            self.asking = True
            self.member.propose({"op": "activate", "sequence": goal}, self.activated)

    def activated(self, result):
        self.asking = False

    def report(self):
        now = self.desk.now()
        return {
            "leaseholders": sum(h["until"] > now for h in self.holders.values()),
            "news": self.number,
            "acknowledged_by": sorted(self.acks.get(self.number, ())),
        }
