"""The follower's side of log replication: entries and snapshots from the leader.

Entries are acknowledged only after they are synced, and after the documents that they refer to (stored_documents.py).
Entries that conflict with the leader's are overwritten; committed entries never conflict. A snapshot is installed in
one step after all its chunks, and the documents that it refers to, have arrived.
"""

import typing

import mothshed.control_plane.commit_time_bounds as commit_time_bounds
import mothshed.control_plane.snapshot_transfer as snapshot_transfer


class Following:
    """Mixin of Member: appends and snapshots received from a leader."""

    def init_following(self) -> None:
        """Initializes snapshot assembly and the bounds on commit times."""
        self.snapshot_assembler = snapshot_transfer.SnapshotAssembler()
        self.complete_identity: tuple[int, int, int] | None = None  # of a snapshot that waits for its documents
        self.waiting_snapshot: dict[str, typing.Any] | None = None
        self.commit_time_bounds = commit_time_bounds.CommitTimeBounds()

    def on_append(self, sender: str, body: dict[str, typing.Any]) -> None:
        """Handles an append, with or without entries; responds with the index up to which the log matches."""
        if body["term"] < self.log.term:
            self.environment.send(
                sender,
                "append_say",
                part=self.part,
                who=self.member_id,
                term=self.log.term,
                good=False,
                match=0,
                round=0,
            )
            return
        self.follow(body, sender)
        self.commit_time_bounds.record_append(
            body["term"],
            body["round"],
            body["echoed"],
            body["confirmed"],
            body["commit"],
            self.environment.now(),
        )
        accepted, match = self.append_entries(body["prev"], body["prev_term"], body["entries"])
        if accepted and min(body["commit"], match) > self.commit_index:
            self.commit_index = min(body["commit"], match)
            self.apply_all()
        self.send(body["who"], "append_say", term=self.log.term, good=accepted, match=match, round=body["round"])

    def append_entries(
        self, previous: int, previous_term: int, entries: list[dict[str, typing.Any]]
    ) -> tuple[bool, int]:
        """Writes the new entries; returns (whether the log matches at `previous`, matching index or a hint)."""
        if previous < self.log.base:  # entries in the snapshot are committed, so they match
            entries = [entry for entry in entries if entry["i"] > self.log.base]
            if not entries:
                return True, self.log.base
            previous = self.log.base
        elif self.log.term_at(previous) is None:
            return False, self.log.last
        elif self.log.term_at(previous) != previous_term:
            return False, self.commit_index
        entries = self.storable_entries(entries)
        changed = [entry for entry in entries if self.log.term_at(entry["i"]) != entry["t"]]
        if changed:
            self.log.put([entry for entry in entries if entry["i"] >= changed[0]["i"]])
            self.refresh_membership()
        return True, previous + len(entries)

    def on_snap(self, sender: str, body: dict[str, typing.Any]) -> None:
        """Handles a chunk of a leader's snapshot; responds with the amount received so far."""
        if body["term"] < self.log.term:
            return
        self.follow(body, sender)
        if body["index"] > self.commit_index:
            snapshot = self.complete_snapshot(body)
            if snapshot is not None:
                if not self.has_documents_of(snapshot):
                    return  # without a response, so that the leader sends the last chunk again after a while
                self.install_snapshot(snapshot)
        done = body["index"] <= self.commit_index
        self.send(
            body["who"],
            "snap_say",
            term=self.log.term,
            index=body["index"],
            offset=self.snapshot_assembler.received_chars,
            done=done,
        )

    def complete_snapshot(self, body: dict[str, typing.Any]) -> dict[str, typing.Any] | None:
        """Adds a chunk; returns the snapshot if it is complete, also when one of its chunks is sent again."""
        identity = (body["index"], body["index_term"], body["checksum"])
        if identity != self.complete_identity:
            snapshot = self.snapshot_assembler.add_chunk(body)
            if snapshot is None:
                return None
            self.complete_identity, self.waiting_snapshot = identity, snapshot
        return self.waiting_snapshot

    def install_snapshot(self, snapshot: dict[str, typing.Any]) -> None:
        """Replaces the log up to the snapshot's index, and the state of the machine, by the snapshot."""
        self.complete_identity = self.waiting_snapshot = None
        self.log.put_snapshot(snapshot, snapshot["index"])
        self.machine.restore(snapshot["state"])
        self.commit_index = self.last_applied = snapshot["index"]
        self.refresh_membership()
        self.forget_documents()
