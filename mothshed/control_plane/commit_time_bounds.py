"""What a follower can prove of the moment before which an entry was not committed.

A leader sends with each append its commit index, its newest round that a majority has echoed, and the
newest round of this follower's own that it had heard. The last one bounds, on this follower's clock, when a
round was sent: not before that echo. A majority that echoed a round had elected no later leader when that
round was sent, and the append shows that this leader had not committed the entry either.
A member that becomes leader can tell so for how long an inherited entry may have been acknowledged at most.
"""

import collections

import mothshed.constants as constants


class CommitTimeBounds:
    """Proofs from the appends of one leader, those of the newest term that was heard."""

    def __init__(self) -> None:
        self.term = 0
        self.reset()

    def reset(self) -> None:
        """Drop all that an earlier leader's rounds have shown."""
        self.echoed_at: dict[int, float] = {}  # round -> this member's clock when it was received
        self.sent_after: dict[int, float] = {}  # round -> a moment at or before which it was not sent yet
        self.proofs: collections.deque[tuple[int, float]] = collections.deque(maxlen=constants.MAX_COMMIT_PROOFS)

    def record_append(self, term: int, round_number: int, echoed: int, confirmed: int, commit: int, now: float) -> None:
        """Take note of an append.

        echoed: the newest round whose echo by this member its sender had received; confirmed: the newest round
        that a majority had echoed.
        """
        if term != self.term:
            self.term = term
            self.reset()
        self.echoed_at[round_number] = now
        if echoed in self.echoed_at:
            self.sent_after[round_number] = self.echoed_at[echoed]
        for rounds in (self.echoed_at, self.sent_after):
            rounds.pop(round_number - constants.MAX_REMEMBERED_ROUNDS, None)
        proven_at = self.sent_after.get(confirmed)
        if proven_at is not None:
            self.add_bound(commit, proven_at)

    def add_bound(self, commit: int, proven_at: float) -> None:
        """No entry past this index was committed before this moment."""
        if self.proofs and self.proofs[-1][0] == commit:
            proven_at = max(proven_at, self.proofs.pop()[1])
        self.proofs.append((commit, proven_at))

    def not_committed_before(self, term: int, index: int) -> float | None:
        """The latest moment, on this member's clock, before which an entry of this term surely was not committed.

        None if nothing is known: the entry is of another leader than the last one heard.
        """
        if term != self.term:
            return None
        return max((at for commit, at in self.proofs if commit < index), default=None)
