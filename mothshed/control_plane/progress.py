"""A leader's knowledge of one follower's log, and the window of entries that may be sent to it.

Entries are pipelined: unacknowledged ones are limited by a window in bytes. Each append carries a round number
that the follower echoes. Records on a connection keep their order, so an echo of a later round proves that
earlier, still unacknowledged entries were lost; only then are they sent again.
"""

import collections
import dataclasses

import mothshed.constants as constants
import mothshed.control_plane.snapshot_transfer as snapshot_transfer


@dataclasses.dataclass(frozen=True)
class InFlightEntries:
    """Entries sent and not yet acknowledged: the round of their append, the last index, the size in bytes."""

    round: int
    last: int
    size: int


class Progress:
    """A follower's progress: it has synced all entries up to `match_index` and is sent `next_index` next."""

    def __init__(self, next_index: int, now: float) -> None:
        self.match_index, self.next_index = 0, next_index
        self.echoed_round, self.last_response_at = 0, now  # newest round echoed; time of the last response
        self.has_responded = False  # whether it has responded to this leader at all
        self.holds_back = False  # whether it did not take entries whose documents it fetches first
        self.in_flight: collections.deque[InFlightEntries] = collections.deque()
        self.last_stale_round = 0  # rejections of this round and earlier ones are ignored
        self.transfer: snapshot_transfer.SnapshotTransfer | None = None  # set while a snapshot is sent

    def available_window_bytes(self) -> int:
        """Bytes of entries that may be sent now, by the window."""
        return constants.REPLICATION_WINDOW_BYTES - sum(entries.size for entries in self.in_flight)

    def may_send_at_once(self) -> bool:
        """Whether further entries may be sent before the next heartbeat."""
        return not self.holds_back and self.available_window_bytes() > 0

    def record_sent(self, round_number: int, last: int, size: int) -> None:
        """Records that entries up to index `last` were sent."""
        self.in_flight.append(InFlightEntries(round_number, last, size))
        self.next_index = last + 1

    def record_response(self, round_number: int, now: float) -> None:
        """Records a response to an append, whether accepted or rejected."""
        self.echoed_round = max(self.echoed_round, round_number)
        self.last_response_at, self.has_responded = now, True

    def record_accepted(self, match: int, round_number: int) -> None:
        """Records that the follower has stored all entries up to index `match`."""
        self.match_index = max(self.match_index, match)
        while self.in_flight and self.in_flight[0].round <= round_number:
            self.holds_back = self.in_flight.popleft().last > match
        if not self.in_flight or self.next_index <= self.match_index:
            self.next_index = self.match_index + 1

    def record_rejected(self, match_hint: int, round_number: int, newest_round: int) -> None:
        """Records that the follower's log does not match the append; `match_hint` is where it may match."""
        if round_number <= self.last_stale_round:
            return
        self.in_flight.clear()
        self.last_stale_round = newest_round
        self.next_index = max(self.match_index, match_hint) + 1

    def record_installed(self, index: int) -> None:
        """Records that the follower has installed a snapshot up to this index."""
        self.transfer = None
        self.in_flight.clear()
        self.match_index = max(self.match_index, index)
        self.next_index = self.match_index + 1
