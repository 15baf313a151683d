"""How long a new leader waits for its predecessors' leases: shorter by the votes' hold, never too short."""

import itertools

import pytest

import mothshed.constants as constants
import mothshed.control_plane.election as election
import tests.group_model as group_model


def settle(group, seconds, without=()):
    """All members but these run and are heard, in order; a lease is asked for on every step."""
    for _ in range(round(seconds / 0.02)):
        group.pool.time += 0.02
        for name in sorted(group.seats):
            if name not in without:
                group.tick(name)
                group.ask_lease(name)
        for _ in range(len(group.pool.waiting)):
            if group.pool.waiting:
                group.deliver(0)
                group.check()


def leader_of(group):
    return next(n for n, seat in group.seats.items() if n not in group.down and seat.is_leader and seat.ready)


def transfer_leadership(group):
    """Leases are asked of a leader, which then names its successor; they run on."""
    former = leader_of(group)
    settle(group, 0.3)
    group.seats[former].transfer_leadership()
    settle(group, 0.3)
    return group.seats[former]


def one_loss(size, lost):
    """A group whose leader is lost while leases are asked of it; its next leader."""
    group = group_model.Group(size, 1)
    group.rest()
    former = leader_of(group)
    settle(group, 0.3 + 0.02 * lost)
    granted = max(asked for _term, asked in group.leases)
    group.crash(former)
    settle(group, 3.0, (former,))
    return group.seats[leader_of(group)], granted


@pytest.mark.parametrize("size, lost", list(itertools.product([3, 5], range(6))))
def test_after_a_leader_is_lost_its_leases_have_run_out_when_the_next_one_activates(size, lost):
    leader, granted = one_loss(size, lost)
    end = leader.former_leases_end(constants.LONG_LEASE_S)
    assert granted + constants.LONG_LEASE_S <= end
    assert end - leader.elected_at < constants.LONG_LEASE_S - 0.5  # the votes' hold is not waited for twice


def test_after_a_hand_over_the_whole_lease_is_waited_for():
    group = group_model.Group(3, 1)
    group.rest()
    former = transfer_leadership(group)
    successor = group.seats[leader_of(group)]
    assert successor.member_id != former.member_id and successor.by_transfer
    assert successor.former_leases_end(constants.LONG_LEASE_S) >= successor.elected_at + constants.LONG_LEASE_S


def wait_without(held):
    """A wait for former leases from which this many seconds are taken off, however the leader was elected."""
    return lambda self, lease_s: self.elected_at + lease_s - held + constants.LEASE_CLOCK_MARGIN_S


def test_the_check_finds_a_wait_that_is_as_short_after_a_hand_over(monkeypatch):
    monkeypatch.setattr(election.Election, "former_leases_end", wait_without(constants.VOTE_WITHHOLD_S))
    group = group_model.Group(3, 1)
    group.rest()
    with pytest.raises(AssertionError, match="^a lease of term"):
        transfer_leadership(group)


@pytest.mark.parametrize("size", [3, 5])
def test_the_check_finds_a_wait_that_takes_off_more_than_the_votes_hold(monkeypatch, size):
    monkeypatch.setattr(election.Election, "former_leases_end", wait_without(2 * constants.VOTE_WITHHOLD_S))
    with pytest.raises(AssertionError, match="^a lease of term"):
        one_loss(size, 0)


def run_cut_off(group, former, cut_off, seconds):
    """The leader runs and is asked for leases; these members hear nothing."""
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
    """Of five, the former leader and two that it did not reach elect; the two that echoed it last are lost."""
    group = group_model.Group(5, 2)
    group.rest()
    former = leader_of(group)
    others = [name for name in sorted(group.seats) if name != former]
    cut_off, lost = others[:2], others[2:]
    settle(group, 0.5)
    run_cut_off(group, former, cut_off, 0.8)
    for name in lost:
        group.crash(name)
    run_cut_off(group, former, cut_off, 0.8)
    assert not group.seats[former].is_leader
    settle(group, 2.0, tuple(lost))
    return group


def test_leases_of_a_former_leader_that_votes_have_run_out_as_well():
    group = elect_with_the_former_leader()
    assert group.leases and leader_of(group)
