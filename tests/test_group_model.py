"""Random walks over a consensus group: reordered and lost messages, crashes, wiped disks, new members."""

import itertools

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as strategies
import pytest

import mothshed.configuration.constants as configuration_constants
import mothshed.constants as constants
import mothshed.control_plane.membership as membership
import mothshed.control_plane.replication as replication
import mothshed.control_plane.stored_documents as stored_documents
import tests.document_group as document_group
import tests.group_model as group_model

WALK_SETTINGS = hypothesis.settings(
    max_examples=40,
    stateful_step_count=60,
    derandomize=True,
    deadline=None,
    suppress_health_check=list(hypothesis.HealthCheck),
)
SMALL_LIMITS = {
    "SNAPSHOT_INTERVAL_ENTRIES": 4,
    "MAX_RETAINED_LOG_ENTRIES": 1,
    "SNAPSHOT_CHUNK_CHARS": 64,
    "REPLICATION_WINDOW_BYTES": 300,
    "MAX_APPEND_BYTES": 120,
}


@pytest.fixture(autouse=True)
def small_limits(monkeypatch):
    """Lowers the limits so that snapshots, chunks and full windows occur after a few entries."""
    for name, value in SMALL_LIMITS.items():
        monkeypatch.setattr(constants, name, value)
    monkeypatch.setattr(configuration_constants, "DOCUMENT_PIECE_BYTES", 40)


class GroupRandomWalk(stateful.RuleBasedStateMachine):
    size, losses = 3, 1
    group_class = group_model.Group

    def __init__(self):
        super().__init__()
        self.group = self.group_class(self.size, self.losses)
        self.added = 0
        self.group.converge()

    def name(self, pick):
        names = sorted(self.group.members)
        return names[pick % len(names)]

    @stateful.rule(seconds=strategies.floats(0.01, 0.7), pick=strategies.integers(0, 9))
    def advance_time(self, seconds, pick):
        self.group.pool.time += seconds
        self.group.tick(self.name(pick))

    @stateful.rule(
        seconds=strategies.sampled_from([0.02, 0.12, 0.5]),
        steps=strategies.integers(1, 8),
        count=strategies.integers(1, 40),
    )
    def run_all_in_order(self, seconds, steps, count):
        for _ in range(steps):
            self.group.pool.time += seconds
            for name in sorted(self.group.members):
                self.group.tick(name)
            for _ in range(count):
                self.group.deliver(0)
                self.group.check()

    @stateful.rule(index=strategies.integers(0, 50))
    def deliver_one_message(self, index):
        self.group.deliver(index)

    @stateful.rule(index=strategies.integers(0, 50))
    def lose_one_message(self, index):
        if self.group.pool.waiting:
            self.group.pool.waiting.pop(index % len(self.group.pool.waiting))

    @stateful.rule(pick=strategies.integers(0, 9), count=strategies.integers(1, 6))
    def propose_writes(self, pick, count):
        for _ in range(count):
            for name in sorted(self.group.members):
                self.group.propose(name)
            self.group.pool.time += 0.011

    @stateful.rule()
    def request_leases(self):
        for name in sorted(self.group.members):
            self.group.ask_lease(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def transfer_leadership(self, pick):
        self.group.members[self.name(pick)].transfer_leadership()

    @stateful.rule(pick=strategies.integers(0, 9), restart_now=strategies.booleans())
    def crash(self, pick, restart_now):
        name = self.name(pick)
        self.group.crash(name)
        if restart_now:
            self.group.boot(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def restart(self, pick):
        name = self.name(pick)
        if name in self.group.down:
            self.group.boot(name)

    @stateful.rule(pick=strategies.integers(0, 9))
    def lose_disk(self, pick):
        if self.group.has_final_membership():
            name = self.name(pick)
            self.group.wipe(name)
            self.group.boot(name)

    @stateful.rule()
    def add_member(self):
        if self.added < 1 and self.group.has_final_membership():
            self.added += 1
            self.group.add("N")

    @stateful.invariant()
    def at_most_one_leader_per_term(self):
        self.group.check()

    def teardown(self):
        self.group.finish()


class DocumentRandomWalk(GroupRandomWalk):
    """Every second write refers to a large document, which the members fetch in pieces."""

    group_class = document_group.DocumentGroup


class RandomWalkOfFive(GroupRandomWalk):
    size, losses = 5, 2


class RandomWalkOfFour(GroupRandomWalk):
    size, losses = 4, 1


@pytest.mark.parametrize("walk", [GroupRandomWalk, DocumentRandomWalk, RandomWalkOfFour, RandomWalkOfFive])
def test_random_walks_neither_lose_nor_duplicate_acknowledged_writes(walk):
    stateful.run_state_machine_as_test(walk, settings=WALK_SETTINGS)


def commit_alone(self):
    """Commits entries that only the leader has written."""
    self.commit_index = self.log.last
    self.apply_all()


def assert_walks_fail(monkeypatch, target, name, replacement, expected_error, walk=GroupRandomWalk):
    """Replaces a protection and expects the random walks to fail with this error."""
    monkeypatch.setattr(target, name, replacement)
    settings = hypothesis.settings(WALK_SETTINGS, max_examples=400, phases=[hypothesis.Phase.generate])
    with pytest.raises(AssertionError, match=expected_error):
        stateful.run_state_machine_as_test(walk, settings=settings)


def test_random_walks_detect_commits_without_a_majority(monkeypatch):
    assert_walks_fail(
        monkeypatch, replication.Replication, "advance_commit_index", commit_alone, "^index .* is .* and "
    )


def test_random_walks_detect_elections_without_a_majority(monkeypatch):
    assert_walks_fail(
        monkeypatch, membership.Membership, "has_quorum", lambda self, ids: bool(self.voters), "^two leaders of term"
    )


DOCUMENT_PROTECTIONS = {
    "entries wait for their documents": ("storable_entries", lambda self, entries: entries),
    "snapshots wait for their documents": ("has_documents_of", lambda self, snapshot: True),
}


@pytest.mark.parametrize("name", DOCUMENT_PROTECTIONS)
def test_random_walks_detect_members_without_the_documents_they_refer_to(monkeypatch, name):
    """Guards against a committed configuration that no majority could read back."""
    method, replacement = DOCUMENT_PROTECTIONS[name]
    assert_walks_fail(
        monkeypatch,
        stored_documents.StoredDocuments,
        method,
        replacement,
        "^a document is missing at ",
        DocumentRandomWalk,
    )


def quorums(group, everyone):
    """Every set of these ids that is a quorum of the membership."""
    sets = itertools.chain.from_iterable(itertools.combinations(everyone, n) for n in range(len(everyone) + 1))
    return [set(ids) for ids in sets if group.has_quorum(ids)]


@pytest.mark.parametrize(
    "old, new", [("ABX", "ABY"), ("ABC", "ABCD"), ("ABCD", "ABC"), ("ABCXZ", "ABCYW"), ("ABC", "DEF")]
)
def test_quorums_of_a_joint_membership_intersect_those_of_both_configurations(old, new):
    everyone = sorted(set(old + new))
    before, after = membership.Membership(dict.fromkeys(old)), membership.Membership(dict.fromkeys(new))
    joint = before.enter_joint(after.voters)
    assert joint.leave_joint() == after
    for settled in (before, after):
        assert all(one & other for one in quorums(joint, everyone) for other in quorums(settled, everyone))


def test_replacing_a_voter_in_one_entry_would_allow_disjoint_majorities():
    before, after = membership.Membership(dict.fromkeys("ABX")), membership.Membership(dict.fromkeys("ABY"))
    assert any(not one & other for one in quorums(before, "ABXY") for other in quorums(after, "ABXY"))
