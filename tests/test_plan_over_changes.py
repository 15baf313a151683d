"""Configuration changes between the prefill and the decode of a request, over real sockets."""

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


def during_prefill(prefill_replica, action):
    """Call action() once, while the replica serves its first prefill."""
    serve, called = prefill_replica.take, []

    def serve_and_act(conn, request, fault):
        if not called:
            called.append(True)
            action()
        return serve(conn, request, fault)

    prefill_replica.take = serve_and_act


def count_requests(replicas, leg):
    return sum(request.get("Leg", "decode") == leg for replica in replicas for request in replica.requests)


@pytest.mark.parametrize(
    "action",
    [
        lambda site, name: site.lease.change([platform_site.route("r-new", "elsewhere.example", name)]),
        lambda site, name: site.lease.change(caps={"quiet_ms": 9000}),
        lambda site, name: site.lease.change(
            [platform_site.route(f"r-{name}", f"{name}.example", name, deadline_ms=3000)], without=[f"r-{name}"]
        ),
    ],
    ids=["a route added", "other limits", "its own deadline"],
)
def test_a_change_that_does_not_affect_the_route_does_not_repeat_the_prefill(site, action):
    host, replicas = site.service("pd")
    during_prefill(replicas[0], lambda: action(site, replicas[0].depot))
    request_id, response = site.ask(host)
    assert response.status == 200 and len(site.platform.ran(request_id)) == 1
    assert (count_requests(replicas, "prefill"), count_requests(replicas, "decode")) == (1, 1)


def test_a_request_whose_route_moves_during_the_prefill_goes_to_the_new_service(site):
    host, replicas = site.service("pd")
    other_host, other_replicas = site.service("pd")
    name, other_name = replicas[0].depot, other_replicas[0].depot
    new_route = platform_site.route(f"r-{name}", host, other_name)
    during_prefill(replicas[0], lambda: site.lease.change([new_route], without=[f"r-{name}"]))
    request_id, response = site.ask(host)
    assert (
        response.status == 200
        and count_requests(replicas, "decode") == 0
        and count_requests(other_replicas, "decode") == 1
    )


def test_a_request_whose_route_is_removed_during_the_prefill_does_not_run(site):
    host, replicas = site.service("pd")
    during_prefill(replicas[0], lambda: site.lease.change(without=[f"r-{replicas[0].depot}"]))
    request_id, response = site.ask(host)
    assert response.status == 404 and site.platform.ran(request_id) == []


def test_a_decode_waits_for_a_lease_that_expired_during_the_prefill_to_be_renewed(site, monkeypatch):
    host, replicas = site.service("pd")
    form, reads = site.lease.form, []

    def sequence():
        reads.append(True)
        if len(reads) > 2:
            site.lease.form = form  # renewed
        return site.lease.form and site.lease.form[0]

    def lapse():
        site.lease.form = None
        monkeypatch.setattr(site.lease, "sequence", sequence)

    during_prefill(replicas[0], lapse)
    request_id, response = site.ask(host)
    assert response.status == 200 and count_requests(replicas, "prefill") == 1
    (decode,) = replicas[1].requests
    assert decode.get("Cache-From")  # it used the exported KV memory


def test_without_a_lease_no_decode_is_sent_after_the_prefill(site, monkeypatch):
    host, replicas = site.service("pd")
    during_prefill(replicas[0], lambda: monkeypatch.setattr(site.lease, "form", None))
    request_id, response = site.ask(host)
    assert response.status == 503 and count_requests(replicas, "decode") == 0 and site.platform.ran(request_id) == []


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
    "change, is_current",
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
def test_a_plan_is_current_only_if_the_new_route_would_lead_to_the_same_plan(change, is_current):
    document = copy.deepcopy(configuration.EXAMPLE)
    selector = document["pools"]["main"]["selector"]
    assert routes.plan_is_current(ROUTE, {**ROUTE, **change}, "main", selector, document) == is_current
    assert not routes.plan_is_current(ROUTE, None, "main", selector, document)
    assert not routes.plan_is_current(ROUTE, ROUTE, "main", {"other": "labels"}, document)
    assert not routes.plan_is_current(ROUTE, ROUTE, "gone", selector, document)
