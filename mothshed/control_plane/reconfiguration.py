"""Bootstrap of a group, joining and leaving members, and changes of the voters.

A group is bootstrapped only after every initial member has reported that it is empty; a member that is not an initial
one, or no longer knows it, reports that of no log. Any other member (a wiped one, a new one or one at a new address)
asks to join; the leader replicates to it as a learner without a vote
until it holds all committed entries. membership.py decides which voters the group should have. A change takes
two log entries, the joint and the final membership, and only one change runs at a time. A member that is being
stopped announces it and is replaced, or removed where enough voters remain.
"""

import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.membership as membership


@dataclasses.dataclass(frozen=True)
class FailureTolerance:
    """The failures that a group must tolerate.

    losses: voters lost at the same time. catch_up: seconds that a lost voter still counts as lost after its
    machine is back or replaced.
    """

    losses: int = constants.DEFAULT_TOLERATED_FAILURES
    catch_up: float = constants.DEFAULT_CATCH_UP_S

    @property
    def min_voters(self) -> int:
        """The fewest voters of which a majority remains after the losses."""
        return 2 * self.losses + 1

    @property
    def replace_after_s(self) -> float:
        """Seconds without a response after which a voter may be replaced."""
        return constants.SILENT_VOTER_RATIO * self.catch_up


class Reconfiguration:
    """Mixin of Member: joining and leaving a group, and changes of the voters by the leader."""

    def init_reconfiguration(self):
        self.empty_members = {}  # address -> (time, id, http) of initial members that reported an empty log
        self.learners = {}  # id -> {"address", "http", "at"}
        self.leaving_members = {}  # id -> when it last announced that it leaves
        self.leaving = self.may_stop = False  # whether this member is being stopped, and whether it may stop now
        self.last_join_request_at = -1e9

    @property
    def is_initial(self) -> bool:
        """Whether this member starts the system together with the other initial ones."""
        return self.address in self.initial_addresses

    def send_join_requests(self, now):
        if self.leaving:
            self.continue_leaving()
            return
        if now - self.last_join_request_at < constants.JOIN_REQUEST_INTERVAL_S or self.is_leader:
            return
        self.last_join_request_at = now
        if self.chart.state == "empty" and self.is_initial:
            for address in self.initial_addresses:
                self.environment.send(
                    address, "born_ask", part=self.part, who=self.member_id, address=self.address, http=self.http
                )
        if self.chart.state in ("empty", "learner") or now - self.last_contact > 2 * constants.ELECTION_TIMEOUT_MIN_S:
            destinations = (
                {member["address"] for member in self.members.values()}
                | set(self.initial_addresses)
                | set(self.known_addresses())
            )
            for address in sorted(destinations - {self.address}):
                self.environment.send(
                    address, "join_ask", part=self.part, who=self.member_id, address=self.address, http=self.http
                )

    def on_born_ask(self, sender, body):
        first = self.log.entries[0]["c"] if self.log.entries and self.log.base == 0 else {}
        self.environment.send(
            sender,
            "born_say",
            part=self.part,
            who=self.member_id,
            address=self.address,
            http=self.http,
            empty=self.log.is_empty and self.is_initial,
            members=first.get("members", {}),
        )

    def on_born_say(self, sender, body):
        if not self.log.is_empty:
            return
        if not body["empty"]:
            if self.member_id in body["members"]:
                self.bootstrap(body["members"])
            return
        now = self.environment.now()
        self.empty_members[body["address"]] = (now, body["who"], body["http"])
        recent = {
            address: entry
            for address, entry in self.empty_members.items()
            if now - entry[0] < 2 * constants.JOIN_REQUEST_INTERVAL_S
        }
        if set(self.initial_addresses) <= set(recent) and len(self.initial_addresses) >= 1:
            self.bootstrap(
                {
                    recent[address][1]: {"address": address, "http": recent[address][2]}
                    for address in sorted(self.initial_addresses)
                }
            )

    def bootstrap(self, members):
        self.log.put([{"i": 1, "t": 0, "c": membership.Membership(members).command()}])
        self.bootstrap_callback()
        if self.chart.state == "learner":
            self.refresh_membership()
            return
        self.chart.step("birth")
        self.refresh_membership()
        self.last_contact = self.environment.now()

    def on_join_ask(self, sender, body):
        member_id = body["who"]
        self.last_addresses[member_id] = body["address"]
        if not self.is_leader:
            return
        self.leaving_members.pop(member_id, None)
        if member_id in self.members and self.members[member_id]["address"] == body["address"]:
            return
        self.learners[member_id] = {"address": body["address"], "http": body["http"], "at": self.environment.now()}
        self.replicate()

    def change_members(self):
        """As leader, proposes the next step towards the intended voters, if one is due."""
        if not self.is_leader or not self.ready or self.commit_index < self.membership_index:
            return
        if self.membership.joint:
            self.propose(self.membership.leave_joint().command())
            return
        if self.learners or self.leaving_members or len(self.members) > self.failure_tolerance.min_voters:
            wanted = membership.next_voters(self.group_view())
            if wanted is not None:
                self.propose(self.membership.enter_joint(wanted).command())

    def group_view(self):
        """This leader's current view of its group."""
        now = self.environment.now()
        self.expire_absent_members(now)
        return membership.GroupView(
            leader=self.member_id,
            voters=self.membership.voters,
            learners=self.caught_up_learners(now),
            response_ages={member: self.response_age(member, now) for member in self.other_members()},
            leaving=frozenset(self.leaving_members),
            min_voters=self.failure_tolerance.min_voters,
            response_timeout_s=constants.QUORUM_TIMEOUT_S,
            replace_after_s=self.failure_tolerance.replace_after_s,
        )

    def expire_absent_members(self, now):
        """Drops learners that no longer ask or respond, and expired announcements of leaving."""
        for member_id, endpoint in list(self.learners.items()):
            settled = self.membership.voters.get(member_id, {}).get("address") == endpoint["address"]
            if (
                settled
                or min(now - endpoint["at"], self.response_age(member_id, now)) > 4 * constants.JOIN_REQUEST_INTERVAL_S
            ):
                del self.learners[member_id]
        self.leaving_members = {
            member_id: at for member_id, at in self.leaving_members.items() if now - at < constants.LEAVE_REQUEST_TTL_S
        }

    def caught_up_learners(self, now):
        """Endpoints of the learners that respond and hold all committed entries."""
        caught_up = {}
        for member_id, endpoint in self.learners.items():
            progress = self.progress.get(member_id)
            responsive = (
                progress and progress.has_responded and self.response_age(member_id, now) < constants.QUORUM_TIMEOUT_S
            )
            if responsive and progress.match_index >= self.commit_index:
                caught_up[member_id] = {"address": endpoint["address"], "http": endpoint["http"]}
        return caught_up

    # --- leaving the group ---
    def leave(self):
        """Prepares for a stop of this process: transfers leadership and asks to be replaced or removed."""
        self.leaving = True
        self.continue_leaving()

    def continue_leaving(self) -> None:
        """Takes the next step of leaving; called on every heartbeat until `may_stop` is set."""
        if self.is_leader:
            self.transfer_leadership()
        elif self.member_id not in self.members:
            self.may_stop = True
        elif self.leader and not self.may_stop:
            self.send(self.leader, "leave")

    def on_leave(self, sender, body):
        if not self.is_leader:
            return
        member_id = body["who"]
        self.leaving_members[member_id] = self.environment.now()
        self.learners.pop(member_id, None)
        self.change_members()
        must_wait = member_id in self.members and (
            self.membership.joint or not self.has_collected_join_requests() or self.can_remove_voter(member_id)
        )
        self.send(member_id, "leave_say", finished=not must_wait)

    def has_collected_join_requests(self) -> bool:
        """Whether this leader has led for long enough to have received every pending join request."""
        return self.ready and self.environment.now() - self.elected_at >= constants.JOIN_COLLECTION_S

    def can_remove_voter(self, member_id):
        """Whether a change that replaces or removes this voter can be expected."""
        candidates = [learner for learner in self.learners if learner not in self.members]
        return bool(candidates) or len(self.membership.voters) > self.failure_tolerance.min_voters

    def on_leave_say(self, sender, body):
        if self.leaving and body["finished"]:
            self.may_stop = True
