"""A snapshot on its way to one follower, in pieces of bounded size.

The leader sends one piece at a time and goes on where the follower says it stands;
a piece without an answer is sent again. The follower collects pieces of one
snapshot only, checks the whole by its checksum and installs it in one step.
"""

import json
import typing
import zlib

import mothshed.constants as constants

Fields = dict[str, typing.Any]  # of a snapshot or of a record


class EncodedSnapshot:
    """A snapshot as text, made once for all followers that need it."""

    def __init__(self, snapshot: Fields) -> None:
        self.index, self.term = snapshot["index"], snapshot["term"]
        self.text = json.dumps(snapshot, separators=(",", ":"))
        self.checksum = zlib.crc32(self.text.encode())


class SnapshotTransfer:
    """The sender's side; `offset` is how many characters the follower has."""

    def __init__(self, snapshot: EncodedSnapshot) -> None:
        self.snapshot = snapshot
        self.offset = 0
        self.sent_at: float | None = None

    def chunk_due(self, now: float) -> bool:
        """Whether the next piece is to be sent: none is under way, or its answer is overdue."""
        return self.sent_at is None or now - self.sent_at > constants.SNAPSHOT_CHUNK_RESEND_S

    def next_chunk(self, now: float) -> Fields:
        """The fields of the record that carries the next piece."""
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
        """The follower has this much of that snapshot; answers about another one are passed over."""
        if index == self.snapshot.index and offset <= len(self.snapshot.text):
            self.offset, self.sent_at = offset, None


class SnapshotAssembler:
    """The receiver's side: the pieces of one snapshot so far."""

    def __init__(self) -> None:
        self.identity: tuple[int, int, int, int] | None = None
        self.chunks: list[str] = []
        self.received_chars = 0

    def reset(self, identity: tuple[int, int, int, int] | None) -> None:
        """Forgets the pieces; the next ones belong to this snapshot."""
        self.identity, self.chunks, self.received_chars = identity, [], 0

    def add_chunk(self, body: Fields) -> Fields | None:
        """Adds a piece; returns the snapshot once it is whole and its checksum fits, else None."""
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
