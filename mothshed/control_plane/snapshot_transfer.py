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


class Encoded:
    """A snapshot as text, made once for all followers that need it."""

    def __init__(self, snapshot: Fields) -> None:
        self.index, self.term = snapshot["index"], snapshot["term"]
        self.text = json.dumps(snapshot, separators=(",", ":"))
        self.checksum = zlib.crc32(self.text.encode())


class Transfer:
    """The sender's side; `offset` is how many characters the follower has."""

    def __init__(self, encoded: Encoded) -> None:
        self.encoded = encoded
        self.offset = 0
        self.sent_at: float | None = None

    def due(self, now: float) -> bool:
        """Whether the next piece is to be sent: none is under way, or its answer is overdue."""
        return self.sent_at is None or now - self.sent_at > constants.SNAPSHOT_CHUNK_RESEND_S

    def piece(self, now: float) -> Fields:
        """The fields of the record that carries the next piece."""
        self.sent_at = now
        whole = self.encoded
        return {
            "index": whole.index,
            "index_term": whole.term,
            "offset": self.offset,
            "total": len(whole.text),
            "checksum": whole.checksum,
            "piece": whole.text[self.offset : self.offset + constants.SNAPSHOT_CHUNK_CHARS],
        }

    def answered(self, index: int, offset: int) -> None:
        """The follower has this much of that snapshot; answers about another one are passed over."""
        if index == self.encoded.index and offset <= len(self.encoded.text):
            self.offset, self.sent_at = offset, None


class Collector:
    """The receiver's side: the pieces of one snapshot so far."""

    def __init__(self) -> None:
        self.identity: tuple[int, int, int, int] | None = None
        self.pieces: list[str] = []
        self.length = 0

    def start(self, identity: tuple[int, int, int, int] | None) -> None:
        """Forgets the pieces; the next ones belong to this snapshot."""
        self.identity, self.pieces, self.length = identity, [], 0

    def take(self, body: Fields) -> Fields | None:
        """Adds a piece; returns the snapshot once it is whole and its checksum fits, else None."""
        identity = (body["index"], body["index_term"], body["total"], body["checksum"])
        if identity != self.identity:
            self.start(identity)
        if body["offset"] != self.length:
            return None
        self.pieces.append(body["piece"])
        self.length += len(body["piece"])
        if self.length < body["total"]:
            return None
        text = "".join(self.pieces)
        self.start(None)
        if zlib.crc32(text.encode()) != body["checksum"]:
            return None
        found: Fields = json.loads(text)
        return found
