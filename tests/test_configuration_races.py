"""Changes of the configuration by named items: repeats, races and lost answers, in all orders."""

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
    """Three orders of three operators on edition 5, by what sends them."""
    return {
        "put": lambda member: operators.put(member, 5, 6, "whole")[0],
        "add": lambda member: operators.patch(member, 5, 7, {"deliver": {"itineraries": [route("a", "a")]}})[0],
        "remove": lambda member: operators.patch(member, 5, 8, {"withdraw": {"itineraries": ["r-one"]}})[0],
    }


def test_of_orders_on_one_base_one_wins_in_any_order_and_its_repeats_are_acknowledged():
    sends, winners = orders_on_one_base(), set()
    for order in set(itertools.permutations([*sends, *sends])):
        member = leader_with_a_configuration()
        said = [(name, sends[name](member)) for name in order]
        assert all(status == (200 if name == order[0] else 412) for name, status in said)
        winners.add((order[0], newest(member)["edition"]))
    assert winners == {("put", 6), ("add", 7), ("remove", 8)}


def test_of_orders_that_are_under_way_at_once_one_wins_in_any_order():
    """All three have read edition 5 before the first is committed; commits come in any order of the log."""
    for order in itertools.permutations(orders_on_one_base()):
        member = leader_with_a_configuration()
        member.commits = "late"
        sends = orders_on_one_base()
        assert [sends[name](member) for name in order] == [504] * 3
        for commit in member.waiting:
            commit()
        member.commits = "at once"
        assert [sends[name](member) for name in order] == [200, 412, 412]


def test_a_change_sent_again_after_newer_ones_is_acknowledged_and_changes_nothing():
    member = leader_with_a_configuration()
    change = {"deliver": {"itineraries": [route("a", "a")]}}
    assert operators.patch(member, 5, 6, change)[0] == 200
    assert operators.patch(member, 6, 7, {"withdraw": {"itineraries": ["a"]}})[0] == 200
    assert operators.put(member, 7, 9, "newer")[0] == 200
    before = newest(member)
    assert operators.patch(member, 5, 6, change)[0] == 200 and newest(member) == before
    assert operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 412


def test_a_put_and_a_change_of_the_same_words_are_two_orders():
    member = operators.Member()
    body = {"edition": 1, "deliver": {"depots": [platform_site.depot("one")], "itineraries": []}}
    front, headers = operators.platform_front(member), {"If-Match": "0"}
    assert fronts.call(front, "PATCH", "/configuration", body, headers)[0] == 200
    assert fronts.call(front, "PUT", "/configuration", body, headers)[0] == 400


@pytest.mark.parametrize("way", ["unsure", "stuck", "lost"])
def test_a_change_without_a_clear_end_is_neither_acknowledged_nor_refused(way):
    member = leader_with_a_configuration()
    member.confirmed, member.mailbox_stuck = way != "unsure", way == "stuck"
    member.commits = "lost" if way == "lost" else "at once"
    change = {"withdraw": {"itineraries": ["r-one"]}}
    assert operators.patch(member, 5, 6, change)[0] == (504 if way == "lost" else 503)
    member.confirmed, member.mailbox_stuck, member.commits = True, False, "at once"
    member.work()
    assert newest(member)["edition"] == 5 and operators.patch(member, 5, 6, change)[0] == 200


def test_both_steps_of_a_change_share_one_span_of_waiting():
    member = leader_with_a_configuration()
    member.commits = "late"

    def confirm(call):
        member.time += 0.3
        call(True)

    member.confirm_leadership = confirm
    member.events.clear()
    assert operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 504
    waited = [span for event in member.events for span in event.waited]
    assert waited == [constants.OPERATOR_CALL_TIMEOUT_S, pytest.approx(constants.OPERATOR_CALL_TIMEOUT_S - 0.3)]


@STEADY
@hypothesis.given(operators.ACTS)
def test_no_taken_change_is_refused_and_no_number_is_acknowledged_twice(acts):
    """Whole documents and changes on rising bases, sent and sent again while majority and commits come and go."""
    member = operators.Member()
    assert operators.put(member, 0, 1)[0] == 200
    orders = [(base, base + 1, kind) for base in (1, 2, 3, 4) for kind in ("put", "patch")]
    acknowledged = {}
    for way, at in acts + [("come", 0)] + [("at once", n) for n in range(8)]:
        if way == "come":
            waiting, member.waiting = member.waiting, []
            for call in waiting:
                call()
            continue
        member.confirmed, member.mailbox_stuck = way != "unsure", way == "stuck"
        member.commits = way if way in ("late", "lost") else "at once"
        base, edition, kind = orders[at]
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
