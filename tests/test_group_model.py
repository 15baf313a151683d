"""Random walks over a whole group: messages in any order, crashes, wiped disks, newcomers, lost messages."""

import itertools

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.control_plane.membership as membership
import mothshed.control_plane.replication as replication
import tests.group_model as group_model

WALK = hypothesis.settings(
    max_examples=40,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SMALL = {
    "SNAPSHOT_INTERVAL_ENTRIES": 4,
    "MAX_RETAINED_LOG_ENTRIES": 1,
    "SNAPSHOT_CHUNK_CHARS": 64,
    "REPLICATION_WINDOW_BYTES": 300,
    "MAX_APPEND_BYTES": 120,
}


@pytest.fixture(autouse=True)
def small_bounds(monkeypatch):
    """Snapshots, pieces and windows come after a few entries."""
    for name, value in SMALL.items():
        monkeypatch.setattr(constants, name, value)


class Walk(stateful.RuleBasedStateMachine):
    size, losses = 3, 1

    def __init__(self):
        super().__init__()
        self.group = group_model.Group(self.size, self.losses)
        self.newcomers = 0
        self.group.rest()

    def name(self, pick):
        names = sorted(self.group.seats)
        return names[pick % len(names)]

    @stateful.rule(span=strategies.floats(0.01, 0.7), pick=strategies.integers(0, 9))
    def time_passes(self, span, pick):
        self.group.pool.time += span
        self.group.tick(self.name(pick))

    @stateful.rule(
        span=strategies.sampled_from([0.02, 0.12, 0.5]),
        steps=strategies.integers(1, 8),
        count=strategies.integers(1, 40),
    )
    def all_runs_in_order(self, span, steps, count):
        for _ in range(steps):
            self.group.pool.time += span
            for name in sorted(self.group.seats):
                self.group.tick(name)
            for _ in range(count):
                self.group.deliver(0)
                self.group.check()

    @stateful.rule(at=strategies.integers(0, 50))
    def one_message_comes(self, at):
        self.group.deliver(at)

    @stateful.rule(at=strategies.integers(0, 50))
    def one_message_is_lost(self, at):
        if self.group.pool.waiting:
            self.group.pool.waiting.pop(at % len(self.group.pool.waiting))

    @stateful.rule(pick=strategies.integers(0, 9), count=strategies.integers(1, 6))
    def writes(self, pick, count):
        for _ in range(count):
            for name in sorted(self.group.seats):
                self.group.propose(name)
            self.group.pool.time += 0.011

    @stateful.rule()
    def leases_are_asked_for(self):
        for name in sorted(self.group.seats):
            self.group.ask_lease(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def a_leader_names_a_successor(self, pick):
        self.group.seats[self.name(pick)].transfer_leadership()

    @stateful.rule(pick=strategies.integers(0, 9), back=strategies.booleans())
    def crash(self, pick, back):
        name = self.name(pick)
        self.group.crash(name)
        if back:
            self.group.boot(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def restart(self, pick):
        name = self.name(pick)
        if name in self.group.down:
            self.group.boot(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def disk_lost(self, pick):
        if self.group.whole():
            name = self.name(pick)
            self.group.wipe(name)
            self.group.boot(name)

    @stateful.rule()
    def newcomer(self):
        if self.newcomers < 1 and self.group.whole():
            self.newcomers += 1
            self.group.add("N")

    @stateful.invariant()
    def one_leader_a_term(self):
        self.group.check()

    def teardown(self):
        self.group.finish()


class WalkOfFive(Walk):
    size, losses = 5, 2


class WalkOfFour(Walk):
    size, losses = 4, 1


@pytest.mark.parametrize("walk", [Walk, WalkOfFour, WalkOfFive])
def test_no_walk_loses_or_doubles_what_was_acknowledged(walk):
    stateful.run_state_machine_as_test(walk, settings=WALK)


def count_alone(self):
    """Commits what the leader alone has written."""
    self.commit_index = self.log.last
    self.apply_all()


def broken_by(monkeypatch, place, name, value, reason):
    """The walks break, for this reason, once this protection is taken out."""
    monkeypatch.setattr(place, name, value)
    many = hypothesis.settings(WALK, max_examples=400, phases=[hypothesis.Phase.generate])
    with pytest.raises(AssertionError, match=reason):
        stateful.run_state_machine_as_test(Walk, settings=many)


def test_the_walks_find_a_commit_without_a_majority(monkeypatch):
    broken_by(monkeypatch, replication.Replication, "advance_commit_index", count_alone, "^index .* is .* and ")


def test_the_walks_find_votes_without_a_majority(monkeypatch):
    broken_by(
        monkeypatch, membership.Membership, "has_quorum", lambda self, ids: bool(self.voters), "^two leaders of term"
    )


def quorums(group, everyone):
    """Every set of these ids that is a quorum of the membership."""
    sets = itertools.chain.from_iterable(itertools.combinations(everyone, n) for n in range(len(everyone) + 1))
    return [set(ids) for ids in sets if group.has_quorum(ids)]


@pytest.mark.parametrize(
    "old, new", [("ABX", "ABY"), ("ABC", "ABCD"), ("ABCD", "ABC"), ("ABCXZ", "ABCYW"), ("ABC", "DEF")]
)
def test_no_quorum_of_a_joint_membership_misses_one_of_the_old_or_the_new(old, new):
    everyone = sorted(set(old + new))
    before, after = membership.Membership(dict.fromkeys(old)), membership.Membership(dict.fromkeys(new))
    joint = before.enter_joint(after.voters)
    assert joint.leave_joint() == after
    for settled in (before, after):
        assert all(one & other for one in quorums(joint, everyone) for other in quorums(settled, everyone))


def test_one_entry_for_a_replacement_would_let_two_majorities_miss_each_other():
    before, after = membership.Membership(dict.fromkeys("ABX")), membership.Membership(dict.fromkeys("ABY"))
    assert any(not one & other for one in quorums(before, "ABXY") for other in quorums(after, "ABXY"))
