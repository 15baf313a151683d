"""Lower bounds on commit times, as a follower can prove them on its own clock.

Each append carries the leader's commit index, the newest round echoed by a majority, and the newest round
echoed by this follower. The last one bounds when the append's round was sent: not before this follower sent
that echo. A majority that echoed a round had elected no later leader when the round was sent, and the append
shows that this leader had not committed a later entry either.
A new leader thus knows how long ago an inherited entry can have been acknowledged at most.
"""

import collections

import mothshed.constants as constants


class CommitTimeBounds:
    """Bounds proven by the appends of one leader, that of the newest term received."""

    def __init__(self) -> None:
        self.term = 0
        self.reset()

    def reset(self) -> None:
        """Discards what the rounds of an earlier leader have proven."""
        self.echoed_at: dict[int, float] = {}  # round -> when it was received and echoed
        self.sent_after: dict[int, float] = {}  # round -> a time until which it was certainly not sent
        self.proofs: collections.deque[tuple[int, float]] = collections.deque(maxlen=constants.MAX_COMMIT_PROOFS)

    def record_append(self, term: int, round_number: int, echoed: int, confirmed: int, commit: int, now: float) -> None:
        """Records an append received at time `now`.

        echoed: newest round of which the leader had received this member's echo. confirmed: newest round that a
        majority had echoed.
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
        """Records that no entry after the index `commit` was committed before `proven_at`."""
        if self.proofs and self.proofs[-1][0] == commit:
            proven_at = max(proven_at, self.proofs.pop()[1])
        self.proofs.append((commit, proven_at))

    def not_committed_before(self, term: int, index: int) -> float | None:
        """The latest time on this member's clock before which an entry of this term was certainly not committed.

        None if nothing is known, for instance if the entry's term is not that of the last known leader.
        """
        if term != self.term:
            return None
        return max((at for commit, at in self.proofs if commit < index), default=None)
