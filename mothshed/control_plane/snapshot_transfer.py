"""Transfer of a snapshot to one follower in chunks of bounded size.

The leader sends one chunk at a time and continues at the offset that the follower reports; a chunk without a
response is sent again. The follower assembles the chunks of one snapshot only, verifies the checksum of the
whole and installs it in one step.
"""

import json
import typing
import zlib

import mothshed.constants as constants

Fields = dict[str, typing.Any]  # fields of a snapshot or of a record


class EncodedSnapshot:
    """A snapshot encoded as text, shared by the transfers to all followers."""

    def __init__(self, snapshot: Fields) -> None:
        self.index, self.term = snapshot["index"], snapshot["term"]
        self.text = json.dumps(snapshot, separators=(",", ":"))
        self.checksum = zlib.crc32(self.text.encode())


class SnapshotTransfer:
    """The sender's side; `offset` is the number of characters that the follower has."""

    def __init__(self, snapshot: EncodedSnapshot) -> None:
        self.snapshot = snapshot
        self.offset = 0
        self.sent_at: float | None = None

    def chunk_due(self, now: float) -> bool:
        """Whether to send the next chunk: none is outstanding, or its response is overdue."""
        return self.sent_at is None or self.is_overdue(now)

    def is_overdue(self, now: float) -> bool:
        """Whether a chunk is outstanding for too long."""
        return self.sent_at is not None and now - self.sent_at > constants.SNAPSHOT_CHUNK_RESEND_S

    def next_chunk(self, now: float) -> Fields:
        """The fields of the record that carries the next chunk."""
        self.sent_at = now
        snapshot = self.snapshot
        return {
            "index": snapshot.index,
            "index_term": snapshot.term,
            "offset": self.offset,
            "total": len(snapshot.text),
            "checksum": snapshot.checksum,
            "piece": snapshot.text[self.offset : self.offset + constants.SNAPSHOT_CHUNK_CHARS],
        }

    def acknowledged(self, index: int, offset: int) -> None:
        """Records how much of a snapshot the follower has; responses about another snapshot are ignored."""
        if index == self.snapshot.index and offset <= len(self.snapshot.text):
            self.offset, self.sent_at = offset, None


class SnapshotAssembler:
    """The receiver's side: the chunks of one snapshot received so far."""

    def __init__(self) -> None:
        self.identity: tuple[int, int, int, int] | None = None
        self.chunks: list[str] = []
        self.received_chars = 0

    def reset(self, identity: tuple[int, int, int, int] | None) -> None:
        """Discards the chunks; the next ones belong to the snapshot of this identity."""
        self.identity, self.chunks, self.received_chars = identity, [], 0

    def add_chunk(self, body: Fields) -> Fields | None:
        """Adds a chunk; returns the snapshot once it is complete and its checksum matches, else None."""
        identity = (body["index"], body["index_term"], body["total"], body["checksum"])
        if identity != self.identity:
            self.reset(identity)
        if body["offset"] != self.received_chars:
            return None
        self.chunks.append(body["piece"])
        self.received_chars += len(body["piece"])
        if self.received_chars < body["total"]:
            return None
        text = "".join(self.chunks)
        self.reset(None)
        if zlib.crc32(text.encode()) != body["checksum"]:
            return None
        snapshot: Fields = json.loads(text)
        return snapshot
