"""Bounds on the commit times of inherited entries, and the older leases that a new leader grants by them."""

import itertools
import types

import pytest

import mothshed.constants as constants
import mothshed.control_plane.commit_time_bounds as commit_time_bounds
import mothshed.control_plane.config_leader_task as config_leader_task
import mothshed.control_plane.lease_bounds as lease_bounds
import tests.all_orders as all_orders
import tests.group_model as group_model
import tests.test_former_leases as test_former_leases
import tests.test_lease_state as test_lease_state


def bounds_after(*appends):
    """The bounds after these appends of term 1: (time, round, echoed, confirmed, commit)."""
    bounds = commit_time_bounds.CommitTimeBounds()
    for at, number, echoed, confirmed, commit in appends:
        bounds.record_append(1, number, echoed, confirmed, commit, at)
    return bounds


def test_a_confirmed_round_bounds_the_commit_time_of_later_entries():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 1, 1, 5), (10.2, 3, 2, 2, 5))
    # round 3 confirms round 2, which was sent after this member's echo of round 1
    assert bounds.not_committed_before(1, 6) == 10.0
    assert bounds.not_committed_before(1, 5) is None  # may be committed already
    assert bounds.not_committed_before(2, 6) is None  # an entry of another leader than the last known one


def test_a_proven_bound_remains_after_the_entry_is_committed():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 1, 1, 5), (10.2, 3, 2, 2, 5), (10.3, 4, 3, 3, 6))
    assert bounds.not_committed_before(1, 6) == 10.0 and bounds.not_committed_before(1, 7) == 10.1


def test_bounds_are_discarded_when_a_later_leader_sends():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 1, 1, 5), (10.2, 3, 2, 2, 5))
    bounds.record_append(2, 1, 0, 0, 5, 10.3)
    assert bounds.not_committed_before(1, 6) is None and bounds.not_committed_before(2, 6) is None


def test_an_append_proves_nothing_before_the_leader_received_an_echo():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 0, 0, 5), (10.2, 3, 0, 0, 5))
    assert bounds.not_committed_before(1, 6) is None


def test_the_number_of_bounds_is_limited():
    bounds = bounds_after(*((10 + 0.1 * n, n, n - 1, n - 1, n) for n in range(1, 4 * constants.MAX_COMMIT_PROOFS)))
    assert len(bounds.proofs) == constants.MAX_COMMIT_PROOFS
    assert bounds.not_committed_before(1, 2) is None  # the older bounds have been dropped


def group_after_leader_loss(size, steps):
    """A group whose leader proposes an entry and is lost after this many steps.

    Returns the group, the next leader, the entry's index and the time of the proposal.
    """
    group = group_model.Group(size, 1)
    group.converge()
    former = test_former_leases.leader_of(group)
    test_former_leases.run_with_leases(group, 0.5)
    group.propose(former)
    index, proposed_at = group.members[former].log.last, group.pool.time
    test_former_leases.run_with_leases(group, 0.02 * steps)
    group.crash(former)
    test_former_leases.run_with_leases(group, 1.5, (former,))
    return group, group.members[test_former_leases.leader_of(group)], index, proposed_at


@pytest.mark.parametrize("size, steps", list(itertools.product([3, 5], range(1, 8))))
def test_a_new_leader_bounds_inherited_entries_to_within_three_heartbeats(size, steps):
    group, leader, index, proposed_at = group_after_leader_loss(size, steps)
    assert group.history[index]["op"] == "note"
    bound = leader.not_committed_before(index)
    assert bound <= group.first_committed_at[index]
    assert abs(proposed_at - bound) < 3 * constants.HEARTBEAT_INTERVAL_S


def test_the_group_model_checks_commit_time_bounds():
    group = group_after_leader_loss(3, 4)[0]
    assert group.checked_commit_time_bounds > 100


def record_append_without(rule):
    """record_append without one rule: a round counts as sent when it arrives, or as confirmed at once."""
    original = commit_time_bounds.CommitTimeBounds.record_append

    def record_append(self, term, number, echoed, confirmed, commit, now):
        if rule == "own echo":
            original(self, term, number, number, confirmed, commit, now)
        else:
            original(self, term, number, echoed, number, commit, now)

    return record_append


def drop_between(group, partition):
    """Drops messages between these members and the others."""
    inside = {group.address(name) for name in partition}
    group.pool.waiting = [row for row in group.pool.waiting if (row[0] in inside) == (row[1] in inside)]


def run_partitioned(group, seconds, partition):
    for _ in range(round(seconds / 0.02)):
        group.pool.time += 0.02
        for name in sorted(group.members):
            group.tick(name)
        drop_between(group, partition)
        for _ in range(len(group.pool.waiting)):
            if group.pool.waiting:
                group.deliver(0)
                drop_between(group, partition)
                group.check()


def newest_bound(group, name):
    return max(at for _commit, at in group.members[name].commit_time_bounds.proofs)


def bound_advance_while_partitioned():
    """Seconds by which a member's bounds advance while it and its leader are partitioned from the majority."""
    group = group_model.Group(5, 2)
    group.converge()
    former = test_former_leases.leader_of(group)
    test_former_leases.run_with_leases(group, 0.5)
    companion = next(name for name in sorted(group.members) if name != former)
    before = newest_bound(group, companion)
    run_partitioned(group, 2.0, (former, companion))
    return newest_bound(group, companion) - before


def test_a_leader_without_a_majority_proves_no_newer_bounds():
    """It may still send appends after another leader was elected and has committed what it had only proposed."""
    assert bound_advance_while_partitioned() <= 2 * constants.HEARTBEAT_INTERVAL_S


def test_newer_bounds_would_be_proven_without_the_confirmed_round(monkeypatch):
    monkeypatch.setattr(commit_time_bounds.CommitTimeBounds, "record_append", record_append_without("confirmed round"))
    assert bound_advance_while_partitioned() > 2 * constants.HEARTBEAT_INTERVAL_S


def commit_while_appends_are_delayed():
    """Delays the appends to one of three members while rounds pass and an entry is committed."""
    group = group_model.Group(3, 1)
    group.converge()
    former = test_former_leases.leader_of(group)
    test_former_leases.run_with_leases(group, 0.5)
    companion = next(name for name in sorted(group.members) if name != former)
    address, delayed = group.address(companion), []
    for step in range(40):
        if step == 20:
            group.propose(former)
        group.pool.time += 0.02
        for name in sorted(group.members):
            if name != companion:  # it would start an election
                group.tick(name)
        while group.pool.waiting:
            row = group.pool.waiting[0]
            if row[0] == address:
                delayed.append(group.pool.waiting.pop(0))
            else:
                group.deliver(0)
                group.check()
    group.pool.waiting += delayed
    while group.pool.waiting:
        group.deliver(0)
        group.check()


def test_delayed_appends_are_not_dated_by_their_time_of_arrival():
    commit_while_appends_are_delayed()


def test_delayed_appends_would_be_misdated_without_the_members_echo(monkeypatch):
    monkeypatch.setattr(commit_time_bounds.CommitTimeBounds, "record_append", record_append_without("own echo"))
    with pytest.raises(AssertionError, match="^the commit time bound of .* is .* s too late"):
        commit_while_appends_are_delayed()


class LeaderWithCommitBound(test_lease_state.FakeMember):
    """A leader with a given bound on the commit time of inherited entries."""

    commit_bound = None

    def not_committed_before(self, index):
        return self.commit_bound


def make_inheriting_task(bound_age_s, bounds=None):
    """A task that starts with sequence 2 staged and 1 active; 2 was not committed `bound_age_s` seconds ago."""
    pool = all_orders.Pool()
    member = LeaderWithCommitBound(all_orders.ManualEnvironment(pool, "a:1"))
    leader_task = config_leader_task.ConfigLeaderTask(member, bounds)
    leader_task.machine.apply(7, test_lease_state.stage(0, 1, "order 0"))
    leader_task.machine.apply(8, {"op": "activate", "sequence": 1})
    leader_task.machine.apply(9, test_lease_state.stage(1, 2, "order 1"))
    member.commit_bound = None if bound_age_s is None else pool.time - bound_age_s
    leader_task.start()
    return pool, leader_task


def test_a_new_leader_grants_short_older_leases_while_the_commit_bound_allows():
    pool, leader_task = make_inheriting_task(0.9)
    assert leader_task.lease_length() == constants.SHORT_LEASE_S
    pool.time += leader_task.bounds.older_lease_window_s - 0.9 + 0.01
    assert leader_task.lease_length() == 0.0


def test_a_new_leader_without_a_commit_bound_grants_no_older_leases():
    assert make_inheriting_task(None)[1].lease_length() == 0.0
    pool, leader_task = make_inheriting_task(0.9)
    leader_task.machine.restore({**leader_task.machine.dump(), "docs": list(leader_task.machine.docs.items())})
    leader_task.start()  # a snapshot does not hold the index at which the document was staged
    assert leader_task.lease_length() == 0.0


def test_the_earliest_of_several_inherited_documents_counts():
    pool, leader_task = make_inheriting_task(1.5)
    leader_task.machine.apply(10, test_lease_state.stage(2, 3, "order 2"))
    leader_task.member.not_committed_before = lambda index: pool.time - {9: 1.5, 10: 0.1}[index]
    leader_task.start()
    pool.time += leader_task.bounds.older_lease_window_s - 1.5 + 0.01
    assert leader_task.lease_length() == 0.0


def test_an_inherited_document_is_activated_only_after_former_and_newer_leases_expire():
    pool, leader_task = make_inheriting_task(0.05)
    until = leader_task.activation_allowed_at
    leader_task.grant_lease("r:1", {"mark": 1, "staged": 1, "held": 1})
    pool.time = until - 0.01
    leader_task.try_activate()
    assert leader_task.machine.active == 1
    pool.time = until + 0.01
    leader_task.grant_lease("r:1", {"mark": 2, "staged": 1, "held": 1})
    leader_task.try_activate()
    assert leader_task.machine.active == 1  # a router without the document has just been granted a lease
    pool.time += constants.SHORT_LEASE_S + constants.LEASE_CLOCK_MARGIN_S + 0.01
    leader_task.try_activate()
    assert leader_task.machine.active == 2


@pytest.mark.parametrize("in_force_s", [0.5, 1.0, 2.0, 2.5, 8.0])
def test_no_older_lease_outlasts_the_configured_activation_delay(in_force_s):
    bounds = lease_bounds.LeaseBounds(in_force_s)
    assert bounds.older_lease_window_s + constants.SHORT_LEASE_S <= in_force_s
    assert 0 < bounds.long_lease_s <= min(constants.LONG_LEASE_S, in_force_s)
    assert types.SimpleNamespace(**vars(bounds)).in_force_s == in_force_s
