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
    def smallest(self) -> int:
        """The fewest voters of which a majority is left after the losses."""
        return 2 * self.losses + 1

    @property
    def gone_after(self) -> float:
        """Seconds of silence after which a voter may be replaced."""
        return constants.SILENT_VOTER_RATIO * self.catch_up


class Reconfiguration:
    """How a member joins and leaves, and how a leader changes the voters."""

    def init_reconfiguration(self):
        self.empty_members = {}  # address -> (time, id, http) of first members that said empty
        self.learners = {}  # id -> {"address", "http", "at"}
        self.departing = {}  # id -> when it last said that it leaves
        self.leaving = self.may_stop = False  # whether this member is to stop, and may
        self.asked_at = -1e9

    def keep_joining(self, now):
        if self.leaving:
            self.keep_leaving()
            return
        if now - self.asked_at < constants.JOIN_REQUEST_INTERVAL_S or self.is_leader:
            return
        self.asked_at = now
        if self.chart.state == "empty" and self.address in self.initial_addresses:
            for address in self.initial_addresses:
                self.environment.send(
                    address, "born_ask", part=self.part, who=self.member_id, address=self.address, http=self.http
                )
        if self.chart.state in ("empty", "learner") or now - self.last_contact > 2 * constants.ELECTION_TIMEOUT_MIN_S:
            goals = (
                {m["address"] for m in self.members.values()}
                | set(self.initial_addresses)
                | set(self.known_addresses())
            )
            for address in sorted(goals - {self.address}):
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
        fresh = {a: e for a, e in self.empty_members.items() if now - e[0] < 2 * constants.JOIN_REQUEST_INTERVAL_S}
        if set(self.initial_addresses) <= set(fresh) and len(self.initial_addresses) >= 1:
            self.bootstrap({fresh[a][1]: {"address": a, "http": fresh[a][2]} for a in sorted(self.initial_addresses)})

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
        self.departing.pop(member_id, None)
        if member_id in self.members and self.members[member_id]["address"] == body["address"]:
            return
        self.learners[member_id] = {"address": body["address"], "http": body["http"], "at": self.environment.now()}
        self.replicate()

    def change_members(self):
        """The leader's next step towards the voters that the group should have, if one is due."""
        if not self.is_leader or not self.ready or self.commit_index < self.membership_index:
            return
        if self.membership.joint:
            self.propose(self.membership.settled().command())
            return
        if self.learners or self.departing or len(self.members) > self.failure_tolerance.smallest:
            wanted = membership.next_voters(self.view())
            if wanted is not None:
                self.propose(self.membership.change_to(wanted).command())

    def view(self):
        """What this leader sees of its group now."""
        now = self.environment.now()
        self.forget_absent(now)
        return membership.GroupView(
            leader=self.member_id,
            voters=self.membership.voters,
            learners=self.ready_learners(now),
            silence={member: self.silence(member, now) for member in self.other_members()},
            leaving=frozenset(self.departing),
            smallest=self.failure_tolerance.smallest,
            present_within=constants.QUORUM_TIMEOUT_S,
            gone_after=self.failure_tolerance.gone_after,
        )

    def forget_absent(self, now):
        """Drops learners that neither ask nor answer any more, and old words of leaving."""
        for member_id, place in list(self.learners.items()):
            settled = self.membership.voters.get(member_id, {}).get("address") == place["address"]
            if settled or min(now - place["at"], self.silence(member_id, now)) > 4 * constants.JOIN_REQUEST_INTERVAL_S:
                del self.learners[member_id]
        self.departing = {
            member_id: at for member_id, at in self.departing.items() if now - at < constants.LEAVE_REQUEST_TTL_S
        }

    def ready_learners(self, now):
        """Places of the learners that answer and hold all that is committed."""
        found = {}
        for member_id, place in self.learners.items():
            progress = self.progress.get(member_id)
            answers = progress and progress.answered and self.silence(member_id, now) < constants.QUORUM_TIMEOUT_S
            if answers and progress.match >= self.commit_index:
                found[member_id] = {"address": place["address"], "http": place["http"]}
        return found

    # --- a member that stops ---
    def leave(self):
        """This member's process is to stop: it hands over, and asks to be replaced or let go."""
        self.leaving = True
        self.keep_leaving()

    def keep_leaving(self) -> None:
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
        self.departing[member_id] = self.environment.now()
        self.learners.pop(member_id, None)
        self.change_members()
        waiting = member_id in self.members and (
            self.membership.joint or not self.knows_newcomers() or self.can_spare(member_id)
        )
        self.send(member_id, "leave_say", finished=not waiting)

    def knows_newcomers(self) -> bool:
        """Whether this leader has led for long enough to have heard of every member that asks to join."""
        return self.ready and self.environment.now() - self.elected_at >= constants.JOIN_COLLECTION_S

    def can_spare(self, member_id):
        """Whether a change that lets this voter go is to be expected."""
        newcomers = [learner for learner in self.learners if learner not in self.members]
        return bool(newcomers) or len(self.membership.voters) > self.failure_tolerance.smallest

    def on_leave_say(self, sender, body):
        if self.leaving and body["finished"]:
            self.may_stop = True
