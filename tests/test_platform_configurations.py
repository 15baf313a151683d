"""Which configurations the operator's API accepts and which it rejects as a whole."""

import copy
import json

import pytest

import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site

nodes, base = platform_nodes.nodes, platform_nodes.base


def route_with(**change):
    return {**platform_site.route("r-one", "one.example", "one"), **change}


def two_routes(**change):
    return [route_with(), route_with(name="r-two", host="two.example") | change]


def sender(name, *permits, **more):
    return {"name": name, "permits": list(permits), **more}


def without(word, at):
    found = platform_nodes.document(0)
    (found if at is None else found[at][0]).pop(word)
    return found


INVALID = {
    "unknown depot": platform_nodes.document(0, route_with(depot="nobody")),
    "one of two depots unknown": platform_nodes.document(
        0, route_with(dispatch=[{"depot": "one", "share": 1}, {"depot": "nobody", "share": 1}])
    ),
    "an unknown depot without weight": platform_nodes.document(
        0, route_with(dispatch=[{"depot": "one", "share": 1}, {"depot": "nobody", "share": 0}])
    ),
    "weights add up to 0": platform_nodes.document(
        0, route_with(dispatch=[{"depot": "one", "share": 0}, {"depot": "one", "share": 0}])
    ),
    "a weight below 0": platform_nodes.document(
        0, route_with(dispatch=[{"depot": "one", "share": -1}, {"depot": "one", "share": 2}])
    ),
    "deadline 0": platform_nodes.document(0, route_with(deadline_ms=0)),
    "deadline below 0": platform_nodes.document(0, route_with(deadline_ms=-5)),
    "deadline as text": platform_nodes.document(0, route_with(deadline_ms="8000")),
    "two routes in one place": platform_nodes.document(0, *two_routes(host="one.example")),
    "two routes in one place, in other letters": platform_nodes.document(0, *two_routes(host="ONE.example")),
    "the last of many is wrong": platform_nodes.document(
        0, *[platform_site.route(f"r{n}", f"h{n}", "one") for n in range(60)], route_with(deadline_ms=0)
    ),
    "two depots of one name": platform_nodes.document(0, depots=[platform_site.depot("one")] * 2),
    "depots are no list": platform_nodes.document(0, depots={"one": 1}),
    "routes are no list": {**platform_nodes.document(0), "itineraries": "r-one"},
    "a route is no object": {**platform_nodes.document(0), "itineraries": [7]},
    "no routes at all": without("itineraries", None),
    "no depots": without("depots", None),
    "no edition": without("edition", None),
    "a route without its place": without("host", "itineraries"),
    "without a prefix": without("prefix", "itineraries"),
    "without a deadline": without("deadline_ms", "itineraries"),
    "without a depot": without("depot", "itineraries"),
    "two senders that share a key": platform_nodes.document(
        0, senders=[sender("a", "k1", "k2"), sender("b", "k3", "k2")]
    ),
    "two senders of one name": platform_nodes.document(0, senders=[sender("a", "k1"), sender("a", "k2")]),
    "a sender without a name": platform_nodes.document(0, senders=[{"permits": ["k1"]}]),
    "a sender without permits": platform_nodes.document(0, senders=[{"name": "a"}]),
    "senders are no list": platform_nodes.document(0, senders={"a": ["k1"]}),
    "permits are no list": platform_nodes.document(0, senders=[{"name": "a", "permits": "k1"}]),
    "a permit is no text": platform_nodes.document(0, senders=[{"name": "a", "permits": [7]}]),
    "a rate below 0": platform_nodes.document(0, senders=[sender("a", "k1", rate_per_s=-1)]),
    "a rate as text": platform_nodes.document(0, senders=[sender("a", "k1", rate_per_s="5")]),
    "a surge below 0": platform_nodes.document(0, senders=[sender("a", "k1", rate_per_s=1, surge=-1)]),
}


@pytest.mark.parametrize("name", INVALID)
def test_an_invalid_configuration_is_rejected_as_a_whole(nodes, base, name):
    sent = copy.deepcopy(INVALID[name])
    if "edition" in sent:
        sent["edition"] = base + 1
    before = nodes.get()
    assert 400 <= nodes.put(sent, base).status < 500 and nodes.get() == before


VALID = {
    "no routes": {**platform_nodes.document(0), "itineraries": []},
    "no caps": without("caps", None),
    "caps without fields": platform_nodes.document(0, caps={}),
    "one of several weights is 0": platform_nodes.document(
        0, route_with(dispatch=[{"depot": "one", "share": 0}, {"depot": "one", "share": 1}])
    ),
    "no aim and no pause": platform_nodes.document(
        0, {k: v for k, v in route_with().items() if k not in ("target_ms", "headway_ms")}
    ),
    "the shortest and the longest": platform_nodes.document(
        0, *two_routes(deadline_ms=1), route_with(host="three", name="r3", deadline_ms=600000, tries=9)
    ),
    "one prefix on two hosts, one within another": platform_nodes.document(
        0, *two_routes(), *two_routes(prefix="/p/q/")[1:], route_with(prefix="/", name="all")
    ),
    "depots without engines, one unused": platform_nodes.document(
        0, depots=[platform_site.depot("one", False), platform_site.depot("spare", False)]
    ),
    "an engine without models": platform_nodes.document(
        0, depots=[{**platform_site.depot("one"), "engine": {**platform_site.ENGINE, "models": []}}]
    ),
    "all urgencies and kinds": platform_nodes.document(
        0,
        *[
            route_with(host=f"h{n}", name=f"r{n}", urgency=n, kind=k, resumable=k == "stream")
            for n, k in enumerate(["stream", "once_only", "repeatable"] * 3 + ["stream"])
        ],
    ),
    "three hundred routes": platform_nodes.document(0, *[route_with(host=f"h{n}", name=f"r{n}") for n in range(300)]),
    "senders with keys, one with none, limits and without": platform_nodes.document(
        0,
        senders=[
            sender("a", "k1", "k2", urgency=0, rate_per_s=2.5, surge=4),
            sender("b", "k3", rate_per_s=0),
            sender("c"),
        ],
    ),
    "a key twice with one sender": platform_nodes.document(0, senders=[sender("a", "k1", "k1")]),
    "no senders": platform_nodes.document(0, senders=[]),
    "an unstamped route": platform_nodes.document(0, route_with(unstamped=True), senders=[sender("a", "k1")]),
    "fields from the future": platform_nodes.document(
        0, route_with(new=1), depots=[{**platform_site.depot("one"), "new": {}}], new=[]
    ),
}


@pytest.mark.parametrize("name", VALID)
def test_a_valid_configuration_is_acknowledged(nodes, base, name):
    sent = {**VALID[name], "edition": base + 1}
    assert nodes.put(sent, base).status == 200 and nodes.get() == (200, sent)


@pytest.mark.parametrize(
    "edition",
    [
        lambda b: b,
        lambda b: b - 1,
        lambda b: 0,
        lambda b: -1,
        lambda b: True,
        lambda b: None,
        lambda b: str(b + 1),
        lambda b: b + 0.5,
        lambda b: [b + 1],
    ],
)
def test_an_edition_that_does_not_increase_is_rejected(nodes, base, edition):
    before = nodes.get()
    assert (
        400 <= nodes.put(platform_nodes.document(edition(base), note="other"), base).status < 500
        and nodes.get() == before
    )


@pytest.mark.parametrize("cut", [0, 1, 0.1, 0.5, 0.9, -1])
def test_a_truncated_body_is_rejected(nodes, base, cut):
    data = json.dumps(platform_nodes.document(base + 1)).encode()
    end = cut if isinstance(cut, int) else int(cut * len(data))
    before = nodes.get()
    assert 400 <= nodes.put(data[:end], base).status < 500 and nodes.get() == before


@pytest.mark.parametrize(
    "data", [b"[]", b"7", b"null", b"\xff\xfe", b"[" * 100000, b"{}", b'{"edition": NaN}'], ids=repr
)
def test_a_body_that_is_no_configuration_is_rejected(nodes, base, data):
    assert 400 <= nodes.put(data[:100001], base).status < 500 and nodes.latest() == base
