"""A voter that is to stop is told that it may go only by a leader that knows who could take its place."""

import pytest

import mothshed.constants as constants
import tests.group_model as group_model


@pytest.fixture
def group():
    found = group_model.Group(3, 1)
    found.rest()
    return found


def leader_of(group):
    return next(seat for seat in group.seats.values() if seat.is_leader)


def asked_to_leave(group):
    """What the leader answers a follower that says it leaves: whether it may go now."""
    leader = leader_of(group)
    leaver = next(seat for seat in group.seats.values() if not seat.is_leader)
    group.pool.waiting.clear()
    leader.on_leave(leaver.address, {"who": leaver.member_id})
    return [body["finished"] for _goal, _sender, kind, body in group.pool.waiting if kind == "leave_say"]


def test_a_settled_leader_lets_a_voter_go_that_nobody_can_replace(group):
    group.pool.time += constants.JOIN_COLLECTION_S
    assert asked_to_leave(group) == [True]  # it restarts, and keeps its place meanwhile


def test_a_leader_that_has_committed_nothing_yet_lets_nobody_go(group):
    group.pool.time += constants.JOIN_COLLECTION_S
    leader_of(group).ready = False
    assert asked_to_leave(group) == [False]


def test_a_leader_just_elected_waits_until_newcomers_have_asked_it(group):
    """A newcomer asks to join every JOIN_REQUEST_INTERVAL_S: before that, a leader without learners knows nothing."""
    leader = leader_of(group)
    leader.elected_at = group.pool.time - constants.JOIN_REQUEST_INTERVAL_S / 2
    assert asked_to_leave(group) == [False]
    leader.elected_at = group.pool.time - constants.JOIN_COLLECTION_S
    assert asked_to_leave(group) == [True]


def test_a_replacement_that_is_under_way_is_waited_for(group):
    group.pool.time += constants.JOIN_COLLECTION_S
    leader_of(group).learners["N/1"] = {"address": "n:1", "http": "", "at": group.pool.time}
    assert asked_to_leave(group) == [False]
