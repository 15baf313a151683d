"""The voters of a consensus group, also during a membership change, and the rules for the next change.

A change uses joint consensus: while the replaced voters are still listed as outgoing, elections, commits and
reads need a majority of both the old and the new voters. Any number of voters may thus be replaced in one
change, and any two majorities intersect, even across the change (Ongaro, section 4.3).
"""

import collections.abc
import dataclasses
import typing

Endpoint = dict[str, str]  # {"address": ip:port for records between processes, "http": ip:port}
Voters = dict[str, Endpoint]  # member id -> endpoint


def majority_of(count: int) -> int:
    """The smallest majority of this many voters.

    >>> [majority_of(n) for n in (1, 2, 3, 4, 5, 7)]
    [1, 2, 2, 3, 3, 4]
    """
    return count // 2 + 1


@dataclasses.dataclass(frozen=True)
class Membership:
    """The voters, id -> {"address", "http"}, and the outgoing voters of a change in progress."""

    voters: Voters = dataclasses.field(default_factory=dict)
    outgoing: Voters = dataclasses.field(default_factory=dict)

    @property
    def all_voters(self) -> Voters:
        """The current and the outgoing voters."""
        return {**self.outgoing, **self.voters}

    @property
    def joint(self) -> bool:
        """Whether a change of the voters is in progress."""
        return bool(self.outgoing)

    def voter_sets(self) -> list[Voters]:
        """The sets of voters each of which needs a majority."""
        return [voter_set for voter_set in (self.voters, self.outgoing) if voter_set]

    def has_quorum(self, ids: collections.abc.Iterable[str]) -> bool:
        """Whether these ids include a majority of every voter set.

        >>> change = Membership(dict.fromkeys("ABY"), dict.fromkeys("ABX"))
        >>> change.has_quorum("AB"), change.has_quorum("BY"), change.has_quorum("AYX")
        (True, False, True)
        >>> Membership().has_quorum("A")
        False
        """
        voter_sets, present = self.voter_sets(), set(ids)
        return bool(voter_sets) and all(
            len(present & set(voter_set)) >= majority_of(len(voter_set)) for voter_set in voter_sets
        )

    def quorum_value(self, values: dict[str, int]) -> int:
        """The highest value that a quorum has reached; values: id -> number, 0 if missing.

        >>> Membership(dict.fromkeys("ABC")).quorum_value({"A": 9, "B": 7, "C": 2})
        7
        >>> Membership(dict.fromkeys("ABY"), dict.fromkeys("ABX")).quorum_value({"A": 9, "Y": 9, "X": 5})
        5
        """
        reached = []
        for voter_set in self.voter_sets():
            ordered = sorted((values.get(member, 0) for member in voter_set), reverse=True)
            reached.append(ordered[majority_of(len(voter_set)) - 1])
        return min(reached, default=0)

    def enter_joint(self, voters: Voters) -> "Membership":
        """The joint membership of a change to these voters."""
        return Membership(dict(voters), dict(self.voters))

    def leave_joint(self) -> "Membership":
        """The membership at the end of the change."""
        return Membership(dict(self.voters))

    def command(self) -> dict[str, typing.Any]:
        """The command whose log entry puts this membership into effect."""
        return {"op": "members", "members": self.voters, "outgoing": self.outgoing}


def from_command(command: dict[str, typing.Any]) -> Membership:
    """The membership in the command of a log entry or in a snapshot."""
    return Membership(command["members"], command.get("outgoing", {}))


def machine_name(member: str) -> str:
    """The machine name in a member id; the rest identifies the data folder."""
    return member.split("/")[0]


@dataclasses.dataclass(frozen=True)
class GroupView:
    """The leader's view of its group.

    voters: id -> endpoint. learners: id -> endpoint, for learners that hold all committed entries.
    response_ages: id -> seconds since the voter's last response. leaving: ids that announced that they leave.
    min_voters: the fewest voters that tolerate the configured number of failures.
    response_timeout_s: age of the last response above which a voter counts as missing, so that none is added.
    replace_after_s: age of the last response above which a voter may be replaced or removed.
    """

    leader: str
    voters: Voters
    learners: Voters
    response_ages: dict[str, float]
    leaving: frozenset[str]
    min_voters: int
    response_timeout_s: float
    replace_after_s: float


def next_voters(view: GroupView) -> Voters | None:
    """The voters to change to now, or None if no change is due.

    >>> endpoint = {"address": "a", "http": "h"}
    >>> group = dict.fromkeys(["A/1", "B/1", "X/1"], endpoint)
    >>> def decide(**overrides):
    ...     defaults = dict(leader="A/1", voters=group, learners={}, response_ages={}, leaving=frozenset(),
    ...                     min_voters=3, response_timeout_s=0.6, replace_after_s=1.6)
    ...     return sorted(next_voters(GroupView(**{**defaults, **overrides})) or [])
    >>> decide(learners={"X/2": endpoint}), decide(learners={"Y/1": endpoint})
    (['A/1', 'B/1', 'X/2'], ['A/1', 'B/1', 'X/1', 'Y/1'])
    >>> [decide(learners={"Y/1": endpoint}, response_ages={"X/1": age}) for age in (1.0, 1.7)]
    [[], ['A/1', 'B/1', 'Y/1']]
    >>> decide(response_ages={"X/1": 9.0}), decide(response_ages={"X/1": 9.0}, min_voters=1)
    ([], ['A/1', 'B/1'])
    >>> decide(leaving=frozenset(["X/1"]))
    []
    """
    for rule in (replace_wiped_voter, replace_unavailable_voter, update_voter_endpoint, add_voter):
        voters = rule(view)
        if voters is not None:
            return voters
    return None


def replace_voter(voters: Voters, removed: str, replacements: Voters) -> Voters:
    """The voters without one of them and with its replacements."""
    rest = {member: endpoint for member, endpoint in voters.items() if member != removed}
    return {**rest, **replacements}


def replace_wiped_voter(view: GroupView) -> Voters | None:
    """Replaces a voter by a learner of the same machine that restarted with an empty disk."""
    for learner, endpoint in view.learners.items():
        for voter in view.voters:
            if voter not in (learner, view.leader) and machine_name(voter) == machine_name(learner):
                return replace_voter(view.voters, voter, {learner: endpoint})
    return None


def replace_unavailable_voter(view: GroupView) -> Voters | None:
    """Replaces a voter that leaves or has stopped responding, or removes it if enough voters remain."""
    unresponsive = [voter for voter in view.voters if view.response_ages.get(voter, 0.0) > view.replace_after_s]
    unresponsive.sort(key=lambda voter: -view.response_ages[voter])
    leaving = [voter for voter in view.voters if voter in view.leaving and voter not in unresponsive]
    for voter in unresponsive + leaving:
        if voter == view.leader:
            continue
        candidates = [learner for learner in view.learners if learner not in view.voters]
        if candidates:
            return replace_voter(view.voters, voter, {candidates[0]: view.learners[candidates[0]]})
        if len(view.voters) > view.min_voters:
            return replace_voter(view.voters, voter, {})
    return None


def update_voter_endpoint(view: GroupView) -> Voters | None:
    """Updates a voter that restarted with its disk under another address."""
    for learner, endpoint in view.learners.items():
        if learner in view.voters and view.voters[learner] != endpoint:
            return {**view.voters, learner: endpoint}
    return None


def add_voter(view: GroupView) -> Voters | None:
    """Adds a voter while all voters respond; while one is missing, voters are only replaced."""
    if any(view.response_ages.get(voter, 0.0) > view.response_timeout_s for voter in view.voters):
        return None
    for learner, endpoint in view.learners.items():
        if learner not in view.voters and learner not in view.leaving:
            return {**view.voters, learner: endpoint}
    return None
