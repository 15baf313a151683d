"""Orders to replicas: those of two leaders are a tenure apart and fencing tokens only rise, whoever is frozen when."""

import itertools

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import tests.order_group as order_group

STEADY = hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)


class Sender:
    """One send of an order in steps: first check, connection, last check and write."""

    def __init__(self, group, member_id):
        self.group, self.member_id, self.task = group, member_id, group.leader_tasks[member_id]
        self.fencing_token = self.task.fencing_token
        self.passed = bool(self.task.may_send(self.fencing_token))

    def write(self):
        if self.passed and self.task.may_send(self.fencing_token):
            self.group.arrived.append((self.group.pool.time, self.member_id, self.fencing_token))


ACTIONS = ["take over", "take over", "order", "order", "wait", "wait", "wait", "send", "write", "freeze", "thaw"]


@pytest.mark.parametrize("tenure", [0.5, 3.0, 7.5])
@STEADY
@hypothesis.given(
    actions=strategies.lists(
        strategies.tuples(strategies.sampled_from(ACTIONS), strategies.sampled_from("ABC"), strategies.integers(0, 3)),
        min_size=20,
        max_size=40,
    )
)
def test_orders_of_two_leaders_are_a_tenure_apart_and_fencing_tokens_only_rise(tenure, actions):
    """All members that aren't frozen try to send orders, so that most examples have several leaders."""
    group, sends = order_group.Group(tenure), []
    for action, member_id, choice in actions:
        awake = [name for name in "ABC" if name not in group.frozen]
        if action == "take over":
            group.pool.time += constants.VOTE_WITHHOLD_S
            group.lead(member_id)
        elif action == "freeze" and group.leader:
            group.freeze(group.leader)
        elif action == "thaw":
            group.frozen.clear()
        elif action == "order":
            for name in awake:
                Sender(group, name).write()
        elif action == "send":
            sends += [Sender(group, name) for name in awake]
        elif action == "write":
            for send in [s for s in sends if s.member_id in awake]:
                sends.remove(send)
                send.write()
        elif action == "wait":
            order_group.advance_time(group, (0.1, 1.0, tenure + constants.ORDER_DELIVERY_MARGIN_S + 0.01, 20.0)[choice])
    for (at, member_id, fence), (later, other, higher) in itertools.pairwise(group.arrived):
        assert higher > fence or (higher == fence and member_id == other)
        assert member_id == other or later - at >= tenure


@pytest.mark.parametrize("tenure, gap", [(None, constants.FIRST_ORDER_DELAY_S), (1.0, 1.2), (3.0, 3.2), (12.0, 12.2)])
def test_a_new_leader_waits_as_long_as_its_deployment_sets(tenure, gap):
    group = order_group.Group(tenure)
    group.lead("A")
    for span, allowed in ((gap - 0.01, False), (0.02, True)):
        group.pool.time += span
        group.members["A"].renew()
        assert bool(group.leader_tasks["A"].may_send(1)) == allowed
