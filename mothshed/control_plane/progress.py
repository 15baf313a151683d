"""What a leader knows of one follower's log, and how much it may send it now.

Entries are sent ahead of their acknowledgements within a window of bytes. Every
append carries a round number that the follower echoes; records on a connection
keep their order, so an echo of a later round shows that what was sent before and
is not acknowledged was lost: only then is it sent again.
"""

import collections
import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.snapshot_transfer as snapshot_transfer


@dataclasses.dataclass(frozen=True)
class InFlightEntries:
    """Entries sent and not acknowledged: the round they went with, the last index, bytes."""

    round: int
    last: int
    size: int


class Progress:
    """A follower's progress: `match` is held durably by it, `next` is what it is sent next."""

    def __init__(self, next_index: int, now: float) -> None:
        self.match_index, self.next_index = 0, next_index
        self.echoed_round, self.last_response_at = 0, now  # highest round echoed, and when
        self.has_responded = False  # whether it has answered this leader at all
        self.in_flight: collections.deque[InFlightEntries] = collections.deque()
        self.last_stale_round = 0  # rejections of this round and earlier say nothing new
        self.transfer: snapshot_transfer.SnapshotTransfer | None = (
            None  # the snapshot on its way, if the entries it needs are gone
        )

    def available_window_bytes(self) -> int:
        """Bytes of entries that may be sent now."""
        return constants.REPLICATION_WINDOW_BYTES - sum(entries.size for entries in self.in_flight)

    def record_sent(self, round_number: int, last: int, size: int) -> None:
        """Notes entries up to `last` as under way."""
        self.in_flight.append(InFlightEntries(round_number, last, size))
        self.next_index = last + 1

    def record_response(self, round_number: int, now: float) -> None:
        """An answer to a round came, whatever it says of the log."""
        self.echoed_round = max(self.echoed_round, round_number)
        self.last_response_at, self.has_responded = now, True

    def record_accepted(self, match: int, round_number: int) -> None:
        """The follower holds everything up to `match`."""
        self.match_index = max(self.match_index, match)
        while self.in_flight and self.in_flight[0].round <= round_number:
            self.in_flight.popleft()
        if not self.in_flight or self.next_index <= self.match_index:
            self.next_index = self.match_index + 1

    def record_rejected(self, match_hint: int, round_number: int, newest_round: int) -> None:
        """The follower's log does not reach to what was sent; `match_hint`: where it may match."""
        if round_number <= self.last_stale_round:
            return
        self.in_flight.clear()
        self.last_stale_round = newest_round
        self.next_index = max(self.match_index, match_hint) + 1

    def record_installed(self, index: int) -> None:
        """The follower has taken a snapshot up to this index."""
        self.transfer = None
        self.in_flight.clear()
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1
