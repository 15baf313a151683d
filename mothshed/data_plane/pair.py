"""Where one round of a delivered request goes, or that it goes nowhere now."""

import dataclasses

import mothshed.replicas.known_replicas as replicas


@dataclasses.dataclass
class Pair:
    """Where one round of a delivered request goes; no reader: the writer reads for itself."""

    sequence: int
    pool: str
    reader: replicas.Endpoint | None
    writer: replicas.Endpoint
    unread: float  # prompt tokens that the reader is expected to read
    expected: float  # s until the prompt is read
    queued: float = 0  # tokens already there to be read when it was placed
    rank: int = 0  # of the reading: 0 goes first
    done: bool = False  # the reader's place is given back


class Full(Exception):
    """Every reader's queue is too long for this prompt; `span` s too long for the shortest."""

    def __init__(self, span: float) -> None:
        super().__init__(f"queue is {span:.2f} s too long")
        self.span = span
