"""A configuration that changes between the reading of a prompt and its decode, over real sockets."""

import copy

import pytest

import mothshed.configuration.document as configuration
import mothshed.data_plane.routes as routes
import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def while_reading(reader, act):
    """act() runs once, while the reader holds its first prompt."""
    take, done = reader.take, []

    def once(conn, request, fault):
        if not done:
            done.append(True)
            act()
        return take(conn, request, fault)

    reader.take = once


def legs(replicas, leg):
    return sum(request.get("Leg", "decode") == leg for r in replicas for request in r.asked)


@pytest.mark.parametrize(
    "act",
    [
        lambda site, name: site.lease.change([platform_site.route("r-new", "elsewhere.example", name)]),
        lambda site, name: site.lease.change(caps={"quiet_ms": 9000}),
        lambda site, name: site.lease.change(
            [platform_site.route(f"r-{name}", f"{name}.example", name, deadline_ms=3000)], without=[f"r-{name}"]
        ),
    ],
    ids=["a route added", "other limits", "its own deadline"],
)
def test_a_change_that_leaves_the_route_alone_reads_no_prompt_again(site, act):
    host, replicas = site.service("pd")
    while_reading(replicas[0], lambda: act(site, replicas[0].depot))
    own, answer = site.ask(host)
    assert answer.status == 200 and len(site.platform.ran(own)) == 1
    assert (legs(replicas, "prefill"), legs(replicas, "decode")) == (1, 1)


def test_a_route_moved_meanwhile_goes_to_its_new_service(site):
    host, replicas = site.service("pd")
    other_host, others = site.service("pd")
    name, other = replicas[0].depot, others[0].depot
    moved = platform_site.route(f"r-{name}", host, other)
    while_reading(replicas[0], lambda: site.lease.change([moved], without=[f"r-{name}"]))
    own, answer = site.ask(host)
    assert answer.status == 200 and legs(replicas, "decode") == 0 and legs(others, "decode") == 1


def test_a_route_dropped_meanwhile_is_not_run(site):
    host, replicas = site.service("pd")
    while_reading(replicas[0], lambda: site.lease.change(without=[f"r-{replicas[0].depot}"]))
    own, answer = site.ask(host)
    assert answer.status == 404 and site.platform.ran(own) == []


def test_a_lease_that_lapsed_for_a_moment_is_waited_for_with_the_prompt_read(site, monkeypatch):
    host, replicas = site.service("pd")
    form, asked = site.lease.form, []

    def sequence():
        asked.append(True)
        if len(asked) > 2:
            site.lease.form = form  # renewed
        return site.lease.form and site.lease.form[0]

    def lapse():
        site.lease.form = None
        monkeypatch.setattr(site.lease, "sequence", sequence)

    while_reading(replicas[0], lapse)
    own, answer = site.ask(host)
    assert answer.status == 200 and legs(replicas, "prefill") == 1
    assert [bool(request.get("Cache-From")) for request in replicas[1].asked] == [True]  # it took what was read


def test_without_a_lease_a_read_prompt_is_not_sent_on(site, monkeypatch):
    host, replicas = site.service("pd")
    while_reading(replicas[0], lambda: monkeypatch.setattr(site.lease, "form", None))
    own, answer = site.ask(host)
    assert answer.status == 503 and legs(replicas, "decode") == 0 and site.platform.ran(own) == []


ROUTE = {
    "name": "r",
    "host": "h",
    "prefix": "/",
    "kind": "unsafe",
    "cutoff_s": 8,
    "tries": 1,
    "resumable": False,
    "pools": [{"pool": "main", "share": 1}],
}


@pytest.mark.parametrize(
    "change, stands",
    [
        ({}, True),
        ({"cutoff_s": 3, "aim_s": 1}, True),
        ({"pools": [{"pool": "main", "share": 1}, {"pool": "two", "share": 9}]}, True),
        ({"pools": [{"pool": "main", "share": 0}, {"pool": "two", "share": 9}]}, False),
        ({"pools": [{"pool": "two", "share": 1}]}, False),
        ({"kind": "safe"}, False),
        ({"tries": 2}, False),
        ({"resumable": True}, False),
        ({"prefix": "/x/"}, False),
    ],
)
def test_a_plan_stands_only_where_the_new_route_would_have_made_it(change, stands):
    document = copy.deepcopy(configuration.EXAMPLE)
    selector = document["pools"]["main"]["selector"]
    assert routes.plan_is_current(ROUTE, {**ROUTE, **change}, "main", selector, document) == stands
    assert not routes.plan_is_current(ROUTE, None, "main", selector, document)
    assert not routes.plan_is_current(ROUTE, ROUTE, "main", {"other": "labels"}, document)
    assert not routes.plan_is_current(ROUTE, ROUTE, "gone", selector, document)
