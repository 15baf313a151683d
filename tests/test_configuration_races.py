"""Changes of the configuration by named items: repeats, races and lost responses, in all orders."""

import itertools

import hypothesis
import pytest

import mothshed.constants as constants
import tests.fronts as fronts
import tests.operators as operators
import tests.platform_site as platform_site
import tests.test_configuration_changes as changes

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)
leader_with_a_configuration, newest, route = changes.leader_with_a_configuration, changes.newest, changes.route


def orders_on_one_base():
    """Three orders of three operators on edition 5: name -> function that sends it."""
    return {
        "put": lambda member: operators.put(member, 5, 6, "whole")[0],
        "add": lambda member: operators.patch(member, 5, 7, {"deliver": {"itineraries": [route("a", "a")]}})[0],
        "remove": lambda member: operators.patch(member, 5, 8, {"withdraw": {"itineraries": ["r-one"]}})[0],
    }


def test_one_of_several_orders_on_a_base_wins_and_its_repeats_succeed():
    sends, winners = orders_on_one_base(), set()
    for order in set(itertools.permutations([*sends, *sends])):
        member = leader_with_a_configuration()
        responses = [(name, sends[name](member)) for name in order]
        assert all(status == (200 if name == order[0] else 412) for name, status in responses)
        winners.add((order[0], newest(member)["edition"]))
    assert winners == {("put", 6), ("add", 7), ("remove", 8)}


def test_one_of_several_concurrent_orders_wins():
    """All three read edition 5 before the first is committed; the entries are in any order in the log."""
    for order in itertools.permutations(orders_on_one_base()):
        member = leader_with_a_configuration()
        member.commits = "delayed"
        sends = orders_on_one_base()
        assert [sends[name](member) for name in order] == [504] * 3
        for commit in member.pending_commits:
            commit()
        member.commits = "immediate"
        assert [sends[name](member) for name in order] == [200, 412, 412]


def test_repeated_change_after_newer_ones_is_acknowledged_without_effect():
    member = leader_with_a_configuration()
    change = {"deliver": {"itineraries": [route("a", "a")]}}
    assert operators.patch(member, 5, 6, change)[0] == 200
    assert operators.patch(member, 6, 7, {"withdraw": {"itineraries": ["a"]}})[0] == 200
    assert operators.put(member, 7, 9, "newer")[0] == 200
    before = newest(member)
    assert operators.patch(member, 5, 6, change)[0] == 200 and newest(member) == before
    assert operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 412


def test_put_and_patch_with_the_same_body_are_different_orders():
    member = operators.FakeLeader()
    body = {"edition": 1, "deliver": {"depots": [platform_site.depot("one")], "itineraries": []}}
    front, headers = operators.platform_front(member), {"If-Match": "0"}
    assert fronts.call(front, "PATCH", "/configuration", body, headers)[0] == 200
    assert fronts.call(front, "PUT", "/configuration", body, headers)[0] == 400


@pytest.mark.parametrize("outcome", ["no majority", "mailbox blocked", "lost"])
def test_change_with_unknown_outcome_is_neither_acknowledged_nor_rejected(outcome):
    member = leader_with_a_configuration()
    member.confirmed, member.mailbox_blocked = outcome != "no majority", outcome == "mailbox blocked"
    member.commits = "lost" if outcome == "lost" else "immediate"
    change = {"withdraw": {"itineraries": ["r-one"]}}
    assert operators.patch(member, 5, 6, change)[0] == (504 if outcome == "lost" else 503)
    member.confirmed, member.mailbox_blocked, member.commits = True, False, "immediate"
    member.run_mailbox()
    assert newest(member)["edition"] == 5 and operators.patch(member, 5, 6, change)[0] == 200


def test_both_steps_of_a_change_share_one_timeout():
    member = leader_with_a_configuration()
    member.commits = "delayed"

    def confirm(call):
        member.time += 0.3
        call(True)

    member.confirm_leadership = confirm
    member.events.clear()
    assert operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 504
    timeouts = [timeout_s for event in member.events for timeout_s in event.timeouts]
    assert timeouts == [constants.OPERATOR_CALL_TIMEOUT_S, pytest.approx(constants.OPERATOR_CALL_TIMEOUT_S - 0.3)]


@STEADY
@hypothesis.given(operators.OPERATIONS)
def test_accepted_changes_are_never_rejected_and_editions_never_reused(operations):
    """Documents and changes on increasing bases, sent repeatedly while majority and commits fail and recover."""
    member = operators.FakeLeader()
    assert operators.put(member, 0, 1)[0] == 200
    orders = [(base, base + 1, kind) for base in (1, 2, 3, 4) for kind in ("put", "patch")]
    acknowledged = {}
    for outcome, index in operations + [("deliver commits", 0)] + [("immediate", n) for n in range(8)]:
        if outcome == "deliver commits":
            waiting, member.pending_commits = member.pending_commits, []
            for call in waiting:
                call()
            continue
        member.confirmed, member.mailbox_blocked = outcome != "no majority", outcome == "mailbox blocked"
        member.commits = outcome if outcome in ("delayed", "lost") else "immediate"
        base, edition, kind = orders[index]
        if kind == "put":
            status = operators.put(member, base, edition, "whole")[0]
        else:
            item = route(f"r{edition}", f"h{edition}")
            status = operators.patch(member, base, edition, {"deliver": {"itineraries": [item]}})[0]
        assert status in (200, 400, 412, 503, 504)
        if status == 200:
            assert acknowledged.setdefault(edition, kind) == kind
    for edition, kind in acknowledged.items():
        names = [r["name"] for r in member.machine.docs[edition]["doc"]["routes"]]
        assert (f"r{edition}" in names) == (kind == "patch")
