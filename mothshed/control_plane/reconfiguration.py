"""How members come to be and go: birth of a group, learning, changes of the voters.

A group is born only when every first member says that it is empty. Anyone else,
a wiped member, a newcomer or one at a new address, asks to join; the leader feeds
it as a learner without a vote until it holds all that is committed. Which voters the
group should have then is decided in membership.py; a change is two log entries, the
joint membership and the settled one, and one change runs at a time. A member that is
stopped says so and is replaced, or let go, where the group can spare it.
"""

import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.membership as membership


@dataclasses.dataclass(frozen=True)
class FailureTolerance:
    """What a group must bear.

    losses: voters lost at once. catch_up: seconds that a loss counts on after its machine is back or replaced.
    """

    losses: int = constants.DEFAULT_TOLERATED_FAILURES
    catch_up: float = constants.DEFAULT_CATCH_UP_S

    @property
    def min_voters(self) -> int:
        """The fewest voters of which a majority is left after the losses."""
        return 2 * self.losses + 1

    @property
    def replace_after_s(self) -> float:
        """Seconds of silence after which a voter may be replaced."""
        return constants.SILENT_VOTER_RATIO * self.catch_up


class Reconfiguration:
    """How a member joins and leaves, and how a leader changes the voters."""

    def init_reconfiguration(self):
        self.empty_members = {}  # address -> (time, id, http) of first members that said empty
        self.learners = {}  # id -> {"address", "http", "at"}
        self.leaving_members = {}  # id -> when it last said that it leaves
        self.leaving = self.may_stop = False  # whether this member is to stop, and may
        self.last_join_request_at = -1e9

    def send_join_requests(self, now):
        if self.leaving:
            self.continue_leaving()
            return
        if now - self.last_join_request_at < constants.JOIN_REQUEST_INTERVAL_S or self.is_leader:
            return
        self.last_join_request_at = now
        if self.chart.state == "empty" and self.address in self.initial_addresses:
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
            empty=self.log.is_empty,
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
        """The leader's next step towards the voters that the group should have, if one is due."""
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
        """What this leader sees of its group now."""
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
        """Drops learners that neither ask nor answer any more, and old words of leaving."""
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
        """Places of the learners that answer and hold all that is committed."""
        caught_up = {}
        for member_id, endpoint in self.learners.items():
            progress = self.progress.get(member_id)
            responsive = (
                progress and progress.has_responded and self.response_age(member_id, now) < constants.QUORUM_TIMEOUT_S
            )
            if responsive and progress.match_index >= self.commit_index:
                caught_up[member_id] = {"address": endpoint["address"], "http": endpoint["http"]}
        return caught_up

    # --- a member that stops ---
    def leave(self):
        """This member's process is to stop: it hands over, and asks to be replaced or let go."""
        self.leaving = True
        self.continue_leaving()

    def continue_leaving(self) -> None:
        """The next step of leaving; again on every heartbeat until `may_stop`."""
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
        """Whether this leader has led for long enough to have heard of every member that asks to join."""
        return self.ready and self.environment.now() - self.elected_at >= constants.JOIN_COLLECTION_S

    def can_remove_voter(self, member_id):
        """Whether a change that lets this voter go is to be expected."""
        candidates = [learner for learner in self.learners if learner not in self.members]
        return bool(candidates) or len(self.membership.voters) > self.failure_tolerance.min_voters

    def on_leave_say(self, sender, body):
        if self.leaving and body["finished"]:
            self.may_stop = True
