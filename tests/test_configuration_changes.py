"""Changes of the configuration by named items: forms, what results, repeats, races and lost answers."""

import copy
import itertools

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.common.constants as constants
import tests.fronts as fronts
import tests.operators as operators
import tests.platform_site as platform_site

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)


def route(name, host, depot="one", **more):
    return platform_site.route(name, host, depot, **more)


def leader_with_a_configuration():
    """A leader whose newest edition is 5, with one route and one depot."""
    member = operators.Member()
    assert operators.put(member, 0, 5)[0] == 200
    return member


def newest(member):
    return fronts.call(operators.platform_front(member), "GET", "/configuration")[2]


def test_items_are_put_in_place_or_added_and_others_removed():
    member = leader_with_a_configuration()
    first = copy.deepcopy(newest(member))
    change = {
        "deliver": {"itineraries": [route("r-one", "other.example"), route("r-two", "two.example", "two")]}
        | {"depots": [platform_site.depot("two", False)]}
    }
    assert operators.patch(member, 5, 9, change)[0] == 200
    said = newest(member)
    assert said["edition"] == 9 and said["note"] == first["note"]
    assert said["itineraries"] == change["deliver"]["itineraries"]
    assert said["depots"] == [*first["depots"], *change["deliver"]["depots"]]
    assert operators.patch(member, 9, 10, {"withdraw": {"itineraries": ["r-one"], "depots": ["one"]}})[0] == 200
    said = newest(member)
    assert [r["name"] for r in said["itineraries"]] == ["r-two"] and [d["name"] for d in said["depots"]] == ["two"]


def test_the_order_of_what_stays_is_kept():
    member = leader_with_a_configuration()
    rows = [route(f"r{n}", f"h{n}") for n in range(4)]
    assert operators.patch(member, 5, 6, {"deliver": {"itineraries": rows}})[0] == 200
    moved = route("r1", "elsewhere")
    change = {"deliver": {"itineraries": [moved]}, "withdraw": {"itineraries": ["r2"]}}
    assert operators.patch(member, 6, 7, change)[0] == 200
    assert newest(member)["itineraries"][1:] == [rows[0], moved, rows[3]]


def test_what_is_agreed_on_is_the_whole_document():
    member = leader_with_a_configuration()
    assert operators.patch(member, 5, 6, {"deliver": {"itineraries": [route("r2", "h2")]}})[0] == 200
    document = member.machine.docs[6]["doc"]
    assert [r["name"] for r in document["routes"]] == ["r-one", "r2"] and document["as_sent"] == newest(member)


INVALID = {
    "an unknown name to withdraw": {"withdraw": {"itineraries": ["nobody"]}},
    "one of two unknown": {"withdraw": {"itineraries": ["r-one", "nobody"]}},
    "an unknown section to withdraw from": {"withdraw": {"others": ["r-one"]}},
    "delivered and withdrawn at once": {
        "deliver": {"itineraries": [route("r-one", "a")]},
        "withdraw": {"itineraries": ["r-one"]},
    },
    "a new name delivered and withdrawn": {
        "deliver": {"itineraries": [route("new", "a")]},
        "withdraw": {"itineraries": ["new"]},
    },
    "withdrawn twice": {"withdraw": {"itineraries": ["r-one", "r-one"]}},
    "delivered twice": {"deliver": {"itineraries": [route("a", "a"), route("a", "b")]}},
    "a list that is an object": {"deliver": {"itineraries": {"a": route("a", "a")}}},
    "a list that is text": {"deliver": {"itineraries": "a"}},
    "a list that is null": {"deliver": {"itineraries": None}},
    "names that are no list": {"withdraw": {"itineraries": "r-one"}},
    "names that are no text": {"withdraw": {"itineraries": [7]}},
    "deliver is a list": {"deliver": [route("a", "a")]},
    "withdraw is a list": {"withdraw": ["r-one"]},
    "an item that is no object": {"deliver": {"itineraries": ["a"]}},
    "an item without a name": {"deliver": {"itineraries": [{k: v for k, v in route("a", "a").items() if k != "name"}]}},
    "an item whose name is a number": {"deliver": {"itineraries": [route(7, "a")]}},
    "an item whose name is empty": {"deliver": {"itineraries": [route("", "a")]}},
    "an incomplete item": {"deliver": {"itineraries": [{"name": "a"}]}},
    "a route to an unknown depot": {"deliver": {"itineraries": [route("a", "a", "nobody")]}},
    "the depot of a route withdrawn": {
        "deliver": {"depots": [platform_site.depot("two")]},
        "withdraw": {"depots": ["one"]},
    },
    "the last depot withdrawn": {"withdraw": {"depots": ["one"], "itineraries": ["r-one"]}},
    "two routes in one place": {"deliver": {"itineraries": [route("a", "ONE.example")]}},
    "weights that add up to 0": {
        "deliver": {"itineraries": [route("a", "a", dispatch=[{"depot": "one", "share": 0}])]}
    },
    "a deadline of 0": {"deliver": {"itineraries": [route("a", "a", deadline_ms=0)]}},
    "caps are no list of items": {"deliver": {"caps": [{"name": "head_bytes"}]}},
    "a section of another form": {"deliver": {"note": [{"name": "a"}]}},
    "nothing to change": {},
    "empty lists": {"deliver": {"itineraries": []}, "withdraw": {}},
    "a field that is not known": {"withdraw": {"itineraries": ["r-one"]}, "itineraries": []},
}


@pytest.mark.parametrize("name", INVALID)
def test_a_change_that_is_wrong_anywhere_is_turned_away_whole(name):
    member = leader_with_a_configuration()
    before, count = newest(member), len(member.proposed)
    status, headers, body = operators.patch(member, 5, 6, copy.deepcopy(INVALID[name]))
    assert 400 <= status < 500 and status not in (408, 412, 429) and body["error"]["message"]
    assert newest(member) == before and len(member.proposed) == count
    assert operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 200  # its number is not used


@pytest.mark.parametrize("edition", [5, 4, 0, -1, True, None, "6", 6.5, [6], 2**53, 10**400])
def test_the_edition_of_a_change_must_rise(edition):
    member = leader_with_a_configuration()
    assert 400 <= operators.patch(member, 5, edition, {"withdraw": {"itineraries": ["r-one"]}})[0] < 500
    assert newest(member)["edition"] == 5


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"7", b"null", b"[" * 100000, b'{"edition": NaN}'], ids=repr)
def test_what_is_no_change_is_turned_away(data):
    member = leader_with_a_configuration()
    front = operators.platform_front(member)
    assert fronts.call(front, "PATCH", "/configuration", data, {"If-Match": "5"})[0] == 400
    assert newest(member)["edition"] == 5


def test_a_change_on_a_base_that_is_not_in_place_is_412_even_if_it_would_not_fit():
    member = leader_with_a_configuration()
    for base in (0, 4, 6, 99):
        assert operators.patch(member, base, 100, {"withdraw": {"itineraries": ["nobody"]}})[0] == 412
        assert operators.patch(member, base, 100, {"withdraw": {"itineraries": ["r-one"]}})[0] == 412
    assert newest(member)["edition"] == 5


def test_a_first_configuration_may_come_as_a_change():
    member = operators.Member()
    change = {"deliver": {"depots": [platform_site.depot("one")], "itineraries": [route("a", "a")]}}
    assert operators.patch(member, 0, 3, change)[0] == 200 and newest(member)["itineraries"] == [route("a", "a")]


def test_a_change_that_would_make_the_document_too_large_is_turned_away(monkeypatch):
    member = leader_with_a_configuration()
    monkeypatch.setattr(constants, "BODY_MOST", 6000)
    rows = [route(f"r{n}", f"h{n}") for n in range(40)]
    taken = [
        operators.patch(member, 5 + n, 6 + n, {"deliver": {"itineraries": [row]}})[0] for n, row in enumerate(rows)
    ]
    assert taken[0] == 200 and set(taken) == {200, 400, 412} and newest(member)["edition"] == 5 + taken.count(200)


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

    member.confirm = confirm
    member.gates.clear()
    assert operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 504
    waited = [span for gate in member.gates for span in gate.waited]
    assert waited == [constants.OPERATOR_WAIT, pytest.approx(constants.OPERATOR_WAIT - 0.3)]


@STEADY
@hypothesis.given(
    strategies.lists(
        strategies.tuples(
            strategies.sampled_from(["at once", "late", "lost", "unsure", "stuck", "come"]),
            strategies.integers(0, 7),
        ),
        max_size=30,
    )
)
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
