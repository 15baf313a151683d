"""The owner's side and the followers' side of one replicated log.

Every append carries a round number that members echo; a read or a lease answer
waits until a majority has echoed a round sent after it was asked, which proves
that this owner still was the owner then. An entry counts as held by a member
only when that member has synced it. `sure_until` is how long this owner may act
without asking again: no vote can be given before it is over.
"""

import mothshed.common.constants as constants


class Replication:
    def start_replication(self):
        self.round, self.sent_at = 0, {}
        self.next, self.match, self.acked, self.ack_time = {}, {}, {}, {}
        self.confirms = []
        self.spread_at = -1.0
        self.spread_due = None
        self.sure_until = 0.0
        self.ready = False
        self.won_at = self.desk.now()

    def targets(self):
        return self.others() + [m for m in self.learners if m not in self.members]

    def spread(self):
        """Sends what is missing to every member, at most once in a ROUND_GAP."""
        gap = self.spread_at + constants.ROUND_GAP - self.desk.now()
        if gap <= 0:
            self.spread_now()
        elif not self.spread_due:
            self.spread_due = self.desk.beat(gap, self.guard(self.spread_now))

    def spread_now(self):
        self.spread_due = None
        if not self.owns:
            return
        self.spread_at = self.desk.now()
        self.round += 1
        self.sent_at[self.round] = self.spread_at
        self.sent_at.pop(self.round - 500, None)
        for m in self.targets():
            self.send_append(m)
        self.count_rounds()

    def send_append(self, m):
        at = self.next.setdefault(m, self.log.last + 1)
        prev_term = self.log.term_at(at - 1)
        if prev_term is None:
            snap = self.log.snap
            self.tell(
                m,
                "snap",
                term=self.log.term,
                index=snap["index"],
                index_term=snap["term"],
                members=snap["members"],
                state=snap["state"],
                round=self.round,
            )
            return
        entries = self.log.entries[at - 1 - self.log.base :][: constants.APPEND_MOST]
        self.tell(
            m,
            "append",
            term=self.log.term,
            prev=at - 1,
            prev_term=prev_term,
            commit=self.commit,
            round=self.round,
            entries=entries,
        )

    def on_append(self, sender, body):
        if body["term"] < self.log.term:
            self.desk.tell(
                sender, "append_say", part=self.part, who=self.who, term=self.log.term, good=False, match=0, round=0
            )
            return
        self.follow(body, sender)
        prev, good = body["prev"], True
        if prev < self.log.base:
            entries = [e for e in body["entries"] if e["i"] > self.log.base]
            good = bool(entries) or prev + len(body["entries"]) == self.log.base
        else:
            entries = body["entries"]
            good = self.log.term_at(prev) == body["prev_term"]
        match = min(self.log.last, max(0, prev - 1))
        if good:
            new = [e for e in entries if self.log.term_at(e["i"]) != e["t"]]
            if new:
                self.log.put([e for e in entries if e["i"] >= new[0]["i"]])
                self.read_members()
            match = max(prev + len(body["entries"]), self.log.base)
            if min(body["commit"], match) > self.commit:
                self.commit = min(body["commit"], match)
                self.apply_all()
        self.tell(body["who"], "append_say", term=self.log.term, good=good, match=match, round=body["round"])

    def on_snap(self, sender, body):
        if body["term"] < self.log.term:
            return
        self.follow(body, sender)
        if body["index"] > self.commit:
            snap = {
                "index": body["index"],
                "term": body["index_term"],
                "members": body["members"],
                "state": body["state"],
            }
            self.log.put_snap(snap, body["index"])
            self.machine.restore(body["state"])
            self.commit = self.applied = body["index"]
            self.read_members()
        self.tell(
            body["who"],
            "append_say",
            term=self.log.term,
            good=True,
            match=max(body["index"], self.log.base),
            round=body["round"],
        )

    def on_append_say(self, sender, body):
        if body["term"] > self.log.term:
            if body["who"] in self.members:
                self.take_term(body["term"])
            return
        if not self.owns or body["term"] != self.log.term:
            return
        m = body["who"]
        self.ack_time[m] = self.desk.now()
        self.acked[m] = max(self.acked.get(m, 0), body["round"])
        if body["good"]:
            self.match[m] = max(self.match.get(m, 0), body["match"])
            self.next[m] = self.match[m] + 1
        else:
            self.next[m] = body["match"] + 1
        if self.next[m] <= self.log.last:
            self.spread()
        self.count_rounds()
        self.count_commit()
        self.admit_some()

    def count_commit(self):
        held = sorted([self.log.last] + [self.match.get(m, 0) for m in self.others()], reverse=True)
        if self.who not in self.members:
            held.remove(self.log.last)
        index = held[self.majority - 1] if len(held) >= self.majority else 0
        if index > self.commit and self.log.term_at(index) == self.log.term:
            self.commit = index
            self.apply_all()
            if self.owns:
                self.spread()

    def count_rounds(self):
        if not self.owns:
            return
        seen = sorted([self.round] + [self.acked.get(m, 0) for m in self.others()], reverse=True)
        sure = seen[self.majority - 1] if len(seen) >= self.majority else 0
        if sure in self.sent_at:
            self.sure_until = max(self.sure_until, self.sent_at[sure] + constants.VOTE_HOLD - constants.LEASE_SLACK)
        due = [c for c in self.confirms if c[0] <= sure]
        self.confirms = [c for c in self.confirms if c[0] > sure]
        for need, call in due:
            call(True)

    def confirm(self, call):
        """call(True) once a majority has answered a round sent from now on."""
        if not (self.owns and self.ready):
            call(False)
            return
        self.confirms.append((self.round + 1, call))
        self.spread()

    def fail_confirms(self):
        due, self.confirms = self.confirms, []
        for need, call in due:
            call(False)

    def sure(self):
        return self.owns and self.ready and self.desk.now() < self.sure_until

    def keep_owning(self, now):
        fresh = [m for m in self.others() if now - self.ack_time.get(m, self.won_at) < constants.OWNER_QUIET]
        if len(fresh) + 1 < self.majority:
            self.step_back(True)
            return
        self.spread()
        self.admit_some()
