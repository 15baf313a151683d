"""How long a new leader waits for its predecessors' leases: shorter by the votes' hold, never too short."""

import itertools

import pytest

import mothshed.common.constants as constants
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
    end = leader.former_leases_end(constants.LEASE_LONG)
    assert granted + constants.LEASE_LONG <= end
    assert end - leader.won_at < constants.LEASE_LONG - 0.5  # the votes' hold is not waited for twice


def test_after_a_hand_over_the_whole_lease_is_waited_for():
    group = group_model.Group(3, 1)
    group.rest()
    former = leader_of(group)
    settle(group, 0.3)
    group.seats[former].hand_over()
    settle(group, 0.3)
    successor = group.seats[leader_of(group)]
    assert successor.who != group.seats[former].who and successor.handed
    assert successor.former_leases_end(constants.LEASE_LONG) >= successor.won_at + constants.LEASE_LONG
