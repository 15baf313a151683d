"""The operator's API on the platform: repeated requests, races, stale bases, and the delay until routers follow."""

import concurrent.futures
import time

import pytest

import mothshed.constants as constants
import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site

nodes, base = platform_nodes.nodes, platform_nodes.base


def test_a_configuration_is_returned_exactly_as_it_was_sent(nodes, base):
    sent = platform_nodes.document(
        base + 4,
        platform_site.route("r-one", "One.Example", "one", odd={"deep": [1, None, "\u00e4"]}, target_ms=800.5),
        platform_site.route(
            "r-two",
            "two.example",
            None,
            dispatch=[{"depot": "one", "share": 90, "x": 1}, {"depot": "one", "share": 10}],
        ),
        note=[True],
    )
    del sent["itineraries"][1]["depot"]
    assert nodes.put(sent, base).status == 200
    assert nodes.get() == (200, sent)


@pytest.mark.parametrize("again", [1, 3])
def test_the_same_put_sent_again_is_acknowledged_again(nodes, base, again):
    sent = platform_nodes.document(base + 2)
    assert [nodes.put(sent, base).status for _ in range(1 + again)] == [200] * (1 + again)
    assert nodes.latest() == base + 2


def test_the_same_put_sent_again_after_a_newer_one_is_acknowledged_and_changes_nothing(nodes, base):
    old = platform_nodes.document(base + 1)
    assert nodes.put(old, base).status == 200 and nodes.put(platform_nodes.document(base + 5), base + 1).status == 200
    assert nodes.put(old, base).status == 200 and nodes.latest() == base + 5


def test_a_put_on_another_base_than_the_latest_is_412(nodes, base):
    for wrong in (base - 1, base + 1, 0):
        assert nodes.put(platform_nodes.document(base + 9), wrong).status == 412
    assert nodes.latest() == base


def test_one_of_several_concurrent_puts_succeeds(nodes, base):
    rows = [platform_nodes.document(base + 1 + n, note=n) for n in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        response = list(pool.map(lambda row: nodes.put(row, base).status, rows))
    assert sorted(response) == [200, 412, 412, 412] and nodes.get()[1] == rows[response.index(200)]


def test_an_invalid_base_and_unsupported_calls_are_rejected(nodes, base):
    assert 400 <= nodes.put(platform_nodes.document(base + 1), "soon").status < 500
    rows = [("Host", "k")]
    assert platform_site.ask(nodes.address, "POST", "/configuration", b"{}", rows).status == 405
    assert platform_site.ask(nodes.address, "PUT", "/other", b"{}", rows).status == 404
    assert (
        platform_site.ask(
            nodes.address, "PUT", "/configuration", None, rows + [("Content-Length", constants.MAX_BODY_BYTES + 1)]
        ).status
        == 413
    )
    assert nodes.latest() == base


def test_a_router_uses_each_edition_soon_after_its_acknowledgement(nodes, base):
    for step, hosts in ((1, ["a.example", "b.example"]), (7, ["b.example"]), (30, ["c.example", "b.example"])):
        rows = [platform_site.route(f"r-{h}", h, "one", kind="once_only", tries=1) for h in hosts]
        assert nodes.put(platform_nodes.document(nodes.latest() + step, *rows), nodes.latest()).status == 200
        platform_site.wait_until(lambda: nodes.router.lease.active == nodes.latest(), 3.0)
        started_at = time.monotonic()
        for host in ("a.example", "b.example", "c.example"):
            answer = nodes.call(host)
            assert answer.status == (200 if host in hosts else 404)
        assert time.monotonic() - started_at < 1.0
