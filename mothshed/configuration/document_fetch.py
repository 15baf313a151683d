"""Fetches ranges of packed documents from a keeper, piece by piece.

Only one piece is under way at a time, so that heartbeats and leases never wait behind a document. Nothing is lost with
a piece or with the keeper: whoever wants a range names it again at intervals, and the fetch goes on where it stopped,
from any keeper, since the digest names the same bytes everywhere.
"""

import base64
import collections.abc
import dataclasses
import typing

import mothshed.configuration.constants as configuration_constants
import mothshed.constants as constants

OnComplete = collections.abc.Callable[[bytes], None]


@dataclasses.dataclass(frozen=True)
class Range:
    """The bytes from `start` up to `end` of the document with this digest."""

    digest: str
    start: int
    end: int


@dataclasses.dataclass
class Fetch:
    """The state of one fetch. asked_at: time of the last request, in seconds."""

    on_complete: OnComplete
    pieces: list[bytes] = dataclasses.field(default_factory=list)
    received: int = 0
    asked_at: float = float("-inf")


class DocumentFetch:
    """The ranges that this process is fetching, for one of its mailboxes.

    ask, piece: the kinds of the records, which differ for processes that have several such mailboxes.
    """

    def __init__(self, environment: typing.Any, ask: str, piece: str) -> None:
        self.environment, self.ask = environment, ask
        self.fetches: dict[Range, Fetch] = {}
        environment.subscribe(piece, self.on_piece, 0)

    def fetch(self, wanted: Range, keeper: str, on_complete: OnComplete) -> None:
        """Fetch a range from a keeper, or go on with it; on_complete gets its bytes, which are not verified."""
        fetch = self.fetches.setdefault(wanted, Fetch(on_complete))
        if self.environment.now() - fetch.asked_at >= constants.DOCUMENT_RESEND_S:
            self.ask_next(wanted, fetch, keeper)

    def keep_only(self, wanted: collections.abc.Collection[Range]) -> None:
        """Give up the other fetches."""
        self.fetches = {row: fetch for row, fetch in self.fetches.items() if row in wanted}

    def ask_next(self, wanted: Range, fetch: Fetch, keeper: str) -> None:
        """Ask for the next piece of a range."""
        fetch.asked_at = self.environment.now()
        start = wanted.start + fetch.received
        end = min(wanted.end, start + configuration_constants.DOCUMENT_PIECE_BYTES)
        self.environment.send(keeper, self.ask, part=0, digest=wanted.digest, first=wanted.start, start=start, end=end)

    def on_piece(self, sender: str, body: dict[str, typing.Any]) -> None:
        """Handle a piece: ask for the next one, or hand over the complete range."""
        found = (r for r in self.fetches if r.digest == body["digest"] and r.start == body["first"])
        for wanted in list(found):
            fetch = self.fetches[wanted]
            data = base64.b64decode(body["piece"])
            if body["start"] != wanted.start + fetch.received or not data:
                continue
            fetch.pieces.append(data)
            fetch.received += len(data)
            if wanted.start + fetch.received < wanted.end:
                self.ask_next(wanted, fetch, sender)
            else:
                del self.fetches[wanted]
                fetch.on_complete(b"".join(fetch.pieces))
