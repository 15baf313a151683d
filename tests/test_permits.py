"""Limits of tenants on the platform, with a keeper and a router over real sockets."""

import concurrent.futures
import json
import time

import pytest

import tests.platform_door as platform_door
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

KEY, OTHER_KEY = "key-of-a", "key-of-b"
CALLS = 12


@pytest.fixture
def door(tmp_path):
    found = platform_door.Door(tmp_path)
    yield found
    found.stop()


def senders(**limits):
    return [{"name": "a", "permits": [KEY], **limits}, {"name": "b", "permits": [OTHER_KEY]}]


def put(door, **limits):
    """Put a configuration and wait until the router uses it."""
    base = door.latest()
    assert door.put(platform_door.document(base + 1, senders=senders(**limits)), base).status == 200
    platform_site.until(lambda: door.router.lease.sequence() == base + 1)


def call(door, key):
    headers = [
        ("Host", "one.example"),
        ("Try-Id", f"t{next(stand_in.COUNT)}"),
        ("Authorization", f"Bearer {key}"),
    ]
    return platform_site.ask(door.counter, "POST", "/p/x", b"b", headers)


def statuses(door, key, count):
    with concurrent.futures.ThreadPoolExecutor(count) as pool:
        return sorted(answer.status for answer in pool.map(lambda _: call(door, key), range(count)))


def test_quota_a_tenant_is_served_its_burst_and_then_its_rate(door):
    put(door, rate_per_s=2, surge=4)
    time.sleep(2.5)  # the bucket of a new leader fills at the rate
    began = time.monotonic()
    answered = statuses(door, KEY, CALLS)
    assert set(answered) == {200, 429} and answered.count(200) >= 4
    assert len(door.replica.asked) == answered.count(200) <= 4 + 2 * (time.monotonic() - began)


def test_a_tenant_over_its_limit_gets_the_time_of_its_next_token(door):
    put(door, rate_per_s=0.5, surge=0)
    refused = [answer for answer in (call(door, KEY) for _ in range(4)) if answer.status == 429][-1]
    wait_s = float(refused.headers["Retry-After"])
    assert 0 < wait_s <= 2.0
    time.sleep(wait_s)
    assert call(door, KEY).status == 200


def test_the_condition_of_a_keeper_names_the_tenants_that_were_rejected(door):
    put(door, rate_per_s=0.5, surge=1)
    statuses(door, KEY, CALLS)
    statuses(door, OTHER_KEY, CALLS)
    answer = platform_site.ask(door.address, "GET", "/condition", None, [("Host", "k")])
    refused = [row.get("refused_by_tenant", {}) for row in json.loads(answer.body)["parts"]]
    assert [list(row) for row in refused if row] == [["a"]] and max(row.get("a", 0) for row in refused) >= 1


def test_a_tenant_without_a_limit_is_served_beside_one_over_its_limit(door):
    put(door, rate_per_s=0.5, surge=1)
    statuses(door, KEY, CALLS)
    assert statuses(door, OTHER_KEY, CALLS) == [200] * CALLS


def test_a_removed_limit_no_longer_applies(door):
    put(door, rate_per_s=0.1, surge=0)
    statuses(door, KEY, CALLS)
    put(door)
    assert statuses(door, KEY, CALLS) == [200] * CALLS
