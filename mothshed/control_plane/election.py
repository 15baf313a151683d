"""Leader election: votes, terms and leadership transfer.

A member starts an election when it has had no contact with a leader for a random election timeout. A pre-vote
round comes first and changes no term, so that a member that returns after a partition disturbs nobody. The
election starts exactly when the timeout ends, not at the next heartbeat. Of two members in a pre-vote the one
with the greater id withdraws: its response to the other's request follows its own request on the same
connection, so that of two remaining members only one goes on to the real election.

No member grants a vote within VOTE_WITHHOLD_S after contact with a leader, nor within VOTE_WITHHOLD_S after its
own start, since a promise from before the restart may still hold. Leases rely on this. Only the successor named
in a leadership transfer is exempt. A member that is not in its own view of the group (its disk is empty or was
wiped) neither votes nor starts elections.
"""

import mothshed.constants as constants
import mothshed.control_plane.callbacks as callbacks
import mothshed.runtime.log_buffer as log_buffer


class Election:
    """Mixin of Member: candidacies, votes, terms and leadership transfer."""

    def init_election(self):
        self.votes = set()
        self.pre_vote = False
        self.last_vote_at = self.environment.now()  # when a vote was last granted or requested
        self.pick_election_timeout()

    def pick_election_timeout(self):
        self.election_timeout = (
            constants.ELECTION_TIMEOUT_MIN_S + self.environment.random.random() * constants.ELECTION_TIMEOUT_SPREAD_S
        )

    def tick(self):
        if self.chart.state == "stopped":
            return
        try:
            self.handle_disk_faults(self.run_periodic_tasks)()
        finally:
            self.environment.call_later(constants.HEARTBEAT_INTERVAL_S, self.tick)

    def run_periodic_tasks(self):
        now = self.environment.now()
        if self.is_leader:
            self.maintain_leadership(now)
        elif self.chart.state in ("follower", "candidate") and not self.leaving:
            remaining_s = max(self.last_contact, self.last_vote_at) + self.election_timeout - now
            if remaining_s <= 0:
                self.start_election(pre_vote=True)
            elif remaining_s < constants.HEARTBEAT_INTERVAL_S:
                self.environment.call_later(remaining_s, self.handle_disk_faults(self.start_election_if_due))
        self.send_join_requests(now)

    def start_election_if_due(self):
        elapsed_s = self.environment.now() - max(self.last_contact, self.last_vote_at)
        if (
            self.chart.state in ("follower", "candidate")
            and not self.leaving
            and elapsed_s > self.election_timeout - constants.CLOCK_ROUNDING_ERROR_S
        ):
            self.start_election(pre_vote=True)

    def withdraw_candidacy(self):
        """Gives way to another member in its pre-vote; votes that still arrive are ignored."""
        self.votes, self.last_vote_at = set(), self.environment.now()
        self.pick_election_timeout()

    def start_election(self, pre_vote, by_transfer=False):
        self.last_vote_at = self.environment.now()
        self.pick_election_timeout()
        self.pre_vote = pre_vote
        self.by_transfer = by_transfer
        self.votes = {self.member_id}
        self.chart.step("stand")
        self.leader = ""
        if not pre_vote:
            self.log.put_term(self.log.term + 1, self.member_id)
        for member_id in self.other_members():
            self.send(
                member_id,
                "vote_ask",
                term=self.log.term + (1 if pre_vote else 0),
                last=self.log.last,
                last_term=self.log.last_term,
                trial=pre_vote,
                handed=by_transfer,
            )
        self.count_votes()

    def on_vote_ask(self, sender, body):
        now = self.environment.now()
        if self.member_id not in self.members:
            return
        if not body["handed"] and (self.is_leader or now - self.last_contact < constants.VOTE_WITHHOLD_S):
            return
        if body["term"] > self.log.term and not body["trial"]:
            self.adopt_term(body["term"])
        log_up_to_date = (body["last_term"], body["last"]) >= (self.log.last_term, self.log.last)
        if body["trial"]:
            granted = body["term"] > self.log.term and log_up_to_date
            if granted and self.chart.state == "candidate" and self.pre_vote and body["who"] < self.member_id:
                self.withdraw_candidacy()
        else:
            granted = body["term"] == self.log.term and log_up_to_date and self.log.vote in ("", body["who"])
            if granted:
                self.log.put_term(self.log.term, body["who"])
                self.last_vote_at = now
        self.last_addresses[body["who"]] = sender
        self.send(body["who"], "vote_say", term=self.log.term, granted=granted, trial=body["trial"])

    def on_vote_say(self, sender, body):
        if body["term"] > self.log.term:
            self.adopt_term(body["term"])
            return
        if self.chart.state != "candidate" or body["trial"] != self.pre_vote or not body["granted"]:
            return
        if not body["trial"] and body["term"] != self.log.term:
            return
        if self.votes:  # empty after this member withdrew
            self.votes.add(body["who"])
            self.count_votes()

    def count_votes(self):
        if not self.membership.has_quorum(self.votes):
            return
        if self.pre_vote:
            self.start_election(pre_vote=False)
        else:
            self.become_leader()

    def former_leases_end(self, lease_s: float) -> float:
        """The time on this member's clock when all leases of earlier leaders, of at most lease_s each, have expired.

        A lease runs from the time of its request, and the leader granted it only after a majority echoed a round
        sent after that request. At least one member of that majority also voted for this leader, no sooner than
        VOTE_WITHHOLD_S after that echo. An earlier leader that voted itself had first stepped down without echoes
        from a majority for QUORUM_TIMEOUT_S, so the shorter of the two is subtracted. After a leadership transfer
        votes are granted at once, so that nothing is subtracted.
        """
        withheld_s = 0.0 if self.by_transfer else min(constants.VOTE_WITHHOLD_S, constants.QUORUM_TIMEOUT_S)
        return float(self.elected_at) + lease_s - withheld_s + constants.LEASE_CLOCK_MARGIN_S

    def become_leader(self):
        self.chart.step("win")
        self.leader = self.member_id
        self.elected_at = self.environment.now()
        self.reset_replication()
        self.ready = False
        self.propose({"op": "begin", "who": self.member_id}, self.begin_committed)

    def begin_committed(self, result):
        """Starts the leader tasks: this term's first entry is committed, and so is everything before it."""
        if result is not None and self.is_leader:
            self.ready = True
            elapsed_s = round(self.environment.now() - self.elected_at, 3)
            log_buffer.report("part_led", part=self.part, who=self.member_id, term=self.log.term, after_s=elapsed_s)
            for task in self.leader_tasks:
                callbacks.run_callback(task.start)
            self.change_members()

    def adopt_term(self, term):
        was_leader = self.is_leader
        self.log.put_term(term, "")
        self.step_down(was_leader)

    def step_down(self, was_leader):
        self.chart.step("follow")
        if was_leader:
            log_buffer.report("part_given_up", part=self.part, who=self.member_id, term=self.log.term)
            self.leader = ""
            self.lose_leadership()

    def follow(self, body, sender):
        """Follows the sender of a record that only a leader of the current or a later term sends."""
        if body["term"] > self.log.term:
            self.adopt_term(body["term"])
        elif self.chart.state in ("candidate", "empty"):
            self.step_down(False)
        self.leader = body["who"]
        self.last_addresses[body["who"]] = sender
        self.last_contact = self.environment.now()

    def transfer_leadership(self):
        """Names an up-to-date voter as successor and steps down; returns whether there was one."""
        if not self.is_leader:
            return False
        candidates = {
            member_id: self.progress[member_id]
            for member_id in self.membership.voters
            if member_id in self.progress and member_id not in (self.member_id, *self.leaving_members)
        }
        up_to_date = [member_id for member_id, progress in candidates.items() if progress.match_index == self.log.last]
        if not up_to_date:
            return False
        self.send(max(up_to_date, key=lambda member_id: candidates[member_id].echoed_round), "hand", term=self.log.term)
        self.last_contact = self.environment.now()
        self.step_down(True)
        return True

    def on_hand(self, sender, body):
        if body["term"] == self.log.term and self.chart.state == "follower" and not self.leaving:
            self.start_election(pre_vote=False, by_transfer=True)
