"""How long a new leader waits for leases of earlier leaders: less the time that votes are withheld, never too short."""

import itertools

import pytest

import mothshed.constants as constants
import mothshed.control_plane.election as election
import tests.group_model as group_model


def run_with_leases(group, seconds, without=()):
    """Runs all members but these and delivers in order, with a lease request on every step."""
    for _ in range(round(seconds / 0.02)):
        group.pool.time += 0.02
        for name in sorted(group.members):
            if name not in without:
                group.tick(name)
                group.ask_lease(name)
        for _ in range(len(group.pool.waiting)):
            if group.pool.waiting:
                group.deliver(0)
                group.check()


def leader_of(group):
    return next(n for n, member in group.members.items() if n not in group.down and member.is_leader and member.ready)


def transfer_from_leader(group):
    """Requests leases from a leader, which then transfers leadership while they are still valid."""
    former = leader_of(group)
    run_with_leases(group, 0.3)
    group.members[former].transfer_leadership()
    run_with_leases(group, 0.3)
    return group.members[former]


def lose_leader(size, lost):
    """Loses a leader while leases are requested from it; returns the next leader and the last lease's time."""
    group = group_model.Group(size, 1)
    group.converge()
    former = leader_of(group)
    run_with_leases(group, 0.3 + 0.02 * lost)
    granted = max(requested_at for _term, requested_at in group.leases)
    group.crash(former)
    run_with_leases(group, 3.0, (former,))
    return group.members[leader_of(group)], granted


@pytest.mark.parametrize("size, lost", list(itertools.product([3, 5], range(6))))
def test_leases_of_a_lost_leader_have_expired_when_the_next_leader_activates(size, lost):
    leader, granted = lose_leader(size, lost)
    end = leader.former_leases_end(constants.LONG_LEASE_S)
    assert granted + constants.LONG_LEASE_S <= end
    assert (
        end - leader.elected_at < constants.LONG_LEASE_S - 0.5
    )  # the time that votes were withheld is not waited for again


def test_the_full_lease_time_is_waited_for_after_a_leadership_transfer():
    group = group_model.Group(3, 1)
    group.converge()
    former = transfer_from_leader(group)
    successor = group.members[leader_of(group)]
    assert successor.member_id != former.member_id and successor.by_transfer
    assert successor.former_leases_end(constants.LONG_LEASE_S) >= successor.elected_at + constants.LONG_LEASE_S


def wait_shortened_by(subtracted_s):
    """A former_leases_end that subtracts this many seconds however the leader was elected."""
    return lambda self, lease_s: self.elected_at + lease_s - subtracted_s + constants.LEASE_CLOCK_MARGIN_S


def test_the_check_detects_a_shortened_wait_after_a_leadership_transfer(monkeypatch):
    monkeypatch.setattr(election.Election, "former_leases_end", wait_shortened_by(constants.VOTE_WITHHOLD_S))
    group = group_model.Group(3, 1)
    group.converge()
    with pytest.raises(AssertionError, match="^a lease of term"):
        transfer_from_leader(group)


@pytest.mark.parametrize("size", [3, 5])
def test_the_check_detects_a_wait_shortened_by_more_than_votes_are_withheld(monkeypatch, size):
    monkeypatch.setattr(election.Election, "former_leases_end", wait_shortened_by(2 * constants.VOTE_WITHHOLD_S))
    with pytest.raises(AssertionError, match="^a lease of term"):
        lose_leader(size, 0)


def run_cut_off(group, former, cut_off, seconds):
    """Runs the leader with lease requests while these members receive nothing."""
    addresses = {group.address(name) for name in cut_off}
    for _ in range(round(seconds / 0.02)):
        group.pool.time += 0.02
        group.tick(former)
        group.ask_lease(former)
        for _ in range(len(group.pool.waiting)):
            if group.pool.waiting:
                if group.pool.waiting[0][0] in addresses:
                    group.pool.waiting.pop(0)
                else:
                    group.deliver(0)
                    group.check()


def elect_with_the_former_leader():
    """Of five members, the two that echoed the leader last crash; the leader and the other two elect a leader."""
    group = group_model.Group(5, 2)
    group.converge()
    former = leader_of(group)
    others = [name for name in sorted(group.members) if name != former]
    cut_off, lost = others[:2], others[2:]
    run_with_leases(group, 0.5)
    run_cut_off(group, former, cut_off, 0.8)
    for name in lost:
        group.crash(name)
    run_cut_off(group, former, cut_off, 0.8)
    assert not group.members[former].is_leader
    run_with_leases(group, 2.0, tuple(lost))
    return group


def test_leases_of_a_former_leader_that_votes_have_expired_too():
    group = elect_with_the_former_leader()
    assert group.leases and leader_of(group)
