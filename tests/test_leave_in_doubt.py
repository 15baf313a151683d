"""A stopping voter may leave only when the leader knows which members could replace it."""

import pytest

import mothshed.constants as constants
import tests.group_model as group_model


@pytest.fixture
def group():
    new_group = group_model.Group(3, 1)
    new_group.converge()
    return new_group


def leader_of(group):
    return next(member for member in group.members.values() if member.is_leader)


def leave_responses(group):
    """The leader's responses to a follower that asks to leave: whether it may stop now."""
    leader = leader_of(group)
    leaver = next(member for member in group.members.values() if not member.is_leader)
    group.pool.waiting.clear()
    leader.on_leave(leaver.address, {"who": leaver.member_id})
    return [body["finished"] for _goal, _sender, kind, body in group.pool.waiting if kind == "leave_say"]


def test_an_established_leader_lets_a_voter_stop_that_no_member_can_replace(group):
    group.pool.time += constants.JOIN_COLLECTION_S
    assert leave_responses(group) == [True]  # it stays a voter while it restarts


def test_a_leader_without_a_committed_entry_lets_no_voter_stop(group):
    group.pool.time += constants.JOIN_COLLECTION_S
    leader_of(group).ready = False
    assert leave_responses(group) == [False]


def test_a_new_leader_waits_for_join_requests_before_a_voter_may_stop(group):
    """New members ask to join every JOIN_REQUEST_INTERVAL_S; before that, an empty list of learners proves nothing."""
    leader = leader_of(group)
    leader.elected_at = group.pool.time - constants.JOIN_REQUEST_INTERVAL_S / 2
    assert leave_responses(group) == [False]
    leader.elected_at = group.pool.time - constants.JOIN_COLLECTION_S
    assert leave_responses(group) == [True]


def test_a_voter_waits_for_its_replacement_in_progress(group):
    group.pool.time += constants.JOIN_COLLECTION_S
    leader_of(group).learners["N/1"] = {"address": "n:1", "http": "", "at": group.pool.time}
    assert leave_responses(group) == [False]
