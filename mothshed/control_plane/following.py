"""The followers' side of one replicated log: entries and snapshots that a leader sends.

What is answered as held has been synced. Entries that differ from the leader's give way to
them; committed ones never differ. A snapshot is taken whole, once all its pieces have come.
"""

import typing

import mothshed.control_plane.commit_time_bounds as commit_time_bounds
import mothshed.control_plane.snapshot_transfer as snapshot_transfer


class Following:
    """How a member obeys a leader."""

    def init_following(self) -> None:
        """Makes ready to collect a snapshot, and proofs of what was not committed yet."""
        self.snapshot_assembler = snapshot_transfer.SnapshotAssembler()
        self.commit_time_bounds = commit_time_bounds.CommitTimeBounds()

    def on_append(self, sender: str, body: dict[str, typing.Any]) -> None:
        """A leader's entries, or none, with its commit index; answered with what is held."""
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
        """Writes what is new; (whether the log fits, up to where it is the leader's)."""
        if previous < self.log.base:  # what the snapshot holds is committed, so it is the leader's
            entries = [entry for entry in entries if entry["i"] > self.log.base]
            if not entries:
                return True, self.log.base
            previous = self.log.base
        elif self.log.term_at(previous) is None:
            return False, self.log.last
        elif self.log.term_at(previous) != previous_term:
            return False, self.commit_index
        changed = [entry for entry in entries if self.log.term_at(entry["i"]) != entry["t"]]
        if changed:
            self.log.put([entry for entry in entries if entry["i"] >= changed[0]["i"]])
            self.refresh_membership()
        return True, previous + len(entries)

    def on_snap(self, sender: str, body: dict[str, typing.Any]) -> None:
        """A piece of a leader's snapshot; answered with how much of it is here."""
        if body["term"] < self.log.term:
            return
        self.follow(body, sender)
        if body["index"] > self.commit_index:
            snapshot = self.snapshot_assembler.add_chunk(body)
            if snapshot is not None:
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

    def install_snapshot(self, snapshot: dict[str, typing.Any]) -> None:
        """Takes a whole snapshot in the place of the log up to its index."""
        self.log.put_snapshot(snapshot, snapshot["index"])
        self.machine.restore(snapshot["state"])
        self.commit_index = self.last_applied = snapshot["index"]
        self.refresh_membership()
