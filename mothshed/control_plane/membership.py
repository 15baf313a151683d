"""Who votes in a replicated log, during a change of the voters too.

A change goes through joint consensus: while the voters it replaces are still
listed as outgoing, elections, commits and reads need a majority of the old and
of the new voters. So any number of voters may be exchanged in one change, and no
two majorities that act at different moments miss each other (Ongaro, section 4.3).
"""

import collections.abc
import dataclasses
import typing

Place = dict[str, str]  # {"address": ip:port of the system's own records, "http": ip:port}
Voters = dict[str, Place]  # member id -> place


def majority_of(count: int) -> int:
    """How many of this many voters are more than half.

    >>> [majority_of(n) for n in (1, 2, 3, 4, 5, 7)]
    [1, 2, 2, 3, 3, 4]
    """
    return count // 2 + 1


@dataclasses.dataclass(frozen=True)
class Membership:
    """The voters, id -> {"address", "http"}, and those whom a change under way replaces."""

    voters: Voters = dataclasses.field(default_factory=dict)
    outgoing: Voters = dataclasses.field(default_factory=dict)

    @property
    def everyone(self) -> Voters:
        """Voters of both configurations."""
        return {**self.outgoing, **self.voters}

    @property
    def joint(self) -> bool:
        """Whether a change of the voters is under way."""
        return bool(self.outgoing)

    def configurations(self) -> list[Voters]:
        """The voter sets of which each needs a majority."""
        return [group for group in (self.voters, self.outgoing) if group]

    def has_quorum(self, ids: collections.abc.Iterable[str]) -> bool:
        """Whether these ids are a majority of every voter set.

        >>> change = Membership(dict.fromkeys("ABY"), dict.fromkeys("ABX"))
        >>> change.has_quorum("AB"), change.has_quorum("BY"), change.has_quorum("AYX")
        (True, False, True)
        >>> Membership().has_quorum("A")
        False
        """
        groups, present = self.configurations(), set(ids)
        return bool(groups) and all(len(present & set(group)) >= majority_of(len(group)) for group in groups)

    def agreed(self, values: dict[str, int]) -> int:
        """The highest value that a quorum has reached; values: id -> number, 0 where absent.

        >>> Membership(dict.fromkeys("ABC")).agreed({"A": 9, "B": 7, "C": 2})
        7
        >>> Membership(dict.fromkeys("ABY"), dict.fromkeys("ABX")).agreed({"A": 9, "Y": 9, "X": 5})
        5
        """
        reached = []
        for group in self.configurations():
            ordered = sorted((values.get(member, 0) for member in group), reverse=True)
            reached.append(ordered[majority_of(len(group)) - 1])
        return min(reached, default=0)

    def change_to(self, voters: Voters) -> "Membership":
        """The joint membership that leads to these voters."""
        return Membership(dict(voters), dict(self.voters))

    def settled(self) -> "Membership":
        """The membership once the change is over."""
        return Membership(dict(self.voters))

    def command(self) -> dict[str, typing.Any]:
        """The log entry that puts this membership into effect."""
        return {"op": "members", "members": self.voters, "outgoing": self.outgoing}


def from_command(command: dict[str, typing.Any]) -> Membership:
    """The membership that a log entry or a snapshot holds."""
    return Membership(command["members"], command.get("outgoing", {}))


def name_of(member: str) -> str:
    """The machine's name in a member's id; the rest is the mark of one data folder."""
    return member.split("/")[0]


@dataclasses.dataclass(frozen=True)
class GroupView:
    """What the leader of a group sees of it; times in seconds.

    voters: id -> place. learners: id -> place of those that hold all that is committed.
    silence: id -> time since the voter's last answer. leaving: ids that said so.
    smallest: the number of voters that the allowed losses call for.
    """

    leader: str
    voters: Voters
    learners: Voters
    silence: dict[str, float]
    leaving: frozenset[str]
    smallest: int
    present_within: float
    gone_after: float


def next_voters(view: GroupView) -> Voters | None:
    """The voters to change to now, or None if the group is as it should be.

    >>> place = {"address": "a", "http": "h"}
    >>> group = dict.fromkeys(["A/1", "B/1", "X/1"], place)
    >>> def look(**more):
    ...     usual = dict(leader="A/1", voters=group, learners={}, silence={}, leaving=frozenset(),
    ...                  smallest=3, present_within=0.6, gone_after=1.6)
    ...     return sorted(next_voters(GroupView(**{**usual, **more})) or [])
    >>> look(learners={"X/2": place}), look(learners={"Y/1": place})
    (['A/1', 'B/1', 'X/2'], ['A/1', 'B/1', 'X/1', 'Y/1'])
    >>> look(learners={"Y/1": place}, silence={"X/1": 1.0}), look(learners={"Y/1": place}, silence={"X/1": 1.7})
    ([], ['A/1', 'B/1', 'Y/1'])
    >>> look(silence={"X/1": 9.0}), look(silence={"X/1": 9.0}, smallest=1), look(leaving=frozenset(["X/1"]))
    ([], ['A/1', 'B/1'], [])
    """
    for rule in (replace_wiped, release_one, move_one, admit_one):
        voters = rule(view)
        if voters is not None:
            return voters
    return None


def without(voters: Voters, gone: str, newcomers: Voters) -> Voters:
    """The voters less one, and with these newcomers."""
    rest = {member: place for member, place in voters.items() if member != gone}
    return {**rest, **newcomers}


def replace_wiped(view: GroupView) -> Voters | None:
    """A machine that came back with an empty disk takes the place of what it was."""
    for learner, place in view.learners.items():
        for voter in view.voters:
            if voter not in (learner, view.leader) and name_of(voter) == name_of(learner):
                return without(view.voters, voter, {learner: place})
    return None


def release_one(view: GroupView) -> Voters | None:
    """A voter that leaves or has been silent for long is replaced, or let go if enough remain."""
    silent = [voter for voter in view.voters if view.silence.get(voter, 0.0) > view.gone_after]
    silent.sort(key=lambda voter: -view.silence[voter])
    leaving = [voter for voter in view.voters if voter in view.leaving and voter not in silent]
    for voter in silent + leaving:
        if voter == view.leader:
            continue
        newcomers = [learner for learner in view.learners if learner not in view.voters]
        if newcomers:
            return without(view.voters, voter, {newcomers[0]: view.learners[newcomers[0]]})
        if len(view.voters) > view.smallest:
            return without(view.voters, voter, {})
    return None


def move_one(view: GroupView) -> Voters | None:
    """A voter that came back with its disk at another address."""
    for learner, place in view.learners.items():
        if learner in view.voters and view.voters[learner] != place:
            return {**view.voters, learner: place}
    return None


def admit_one(view: GroupView) -> Voters | None:
    """A further machine, while every voter answers: a group with one missing grows by replacement only."""
    if any(view.silence.get(voter, 0.0) > view.present_within for voter in view.voters):
        return None
    for learner, place in view.learners.items():
        if learner not in view.voters and learner not in view.leaving:
            return {**view.voters, learner: place}
    return None
