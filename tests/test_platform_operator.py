"""The operator's calls on the platform: repeats, races, stale bases, and when routers follow."""

import concurrent.futures
import time

import pytest

import mothshed.constants as constants
import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site

door, base = platform_nodes.door, platform_nodes.base


def test_what_is_read_back_is_exactly_what_was_sent(door, base):
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
    assert door.put(sent, base).status == 200
    assert door.get() == (200, sent)


@pytest.mark.parametrize("again", [1, 3])
def test_the_same_put_sent_again_is_acknowledged_again(door, base, again):
    sent = platform_nodes.document(base + 2)
    assert [door.put(sent, base).status for _ in range(1 + again)] == [200] * (1 + again)
    assert door.latest() == base + 2


def test_the_same_put_sent_again_after_a_newer_one_is_acknowledged_and_changes_nothing(door, base):
    old = platform_nodes.document(base + 1)
    assert door.put(old, base).status == 200 and door.put(platform_nodes.document(base + 5), base + 1).status == 200
    assert door.put(old, base).status == 200 and door.latest() == base + 5


def test_a_put_on_a_base_that_is_not_in_place_is_412(door, base):
    for wrong in (base - 1, base + 1, 0):
        assert door.put(platform_nodes.document(base + 9), wrong).status == 412
    assert door.latest() == base


def test_of_two_that_send_at_once_one_wins(door, base):
    rows = [platform_nodes.document(base + 1 + n, note=n) for n in range(4)]
    with concurrent.futures.ThreadPoolExecutor(4) as pool:
        said = list(pool.map(lambda row: door.put(row, base).status, rows))
    assert sorted(said) == [200, 412, 412, 412] and door.get()[1] == rows[said.index(200)]


def test_a_base_that_is_no_number_and_other_calls_are_turned_away(door, base):
    assert 400 <= door.put(platform_nodes.document(base + 1), "soon").status < 500
    rows = [("Host", "k")]
    assert platform_site.ask(door.address, "POST", "/configuration", b"{}", rows).status == 405
    assert platform_site.ask(door.address, "PUT", "/other", b"{}", rows).status == 404
    assert (
        platform_site.ask(
            door.address, "PUT", "/configuration", None, rows + [("Content-Length", constants.MAX_BODY_BYTES + 1)]
        ).status
        == 413
    )
    assert door.latest() == base


def test_a_router_serves_by_each_edition_soon_after_its_acknowledgement(door, base):
    for step, hosts in ((1, ["a.example", "b.example"]), (7, ["b.example"]), (30, ["c.example", "b.example"])):
        rows = [platform_site.route(f"r-{h}", h, "one", kind="once_only", tries=1) for h in hosts]
        assert door.put(platform_nodes.document(door.latest() + step, *rows), door.latest()).status == 200
        platform_site.until(lambda: door.router.lease.active == door.latest(), 3.0)
        began = time.monotonic()
        for host in ("a.example", "b.example", "c.example"):
            answer = door.call(host)
            assert answer.status == (200 if host in hosts else 404)
        assert time.monotonic() - began < 1.0
