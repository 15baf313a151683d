"""How members come to be: birth of a group, learning, admission, replacement.

A group is born only when every first member says that it is empty. Anyone else,
a wiped member, a newcomer or one at a new address, asks to join; the owner feeds
it as a learner without a vote and, once it has caught up, puts it before the
members as one log entry. One change at a time, adding before removing, so that
any two successive majorities overlap. A silent member is let go only for a
caught-up newcomer, or at once for its own new incarnation.
"""

import mothshed.common.constants as constants


def name_of(who):
    return who.split("/")[0]


class Joining:
    def start_joining(self):
        self.empties = {}  # address -> (time, id, http) of first members that said empty
        self.learners = {}  # id -> {"address", "http", "at"}
        self.asked_at = -1e9

    def keep_joining(self, now):
        if now - self.asked_at < constants.JOIN_BEAT or self.owns:
            return
        self.asked_at = now
        if self.chart.state == "empty" and self.address in self.first:
            for address in self.first:
                self.desk.tell(address, "born_ask", part=self.part, who=self.who, address=self.address, http=self.http)
        if self.chart.state in ("empty", "learner") or now - self.heard > 2 * constants.ELECT_LOW:
            goals = {m["address"] for m in self.members.values()} | set(self.first) | set(self.known())
            for address in sorted(goals - {self.address}):
                self.desk.tell(address, "join_ask", part=self.part, who=self.who, address=self.address, http=self.http)

    def on_born_ask(self, sender, body):
        first = self.log.entries[0]["c"] if self.log.entries and self.log.base == 0 else {}
        self.desk.tell(
            sender,
            "born_say",
            part=self.part,
            who=self.who,
            address=self.address,
            http=self.http,
            empty=self.log.virgin,
            members=first.get("members", {}),
        )

    def on_born_say(self, sender, body):
        if not self.log.virgin:
            return
        if not body["empty"]:
            if self.who in body["members"]:
                self.birth(body["members"])
            return
        now = self.desk.now()
        self.empties[body["address"]] = (now, body["who"], body["http"])
        fresh = {a: e for a, e in self.empties.items() if now - e[0] < 2 * constants.JOIN_BEAT}
        if set(self.first) <= set(fresh) and len(self.first) >= 1:
            self.birth({fresh[a][1]: {"address": a, "http": fresh[a][2]} for a in sorted(self.first)})

    def birth(self, members):
        self.log.put([{"i": 1, "t": 0, "c": {"op": "members", "members": members}}])
        if self.chart.state == "learner":
            self.read_members()
            return
        self.chart.step("birth")
        self.read_members()
        self.heard = self.desk.now()

    def on_join_ask(self, sender, body):
        who = body["who"]
        self.where[who] = body["address"]
        if not self.owns:
            return
        if who in self.members and self.members[who]["address"] == body["address"]:
            return
        self.learners[who] = {"address": body["address"], "http": body["http"], "at": self.desk.now()}
        self.spread()

    def may_change(self):
        return self.ready and self.commit >= self.members_at

    def admit_some(self):
        if not self.owns or not self.may_change() or not self.members:
            return
        members, now = dict(self.members), self.desk.now()
        for who in list(members):  # one too many: let go of the stale one
            newer = [m for m in members if m != who and name_of(m) == name_of(who)]
            if newer and who != self.who and self.quiet(who, now) >= min(self.quiet(m, now) for m in newer):
                self.change({m: v for m, v in members.items() if m != who})
                return
        silent = [m for m in self.others() if self.quiet(m, now) > constants.MEMBER_SILENT]
        if len(members) > max(constants.FIRST_MEMBERS, len(self.first)) and silent:
            gone = max(silent, key=lambda m: self.quiet(m, now))
            self.change({m: v for m, v in members.items() if m != gone})
            return
        for who, seat in list(self.learners.items()):
            if min(now - seat["at"], self.quiet(who, now)) > 4 * constants.JOIN_BEAT:
                del self.learners[who]  # it stopped asking and answering
                continue
            place = {"address": seat["address"], "http": seat["http"]}
            if who in members:
                del self.learners[who]
                self.change({**members, who: place})
                return
            if self.quiet(who, now) > constants.OWNER_QUIET or self.match.get(who, -1) < self.commit:
                continue  # it must have learned all before it counts
            same = any(name_of(m) == name_of(who) for m in members)
            if same or silent or len(members) < constants.FIRST_MEMBERS:
                del self.learners[who]
                self.change({**members, who: place})
                return

    def quiet(self, who, now):
        return now - self.ack_time.get(who, self.won_at)

    def change(self, members):
        self.propose({"op": "members", "members": members})
