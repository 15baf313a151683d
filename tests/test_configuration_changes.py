"""Changes of the configuration by named items: valid and invalid forms, and the resulting documents."""

import copy

import pytest

import mothshed.constants as constants
import tests.fronts as fronts
import tests.operators as operators
import tests.platform_site as platform_site


def route(name, host, depot="one", **more):
    return platform_site.route(name, host, depot, **more)


def leader_with_a_configuration():
    """A leader whose newest edition is 5, with one route and one depot."""
    member = operators.FakeLeader()
    assert operators.put(member, 0, 5)[0] == 200
    return member


def newest(member):
    return fronts.call(operators.platform_front(member), "GET", "/configuration")[2]


def test_items_are_replaced_added_and_removed():
    member = leader_with_a_configuration()
    first = copy.deepcopy(newest(member))
    change = {
        "deliver": {"itineraries": [route("r-one", "other.example"), route("r-two", "two.example", "two")]}
        | {"depots": [platform_site.depot("two", False)]}
    }
    assert operators.patch(member, 5, 9, change)[0] == 200
    document = newest(member)
    assert document["edition"] == 9 and document["note"] == first["note"]
    assert document["itineraries"] == change["deliver"]["itineraries"]
    assert document["depots"] == [*first["depots"], *change["deliver"]["depots"]]
    assert operators.patch(member, 9, 10, {"withdraw": {"itineraries": ["r-one"], "depots": ["one"]}})[0] == 200
    document = newest(member)
    assert [r["name"] for r in document["itineraries"]] == ["r-two"] and [d["name"] for d in document["depots"]] == [
        "two"
    ]


def test_order_of_remaining_items_is_preserved():
    member = leader_with_a_configuration()
    rows = [route(f"r{n}", f"h{n}") for n in range(4)]
    assert operators.patch(member, 5, 6, {"deliver": {"itineraries": rows}})[0] == 200
    moved = route("r1", "elsewhere")
    change = {"deliver": {"itineraries": [moved]}, "withdraw": {"itineraries": ["r2"]}}
    assert operators.patch(member, 6, 7, change)[0] == 200
    assert newest(member)["itineraries"][1:] == [rows[0], moved, rows[3]]


def test_replicated_entry_contains_the_whole_document():
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
def test_invalid_change_is_rejected_completely(name):
    member = leader_with_a_configuration()
    before, count = newest(member), len(member.proposed)
    status, headers, body = operators.patch(member, 5, 6, copy.deepcopy(INVALID[name]))
    assert 400 <= status < 500 and status not in (408, 412, 429) and body["error"]["message"]
    assert newest(member) == before and len(member.proposed) == count
    assert (
        operators.patch(member, 5, 6, {"withdraw": {"itineraries": ["r-one"]}})[0] == 200
    )  # the edition is still unused


@pytest.mark.parametrize("edition", [5, 4, 0, -1, True, None, "6", 6.5, [6], 2**53, 10**400])
def test_edition_of_a_change_must_increase(edition):
    member = leader_with_a_configuration()
    assert 400 <= operators.patch(member, 5, edition, {"withdraw": {"itineraries": ["r-one"]}})[0] < 500
    assert newest(member)["edition"] == 5


@pytest.mark.parametrize("data", [b"", b"{", b"[]", b"7", b"null", b"[" * 100000, b'{"edition": NaN}'], ids=repr)
def test_malformed_change_is_rejected(data):
    member = leader_with_a_configuration()
    front = operators.platform_front(member)
    assert fronts.call(front, "PATCH", "/configuration", data, {"If-Match": "5"})[0] == 400
    assert newest(member)["edition"] == 5


def test_change_on_another_base_is_412_even_if_it_is_inapplicable():
    member = leader_with_a_configuration()
    for base in (0, 4, 6, 99):
        assert operators.patch(member, base, 100, {"withdraw": {"itineraries": ["nobody"]}})[0] == 412
        assert operators.patch(member, base, 100, {"withdraw": {"itineraries": ["r-one"]}})[0] == 412
    assert newest(member)["edition"] == 5


def test_first_configuration_may_be_a_change():
    member = operators.FakeLeader()
    change = {"deliver": {"depots": [platform_site.depot("one")], "itineraries": [route("a", "a")]}}
    assert operators.patch(member, 0, 3, change)[0] == 200 and newest(member)["itineraries"] == [route("a", "a")]


def test_change_that_makes_the_document_too_large_is_rejected(monkeypatch):
    member = leader_with_a_configuration()
    monkeypatch.setattr(constants, "MAX_BODY_BYTES", 6000)
    rows = [route(f"r{n}", f"h{n}") for n in range(40)]
    statuses = [
        operators.patch(member, 5 + n, 6 + n, {"deliver": {"itineraries": [row]}})[0] for n, row in enumerate(rows)
    ]
    assert (
        statuses[0] == 200 and set(statuses) == {200, 400, 412} and newest(member)["edition"] == 5 + statuses.count(200)
    )
