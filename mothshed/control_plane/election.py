"""Who leads a part: votes, terms, hand-over.

A member stands when it has heard no leader for a random while, first in a trial
round that changes no term, so that a member cut off and back disturbs nobody. It
stands at the very moment its patience ends, and of two in a trial the one with the
later name gives way: an asker's answer follows its own ask down one connection, so
of two survivors only one goes on to the round that counts. No
member gives a vote within VOTE_WITHHOLD_S of hearing a leader, nor within VOTE_WITHHOLD_S of
its own start (its earlier promise may still hold); leases lean on that. Only a
named successor of a stopping leader is let past the hold. A member outside its
own view of the group, an empty or wiped one, never votes and never stands.
"""

import mothshed.constants as constants
import mothshed.runtime.ring as ring


class Election:
    """Candidacies, votes, terms and hand-over."""

    def start_election(self):
        self.votes = set()
        self.trial = False
        self.woken = self.desk.now()  # last vote given or asked for
        self.pick_patience()

    def pick_patience(self):
        self.patience = (
            constants.ELECTION_TIMEOUT_MIN_S + self.desk.random.random() * constants.ELECTION_TIMEOUT_SPREAD_S
        )

    def tick(self):
        if self.chart.state == "stopped":
            return
        self.guard(self.work)()
        self.desk.beat(constants.HEARTBEAT_INTERVAL_S, self.tick)

    def work(self):
        now = self.desk.now()
        if self.is_leader:
            self.keep_leading(now)
        elif self.chart.state in ("follower", "candidate") and not self.leaving:
            due = max(self.heard, self.woken) + self.patience - now
            if due <= 0:
                self.stand(trial=True)
            elif due < constants.HEARTBEAT_INTERVAL_S:
                self.desk.beat(due, self.guard(self.stand_if_due))
        self.keep_joining(now)

    def stand_if_due(self):
        quiet = self.desk.now() - max(self.heard, self.woken)
        if (
            self.chart.state in ("follower", "candidate")
            and not self.leaving
            and quiet > self.patience - constants.CLOCK_ROUNDING_ERROR_S
        ):
            self.stand(trial=True)

    def give_way(self):
        """Another one in a trial goes first; its answer to us counts no more."""
        self.votes, self.woken = set(), self.desk.now()
        self.pick_patience()

    def stand(self, trial, handed=False):
        self.woken = self.desk.now()
        self.pick_patience()
        self.trial = trial
        self.handed = handed
        self.votes = {self.who}
        self.chart.step("stand")
        self.leader = ""
        if not trial:
            self.log.put_term(self.log.term + 1, self.who)
        for m in self.others():
            self.tell(
                m,
                "vote_ask",
                term=self.log.term + (1 if trial else 0),
                last=self.log.last,
                last_term=self.log.last_term,
                trial=trial,
                handed=handed,
            )
        self.count_votes()

    def on_vote_ask(self, sender, body):
        now = self.desk.now()
        if self.who not in self.members:
            return
        if not body["handed"] and (self.is_leader or now - self.heard < constants.VOTE_WITHHOLD_S):
            return
        if body["term"] > self.log.term and not body["trial"]:
            self.take_term(body["term"])
        fresh = (body["last_term"], body["last"]) >= (self.log.last_term, self.log.last)
        if body["trial"]:
            good = body["term"] > self.log.term and fresh
            if good and self.chart.state == "candidate" and self.trial and body["who"] < self.who:
                self.give_way()
        else:
            good = body["term"] == self.log.term and fresh and self.log.vote in ("", body["who"])
            if good:
                self.log.put_term(self.log.term, body["who"])
                self.woken = now
        self.where[body["who"]] = sender
        self.tell(body["who"], "vote_say", term=self.log.term, granted=good, trial=body["trial"])

    def on_vote_say(self, sender, body):
        if body["term"] > self.log.term:
            self.take_term(body["term"])
            return
        if self.chart.state != "candidate" or body["trial"] != self.trial or not body["granted"]:
            return
        if not body["trial"] and body["term"] != self.log.term:
            return
        if self.votes:  # empty once it gave way
            self.votes.add(body["who"])
            self.count_votes()

    def count_votes(self):
        if not self.membership.has_quorum(self.votes):
            return
        if self.trial:
            self.stand(trial=False)
        else:
            self.win()

    def former_leases_end(self, lease_s: float) -> float:
        """When every lease that earlier leaders granted, each for lease_s at most, has run out: on this member's clock.

        A lease counts from its ask, and its leader granted it only after a majority echoed a round sent later.
        One of that majority is among those that elected this leader, and gave its vote no sooner than VOTE_WITHHOLD_S
        after that echo (an earlier leader that steps down had gone without a majority's echoes for QUORUM_TIMEOUT_S,
        which is no shorter). Votes for a successor that its leader named are given at once: then nothing is taken
        off.
        """
        held_s = 0.0 if self.handed else min(constants.VOTE_WITHHOLD_S, constants.QUORUM_TIMEOUT_S)
        return float(self.won_at) + lease_s - held_s + constants.LEASE_CLOCK_MARGIN_S

    def win(self):
        self.chart.step("win")
        self.leader = self.who
        self.won_at = self.desk.now()
        self.start_replication()
        self.ready = False
        self.propose({"op": "begin", "who": self.who}, self.begun)

    def begun(self, result):
        """Own first entry committed: all earlier ones are known, duties may start."""
        if result is not None and self.is_leader:
            self.ready = True
            took = round(self.desk.now() - self.won_at, 3)
            ring.report("part_led", part=self.part, who=self.who, term=self.log.term, after_s=took)
            for duty in self.duties:
                duty.start()
            self.change_members()

    def take_term(self, term):
        was = self.is_leader
        self.log.put_term(term, "")
        self.step_back(was)

    def step_back(self, was):
        self.chart.step("follow")
        if was:
            ring.report("part_given_up", part=self.part, who=self.who, term=self.log.term)
            self.leader = ""
            self.lose()

    def follow(self, body, sender):
        """A valid leader's record: obey it."""
        if body["term"] > self.log.term:
            self.take_term(body["term"])
        elif self.chart.state in ("candidate", "empty"):
            self.step_back(False)
        self.leader = body["who"]
        self.where[body["who"]] = sender
        self.heard = self.desk.now()

    def hand_over(self):
        """Names the fullest other member as successor and stops taking writes."""
        if not self.is_leader:
            return False
        held = {
            m: self.progress[m]
            for m in self.membership.voters
            if m in self.progress and m not in (self.who, *self.leavers)
        }
        ready = [m for m, progress in held.items() if progress.match == self.log.last]
        if not ready:
            return False
        self.tell(max(ready, key=lambda m: held[m].round), "hand", term=self.log.term)
        self.heard = self.desk.now()
        self.step_back(True)
        return True

    def on_hand(self, sender, body):
        if body["term"] == self.log.term and self.chart.state == "follower" and not self.leaving:
            self.stand(trial=False, handed=True)
