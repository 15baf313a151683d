"""The leader's side of log replication; the follower's side is in following.py.

Every append carries a round number that members echo. A read or a lease request is answered only after a
majority has echoed a round sent after the request arrived, which proves that this leader was still the leader
at that time. An entry counts as stored by a member only after that member has synced it. Until `quorum_until`
the leader may act without confirming its leadership again, because no majority of votes can be granted before
then. Unacknowledged entries are bounded per follower (progress.py). A follower that needs entries that the log
no longer holds gets the snapshot in chunks (snapshot_transfer.py).
"""

import mothshed.constants as constants
import mothshed.control_plane.callbacks as callbacks
import mothshed.control_plane.progress as progress_module
import mothshed.control_plane.snapshot_transfer as snapshot_transfer


class Replication:
    """Mixin of Member: appends, the commit index, and confirmation of leadership."""

    def reset_replication(self):
        self.round, self.sent_at = 0, {}
        self.confirmed_round = 0  # newest round echoed by a majority
        self.progress = {}  # member or learner id -> Progress
        self.pending_reads = []
        self.replicated_at = -1.0
        self.replicate_timer = None
        self.quorum_until = 0.0
        self.ready = False
        self.elected_at = self.environment.now()
        self.encoded_snapshot = None  # newest snapshot as text, while a transfer uses it

    def targets(self):
        return self.other_members() + [member for member in self.learners if member not in self.members]

    def progress_of(self, member):
        if member not in self.progress:
            self.progress[member] = progress_module.Progress(self.log.last + 1, self.elected_at)
        return self.progress[member]

    def replicate(self):
        """Sends missing entries to every member and learner, at most once per MIN_ROUND_INTERVAL_S."""
        delay_s = self.replicated_at + constants.MIN_ROUND_INTERVAL_S - self.environment.now()
        if delay_s <= 0:
            self.replicate_now()
        elif not self.replicate_timer:
            self.replicate_timer = self.environment.call_later(delay_s, self.handle_disk_faults(self.replicate_now))

    def replicate_now(self):
        self.replicate_timer = None
        if not self.is_leader:
            return
        self.replicated_at = self.environment.now()
        self.round += 1
        self.sent_at[self.round] = self.replicated_at
        self.sent_at.pop(self.round - constants.MAX_REMEMBERED_ROUNDS, None)
        for member in self.targets():
            self.send_append(member)
        self.advance_confirmed_round()

    def send_append(self, member):
        """Sends one append: the entries that the window allows, or none, with the round and the commit index."""
        progress = self.progress_of(member)
        if progress.next_index - 1 < self.log.base:
            self.send_snapshot_chunk(member, progress)
        previous = progress.next_index - 1 if progress.transfer is None else 0
        entries, size = self.next_entries(progress)
        self.send(
            member,
            "append",
            term=self.log.term,
            prev=previous,
            prev_term=self.log.term_at(previous) or 0,
            commit=self.commit_index,
            round=self.round,
            echoed=progress.echoed_round,
            confirmed=self.confirmed_round,
            entries=entries,
        )
        if entries:
            progress.record_sent(self.round, entries[-1]["i"], size)

    def next_entries(self, progress):
        """The entries to send now and their size in bytes; none during a snapshot transfer."""
        if progress.transfer is not None:
            return [], 0
        room, entries, size = min(progress.available_window_bytes(), constants.MAX_APPEND_BYTES), [], 0
        for index in range(
            progress.next_index, min(self.log.last, progress.next_index + constants.MAX_APPEND_ENTRIES - 1) + 1
        ):
            entry_bytes = self.log.entry_bytes(index)
            if size + entry_bytes > room and (entries or progress.in_flight):
                break
            entries.append(self.log.get(index))
            size += entry_bytes
        return entries, size

    def send_snapshot_chunk(self, member, progress):
        """Starts a transfer of the newest snapshot, or continues the one in progress."""
        now, transfer = self.environment.now(), progress.transfer
        if transfer is not None and transfer.is_overdue(now) and not self.is_newest(transfer):
            progress.transfer = None  # the documents of an earlier snapshot may be gone
        if progress.transfer is None:
            if self.encoded_snapshot is None or self.encoded_snapshot.index != self.log.snapshot["index"]:
                self.encoded_snapshot = snapshot_transfer.EncodedSnapshot(self.log.snapshot)
            progress.transfer = snapshot_transfer.SnapshotTransfer(self.encoded_snapshot)
        if progress.transfer.chunk_due(now):
            self.send(member, "snap", term=self.log.term, **progress.transfer.next_chunk(now))

    def is_newest(self, transfer: snapshot_transfer.SnapshotTransfer) -> bool:
        """Whether a transfer sends the newest snapshot."""
        return bool(transfer.snapshot.index == self.log.snapshot["index"])

    def on_snap_say(self, sender, body):
        progress = self.progress.get(body["who"])
        if not self.is_leader or body["term"] != self.log.term or progress is None:
            return
        progress.last_response_at, progress.has_responded = self.environment.now(), True
        if progress.transfer is None or body["index"] != progress.transfer.snapshot.index:
            return
        if body["done"]:
            progress.record_installed(body["index"])
            self.encoded_snapshot = None if not self.active_transfers() else self.encoded_snapshot
            self.advance_commit_index()
            self.replicate()
            return
        progress.transfer.acknowledged(body["index"], body["offset"])
        self.send_snapshot_chunk(body["who"], progress)

    def active_transfers(self):
        """Ids of the members and learners that are being sent a snapshot."""
        return [member for member, progress in self.progress.items() if progress.transfer is not None]

    def on_append_say(self, sender, body):
        if body["term"] > self.log.term:
            if body["who"] in self.members:
                self.adopt_term(body["term"])
            return
        member = body["who"]
        if not self.is_leader or body["term"] != self.log.term or member not in self.targets():
            return
        progress = self.progress_of(member)
        progress.record_response(body["round"], self.environment.now())
        if progress.transfer is None:
            if body["good"]:
                progress.record_accepted(body["match"], body["round"])
            else:
                progress.record_rejected(body["match"], body["round"], self.round)
        if progress.next_index <= self.log.last and progress.may_send_at_once():
            self.replicate()
        self.advance_confirmed_round()
        self.advance_commit_index()
        self.change_members()

    def advance_commit_index(self):
        match_indexes = {member: progress.match_index for member, progress in self.progress.items()}
        match_indexes[self.member_id] = self.log.last
        index = self.membership.quorum_value(match_indexes)
        if index > self.commit_index and self.log.term_at(index) == self.log.term:
            self.commit_index = index
            self.apply_all()
            if self.is_leader:
                self.change_members()
                self.replicate()

    def advance_confirmed_round(self):
        if not self.is_leader:
            return
        echoed_rounds = {member: progress.echoed_round for member, progress in self.progress.items()}
        echoed_rounds[self.member_id] = self.round
        confirmed = self.membership.quorum_value(echoed_rounds)
        self.confirmed_round = max(self.confirmed_round, confirmed)
        if confirmed in self.sent_at:
            self.quorum_until = max(
                self.quorum_until, self.sent_at[confirmed] + constants.VOTE_WITHHOLD_S - constants.LEASE_CLOCK_MARGIN_S
            )
        due = [read for read in self.pending_reads if read[0] <= confirmed]
        self.pending_reads = [read for read in self.pending_reads if read[0] > confirmed]
        for _round_number, callback in due:
            callbacks.run_callback(callback, True)

    def confirm_leadership(self, callback):
        """Calls callback(True) once a majority has echoed a round sent from now on, or callback(False) on failure."""
        if not (self.is_leader and self.ready):
            callback(False)
            return
        self.pending_reads.append((self.round + 1, callback))
        self.replicate()

    def fail_pending_reads(self):
        due, self.pending_reads = self.pending_reads, []
        for _round_number, callback in due:
            callbacks.run_callback(callback, False)

    def has_quorum(self):
        return self.is_leader and self.ready and self.environment.now() < self.quorum_until

    def response_age(self, member, now):
        """Seconds since a member's last response to this leader, or since the election if there was none."""
        progress = self.progress.get(member)
        return now - (progress.last_response_at if progress else self.elected_at)

    def maintain_leadership(self, now):
        present = [
            member for member in self.other_members() if self.response_age(member, now) < constants.QUORUM_TIMEOUT_S
        ]
        if not self.membership.has_quorum([*present, self.member_id]):
            self.step_down(True)
            return
        self.replicate()
        self.change_members()
