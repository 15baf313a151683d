"""One member of the consensus group of one part: its log, its state and its state machine.

A Member runs in the mailbox of its environment, one callback at a time. The chart `member.json` lists the state
transitions. Election, replication, following, snapshots, large documents and reconfiguration are mixins in modules of
their own; this module holds what they share: the effective membership, proposals, and applying committed entries to the
part's state machine. A failed disk write or sync stops the member, because the contents of its disk are then unknown.
"""

import functools
import typing

import mothshed.control_plane.callbacks as callbacks
import mothshed.control_plane.election as election
import mothshed.control_plane.following as following
import mothshed.control_plane.membership as membership
import mothshed.control_plane.reconfiguration as reconfiguration
import mothshed.control_plane.replication as replication
import mothshed.control_plane.snapshots as snapshots
import mothshed.control_plane.stored_documents as stored_documents
import mothshed.runtime.charts as charts
import mothshed.runtime.log_buffer as log_buffer
import mothshed.storage.disk as disk_module
import mothshed.storage.disk_log as disk_log
import mothshed.storage.log_format as log_format

RECORD_KINDS = (
    "vote_ask vote_say append append_say snap snap_say hand born_ask born_say join_ask leave leave_say"
).split()  # handled by `on_KIND`
GROUP_COMMANDS = frozenset({"members", "begin"})  # handled by every release, whatever the state machine of the part


class Member(
    election.Election,
    replication.Replication,
    stored_documents.StoredDocuments,
    following.Following,
    snapshots.Snapshots,
    reconfiguration.Reconfiguration,
):
    def __init__(
        self,
        environment,
        disk,
        part,
        member_id,
        http,
        initial_addresses,
        machine,
        known_addresses=lambda: [],
        failure_tolerance=None,
        documents=None,
    ):
        self.environment, self.part, self.member_id, self.http = environment, part, member_id, http
        self.address = environment.address
        self.initial_addresses = list(initial_addresses)
        self.known_addresses = known_addresses  # addresses of keepers, learned by gossip
        self.machine = machine  # apply(index, command), dump(), restore(state)
        self.failure_tolerance = failure_tolerance or reconfiguration.FailureTolerance()
        self.disk_fault_callback = lambda: None  # called after a disk fault has stopped this member
        self.bootstrap_callback = lambda: None  # called once the first entry of a bootstrapped group is on the disk
        self.stopped_by_disk_fault = False
        self.leader_tasks = []  # started when this member becomes leader, stopped when it loses leadership
        self.log = disk_log.PartLog(disk, part)
        self.chart = charts.load("member")
        self.leader = ""
        self.commit_index = self.last_applied = 0
        self.last_addresses = {}  # member id -> the address it last used
        self.pending_proposals = {}  # index -> (term, callback)
        self.last_contact = environment.now()  # also after a restart: a promise made before it may still hold
        self.by_transfer = False  # whether this candidacy follows a leadership transfer
        self.membership = membership.Membership()
        if self.log.snapshot:
            machine.restore(self.log.snapshot["state"])
            self.commit_index = self.last_applied = self.log.snapshot["index"]
        self.init_election()
        self.reset_replication()
        self.init_following()
        self.init_documents(documents)
        self.init_reconfiguration()
        self.refresh_membership()
        if self.members:
            self.chart.step("birth")
            if self.member_id not in self.members:
                self.chart.step("learn")

    def start(self):
        for kind in RECORD_KINDS:
            self.environment.subscribe(kind, self.handle_disk_faults(getattr(self, "on_" + kind)), self.part)
        self.environment.post(self.tick)

    def handle_disk_faults(self, callback):
        @functools.wraps(callback)
        def run_callback(*args):
            if self.chart.state == "stopped":
                return
            try:
                callback(*args)
            except disk_module.DiskError as error:
                self.fail_disk(error)

        return run_callback

    def fail_disk(self, error):
        """Stops this member for good: the contents of its disk are no longer known."""
        log_buffer.failure("disk_fault", error, part=self.part)
        self.stop()
        self.stopped_by_disk_fault = True
        self.disk_fault_callback()

    @property
    def is_leader(self):
        return self.chart.state == "leader"

    @property
    def members(self):
        """All current voters, including outgoing ones: id -> {"address", "http"}."""
        return self.membership.all_voters

    def refresh_membership(self):
        """Adopts the latest membership in the log, committed or not."""
        previous = self.membership
        self.membership, self.membership_index = self.membership_at(self.log.last)
        if self.membership != previous:
            self.report_voters()
        if self.is_leader:
            replicated = set(self.targets())
            self.progress = {member: row for member, row in self.progress.items() if member in replicated}
        if self.members and self.chart.state not in ("empty", "stopped"):
            self.chart.step("admit" if self.member_id in self.members else "learn")

    def report_voters(self) -> None:
        """Logs the voters that this member now knows."""
        log_buffer.report(
            "voters",
            part=self.part,
            who=self.member_id,
            voters=sorted(self.membership.voters),
            outgoing=sorted(self.membership.outgoing),
        )

    def membership_at(self, index):
        """Returns the membership in effect at a log index and the index of the entry that set it."""
        for body in reversed(self.log.entries):
            if body["i"] <= index and body["c"].get("op") == "members":
                return membership.from_command(body["c"]), body["i"]
        if self.log.snapshot:
            return membership.from_command(self.log.snapshot["membership"]), self.log.snapshot["index"]
        return membership.Membership(), 0

    def address_of(self, member_id):
        if member_id in self.last_addresses:
            return self.last_addresses[member_id]
        return self.members.get(member_id, {}).get("address", "")

    def other_members(self):
        return [member_id for member_id in self.members if member_id != self.member_id]

    def send(self, member_id, kind, **body):
        self.environment.send(self.address_of(member_id), kind, part=self.part, who=self.member_id, **body)

    def propose(self, command, callback=lambda result: None):
        """Calls callback(result) once applied, or callback(None) if the outcome is unknown and must be read back."""
        if not self.is_leader:
            callback(None)
            return
        index = self.log.last + 1
        self.pending_proposals[index] = (self.log.term, callback)
        try:
            self.log.put([{"i": index, "t": self.log.term, "c": command}])
        except disk_module.DiskError as error:
            self.fail_disk(error)
            return
        except log_format.EncodingError as error:  # nothing was written
            log_buffer.failure("command_not_encoded", error, part=self.part, op=command["op"])
            del self.pending_proposals[index]
            callback(None)
            return
        if command.get("op") == "members":
            self.refresh_membership()
        self.advance_commit_index()
        self.replicate()

    def apply_all(self):
        while self.last_applied < self.commit_index:
            index = self.last_applied = (
                self.last_applied + 1
            )  # apply() may commit the next entry and re-enter this loop
            body = self.log.get(index)
            if not self.can_apply(body["c"]):
                self.stop_at_unknown_command(index, body["c"])
                return
            term, callback = self.pending_proposals.pop(index, (None, None))
            result = self.machine.apply(index, body["c"])
            if callback:
                callbacks.run_callback(callback, result if term == body["t"] else None)
        if self.snapshot_due():
            self.take_snapshot()

    def can_apply(self, command: dict[str, typing.Any]) -> bool:
        """Whether this release knows the command."""
        return command["op"] in GROUP_COMMANDS or command["op"] in self.machine.commands

    def stop_at_unknown_command(self, index: int, command: dict[str, typing.Any]) -> None:
        """Stops at a committed command of a newer release: skipping it would make this member's state diverge."""
        log_buffer.report("command_not_understood", part=self.part, index=index, op=command["op"])
        self.last_applied = index - 1
        self.stop()

    def not_committed_before(self, index: int) -> float | None:
        """A time on this member's clock before which an entry was certainly not committed; None if unknown."""
        term = self.log.term_at(index)
        return None if term is None else self.commit_time_bounds.not_committed_before(term, index)

    def lose_leadership(self):
        """Ends what depends on leadership: pending writes get an unknown outcome, pending reads fail."""
        pending, self.pending_proposals = self.pending_proposals, {}
        for _term, callback in pending.values():
            callbacks.run_callback(callback, None)
        self.fail_pending_reads()
        for task in self.leader_tasks:
            callbacks.run_callback(task.stop)

    def stop(self):
        if self.chart.state == "stopped":
            return
        was_leader = self.is_leader
        self.chart.step("stop")
        if was_leader:
            self.lose_leadership()

    def condition(self):
        return {
            "part": self.part,
            "state": self.chart.state,
            "term": self.log.term,
            "leader": self.leader,
            "commit": self.commit_index,
            "last": self.log.last,
            "members": sorted(self.members),
            "seats": {member_id: endpoint["http"] for member_id, endpoint in self.members.items()},
        }
