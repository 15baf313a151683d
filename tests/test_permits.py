"""Limits of tenants on the platform, with a keeper and a router over real sockets."""

import concurrent.futures
import json
import time

import pytest

import tests.platform_nodes as platform_nodes
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

KEY, OTHER_KEY = "key-of-a", "key-of-b"
CALLS = 12


@pytest.fixture
def nodes(tmp_path):
    found = platform_nodes.Nodes(tmp_path)
    yield found
    found.stop()


def senders(**limits):
    return [{"name": "a", "permits": [KEY], **limits}, {"name": "b", "permits": [OTHER_KEY]}]


def put(nodes, **limits):
    """Put a configuration and wait until the router uses it."""
    base = nodes.latest()
    assert nodes.put(platform_nodes.document(base + 1, senders=senders(**limits)), base).status == 200
    platform_site.wait_until(lambda: nodes.router.lease.sequence() == base + 1)


def call(nodes, key):
    headers = [
        ("Host", "one.example"),
        ("Try-Id", f"t{next(stand_in.COUNT)}"),
        ("Authorization", f"Bearer {key}"),
    ]
    return platform_site.ask(nodes.counter, "POST", "/p/x", b"b", headers)


def statuses(nodes, key, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return sorted(answer.status for answer in pool.map(lambda _: call(nodes, key), range(count)))


def test_quota_a_tenant_is_served_its_burst_and_then_its_rate(nodes):
    put(nodes, rate_per_s=2, surge=4)
    time.sleep(2.5)  # the bucket of a new leader fills at the rate
    began = time.monotonic()
    answered = statuses(nodes, KEY, CALLS)
    assert set(answered) == {200, 429} and answered.count(200) >= 4
    assert len(nodes.replica.requests) == answered.count(200) <= 4 + 2 * (time.monotonic() - began)


def test_a_tenant_over_its_limit_gets_the_time_of_its_next_token(nodes):
    put(nodes, rate_per_s=0.5, surge=0)
    refused = [answer for answer in (call(nodes, KEY) for _ in range(4)) if answer.status == 429][-1]
    wait_s = float(refused.headers["Retry-After"])
    assert 0 < wait_s <= 2.0
    time.sleep(wait_s)
    assert call(nodes, KEY).status == 200


def test_the_condition_of_a_keeper_names_the_tenants_that_were_rejected(nodes):
    put(nodes, rate_per_s=0.5, surge=1)
    statuses(nodes, KEY, CALLS)
    statuses(nodes, OTHER_KEY, CALLS)
    answer = platform_site.ask(nodes.address, "GET", "/condition", None, [("Host", "k")])
    refused = [row.get("refused_by_tenant", {}) for row in json.loads(answer.body)["parts"]]
    assert [list(row) for row in refused if row] == [["a"]] and max(row.get("a", 0) for row in refused) >= 1


def test_a_tenant_without_a_limit_is_served_beside_one_over_its_limit(nodes):
    put(nodes, rate_per_s=0.5, surge=1)
    statuses(nodes, KEY, CALLS)
    assert statuses(nodes, OTHER_KEY, CALLS) == [200] * CALLS


def test_a_removed_limit_no_longer_applies(nodes):
    put(nodes, rate_per_s=0.1, surge=0)
    statuses(nodes, KEY, CALLS)
    put(nodes)
    assert statuses(nodes, KEY, CALLS) == [200] * CALLS
