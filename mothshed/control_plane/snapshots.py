"""When a member writes a snapshot of its state machine, and what the snapshot holds."""

import mothshed.constants as constants


class Snapshots:
    """Mixin of Member: snapshots of the applied state."""

    def snapshot_due(self) -> bool:
        """Whether the entries since the newest snapshot exceed the limit on their number or size."""
        since = self.last_applied - (self.log.snapshot["index"] if self.log.snapshot else 0)
        return since >= constants.SNAPSHOT_INTERVAL_ENTRIES or (
            since > 0 and self.log.bytes_since_snapshot > constants.SNAPSHOT_INTERVAL_BYTES
        )

    def take_snapshot(self) -> None:
        """Writes a snapshot of the state; some of the entries that it covers are kept for members that lag a little."""
        snapshot = {
            "index": self.last_applied,
            "term": self.log.term_at(self.last_applied),
            "membership": self.membership_at(self.last_applied)[0].command(),
            "state": self.machine.dump(),
        }
        keep = max(self.log.base, self.last_applied - constants.MAX_RETAINED_LOG_ENTRIES)
        self.log.put_snapshot(snapshot, keep)
        self.forget_documents()
