"""What a new leader can prove of when an inherited entry was committed, and the older leases that it grants for it."""

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
    """The proofs after these appends of term 1: (when, round, echoed, confirmed, commit)."""
    bounds = commit_time_bounds.CommitTimeBounds()
    for at, number, echoed, confirmed, commit in appends:
        bounds.record_append(1, number, echoed, confirmed, commit, at)
    return bounds


def test_a_round_that_a_majority_echoed_dates_what_was_not_committed():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 1, 1, 5), (10.2, 3, 2, 2, 5))
    # round 3 says that 2 is confirmed; 2 was sent after this member's echo of 1
    assert bounds.not_committed_before(1, 6) == 10.0
    assert bounds.not_committed_before(1, 5) is None  # committed for all that is known
    assert bounds.not_committed_before(2, 6) is None  # an entry of another leader than the last one heard


def test_a_moment_that_was_proven_stays_when_the_entry_is_committed():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 1, 1, 5), (10.2, 3, 2, 2, 5), (10.3, 4, 3, 3, 6))
    assert bounds.not_committed_before(1, 6) == 10.0 and bounds.not_committed_before(1, 7) == 10.1


def test_a_later_leader_makes_earlier_rounds_worthless():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 1, 1, 5), (10.2, 3, 2, 2, 5))
    bounds.record_append(2, 1, 0, 0, 5, 10.3)
    assert bounds.not_committed_before(1, 6) is None and bounds.not_committed_before(2, 6) is None


def test_before_any_echo_has_arrived_an_append_proves_nothing():
    bounds = bounds_after((10.0, 1, 0, 0, 5), (10.1, 2, 0, 0, 5), (10.2, 3, 0, 0, 5))
    assert bounds.not_committed_before(1, 6) is None


def test_only_so_many_commit_indexes_are_kept():
    bounds = bounds_after(*((10 + 0.1 * n, n, n - 1, n - 1, n) for n in range(1, 4 * constants.MAX_COMMIT_PROOFS)))
    assert len(bounds.proofs) == constants.MAX_COMMIT_PROOFS
    assert bounds.not_committed_before(1, 2) is None  # forgotten, not guessed


def staged_and_lost(size, steps):
    """A group whose leader proposes a note and is lost after so many steps.

    Gives the group, the next leader, the note's index, and when it was proposed.
    """
    group = group_model.Group(size, 1)
    group.rest()
    former = test_former_leases.leader_of(group)
    test_former_leases.settle(group, 0.5)
    group.propose(former)
    index, proposed_at = group.seats[former].log.last, group.pool.time
    test_former_leases.settle(group, 0.02 * steps)
    group.crash(former)
    test_former_leases.settle(group, 1.5, (former,))
    return group, group.seats[test_former_leases.leader_of(group)], index, proposed_at


@pytest.mark.parametrize("size, steps", list(itertools.product([3, 5], range(1, 8))))
def test_a_leader_that_follows_a_lost_one_dates_what_it_inherits_within_three_heartbeats(size, steps):
    group, leader, index, proposed_at = staged_and_lost(size, steps)
    assert group.history[index]["op"] == "note"
    moment = leader.not_committed_before(index)
    assert moment <= group.committed_at[index]
    assert abs(proposed_at - moment) < 3 * constants.HEARTBEAT_INTERVAL_S


def test_the_walks_check_such_moments():
    group = staged_and_lost(3, 4)[0]
    assert group.checked_commit_time_bounds > 100


def received_without(rule):
    """record_append with one rule left out: a round counts as sent when it came, or as confirmed at once."""
    whole = commit_time_bounds.CommitTimeBounds.record_append

    def record_append(self, term, number, echoed, confirmed, commit, now):
        if rule == "own echo":
            whole(self, term, number, number, confirmed, commit, now)
        else:
            whole(self, term, number, echoed, number, commit, now)

    return record_append


def cut(group, apart):
    """Drop what goes between these members and the others."""
    inside = {group.address(name) for name in apart}
    group.pool.waiting = [row for row in group.pool.waiting if (row[0] in inside) == (row[1] in inside)]


def run_apart(group, seconds, apart):
    for _ in range(round(seconds / 0.02)):
        group.pool.time += 0.02
        for name in sorted(group.seats):
            group.tick(name)
        cut(group, apart)
        for _ in range(len(group.pool.waiting)):
            if group.pool.waiting:
                group.deliver(0)
                cut(group, apart)
                group.check()


def newest_proof(group, name):
    return max(at for _commit, at in group.seats[name].commit_time_bounds.proofs)


def proofs_while_cut_off():
    """How much newer a member's proofs become while it and its leader are cut off from the majority, in seconds."""
    group = group_model.Group(5, 2)
    group.rest()
    former = test_former_leases.leader_of(group)
    test_former_leases.settle(group, 0.5)
    friend = next(name for name in sorted(group.seats) if name != former)
    before = newest_proof(group, friend)
    run_apart(group, 2.0, (former, friend))
    return newest_proof(group, friend) - before


def test_a_leader_without_a_majority_proves_nothing_more():
    """It may send for a while after another one was elected and committed what it had only proposed."""
    assert proofs_while_cut_off() <= 2 * constants.HEARTBEAT_INTERVAL_S


def test_without_the_confirmed_round_it_would(monkeypatch):
    monkeypatch.setattr(commit_time_bounds.CommitTimeBounds, "record_append", received_without("confirmed round"))
    assert proofs_while_cut_off() > 2 * constants.HEARTBEAT_INTERVAL_S


def commits_while_appends_are_late():
    """Rounds pass, and an entry is committed, while the appends to one of three members are on their way."""
    group = group_model.Group(3, 1)
    group.rest()
    former = test_former_leases.leader_of(group)
    test_former_leases.settle(group, 0.5)
    friend = next(name for name in sorted(group.seats) if name != former)
    address, late = group.address(friend), []
    for step in range(40):
        if step == 20:
            group.propose(former)
        group.pool.time += 0.02
        for name in sorted(group.seats):
            if name != friend:  # it would stand meanwhile
                group.tick(name)
        while group.pool.waiting:
            row = group.pool.waiting[0]
            if row[0] == address:
                late.append(group.pool.waiting.pop(0))
            else:
                group.deliver(0)
                group.check()
    group.pool.waiting += late
    while group.pool.waiting:
        group.deliver(0)
        group.check()


def test_a_member_that_hears_late_of_an_older_commit_index_does_not_date_it_by_its_own_clock():
    commits_while_appends_are_late()


def test_without_its_own_echo_it_would(monkeypatch):
    monkeypatch.setattr(commit_time_bounds.CommitTimeBounds, "record_append", received_without("own echo"))
    with pytest.raises(AssertionError, match="for committed .* s after it was"):
        commits_while_appends_are_late()


class Inheritor(test_lease_state.FakeMember):
    """A leader that can date what it inherits."""

    moment = None

    def not_committed_before(self, index):
        return self.moment


def inherited(moment_ago, bounds=None):
    """A duty that starts with sequence 2 staged over 1; when it was not acknowledged yet, in seconds ago."""
    pool = all_orders.Pool()
    seat = Inheritor(all_orders.ManualEnvironment(pool, "a:1"))
    duty = config_leader_task.ConfigLeaderTask(seat, bounds)
    duty.machine.apply(7, test_lease_state.stage(0, 1, "order 0"))
    duty.machine.apply(8, {"op": "activate", "sequence": 1})
    duty.machine.apply(9, test_lease_state.stage(1, 2, "order 1"))
    seat.moment = None if moment_ago is None else pool.time - moment_ago
    duty.start()
    return pool, duty


def test_a_new_leader_grants_short_older_leases_while_it_can_date_what_is_staged():
    pool, duty = inherited(0.9)
    assert duty.lease_length() == constants.SHORT_LEASE_S
    pool.time += duty.bounds.older_lease_window_s - 0.9 + 0.01
    assert duty.lease_length() == 0.0


def test_a_new_leader_that_cannot_date_it_grants_none():
    assert inherited(None)[1].lease_length() == 0.0
    pool, duty = inherited(0.9)
    duty.machine.restore({**duty.machine.dump(), "docs": list(duty.machine.docs.items())})
    duty.start()  # a snapshot does not tell at which index the document was staged
    assert duty.lease_length() == 0.0


def test_the_earliest_of_several_inherited_documents_counts():
    pool, duty = inherited(1.5)
    duty.machine.apply(10, test_lease_state.stage(2, 3, "order 2"))
    duty.member.not_committed_before = lambda index: pool.time - {9: 1.5, 10: 0.1}[index]
    duty.start()
    pool.time += duty.bounds.older_lease_window_s - 1.5 + 0.01
    assert duty.lease_length() == 0.0


def test_what_is_inherited_is_activated_only_after_former_leases_and_those_granted_since():
    pool, duty = inherited(0.05)
    until = duty.activation_allowed_at
    duty.grant_lease("r:1", {"mark": 1, "staged": 1, "held": 1})
    pool.time = until - 0.01
    duty.try_activate()
    assert duty.machine.active == 1
    pool.time = until + 0.01
    duty.grant_lease("r:1", {"mark": 2, "staged": 1, "held": 1})
    duty.try_activate()
    assert duty.machine.active == 1  # one that lacks the document holds a lease that was granted just now
    pool.time += constants.SHORT_LEASE_S + constants.LEASE_CLOCK_MARGIN_S + 0.01
    duty.try_activate()
    assert duty.machine.active == 2


@pytest.mark.parametrize("in_force_s", [0.5, 1.0, 2.0, 2.5, 8.0])
def test_no_older_lease_outlasts_the_time_that_the_settings_name(in_force_s):
    bounds = lease_bounds.LeaseBounds(in_force_s)
    assert bounds.older_lease_window_s + constants.SHORT_LEASE_S <= in_force_s
    assert 0 < bounds.long_lease_s <= min(constants.LONG_LEASE_S, in_force_s)
    assert types.SimpleNamespace(**vars(bounds)).in_force_s == in_force_s
