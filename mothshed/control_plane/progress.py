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
class Flight:
    """Entries sent and not acknowledged: the round they went with, the last index, bytes."""

    round: int
    last: int
    size: int


class Progress:
    """A follower's progress: `match` is held durably by it, `next` is what it is sent next."""

    def __init__(self, next_index: int, now: float) -> None:
        self.match, self.next = 0, next_index
        self.round, self.answered_at = 0, now  # highest round echoed, and when
        self.answered = False  # whether it has answered this leader at all
        self.flights: collections.deque[Flight] = collections.deque()
        self.stale_until = 0  # rejections of this round and earlier say nothing new
        self.transfer: snapshot_transfer.Transfer | None = (
            None  # the snapshot on its way, if the entries it needs are gone
        )

    def room(self) -> int:
        """Bytes of entries that may be sent now."""
        return constants.REPLICATION_WINDOW_BYTES - sum(flight.size for flight in self.flights)

    def sent(self, round_number: int, last: int, size: int) -> None:
        """Notes entries up to `last` as under way."""
        self.flights.append(Flight(round_number, last, size))
        self.next = last + 1

    def echoed(self, round_number: int, now: float) -> None:
        """An answer to a round came, whatever it says of the log."""
        self.round = max(self.round, round_number)
        self.answered_at, self.answered = now, True

    def accepted(self, match: int, round_number: int) -> None:
        """The follower holds everything up to `match`."""
        self.match = max(self.match, match)
        while self.flights and self.flights[0].round <= round_number:
            self.flights.popleft()
        if not self.flights or self.next <= self.match:
            self.next = self.match + 1

    def rejected(self, hint: int, round_number: int, newest_round: int) -> None:
        """The follower's log does not reach to what was sent; `hint`: where it may match."""
        if round_number <= self.stale_until:
            return
        self.flights.clear()
        self.stale_until = newest_round
        self.next = max(self.match, hint) + 1

    def installed(self, index: int) -> None:
        """The follower has taken a snapshot up to this index."""
        self.transfer = None
        self.flights.clear()
        self.match = max(self.match, index)
        self.next = self.match + 1
