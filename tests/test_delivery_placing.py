"""Placement of delivered requests: prefix caches, rendezvous hash, admission, load of other routers."""

import itertools
import types

import pytest

import mothshed.constants as constants
import mothshed.control_plane.load_leader_task as load_leader_task
import mothshed.data_plane.placement as placement_module
import mothshed.data_plane.prefix_cache as prefix_cache
import mothshed.data_plane.replica_pair as replica_pair
import mothshed.replicas.listed_replicas as listed_replicas
import mothshed.replicas.replica_load as replica_load
import mothshed.runtime.journal as journal
import tests.all_orders as all_orders

ENGINE = {"memory_tokens": 1000, "handle_life_s": 5.0}
DOCUMENT = {
    "pools": {
        "main": {"selector": {"service": "s"}, "engine": ENGINE},
        "plain": {"selector": {"service": "s"}, "split": False},
    }
}


def make_request(tokens=3000, parts=(("ab", 2000), ("own", 1000)), aim_s=1.0):
    return types.SimpleNamespace(tokens=tokens, parts=list(parts), route={"aim_s": aim_s})


def load(requests, out_s=0.0, reading=(0, 0, 0)):
    return replica_load.ReplicaLoad(requests, out_s, reading=list(reading))


def make_placement(names, zones=None):
    """A Placement over prefill replicas p1, p2 .. and decode replicas d1, d2 ..; and the pool with its clock."""
    pool = all_orders.Pool()
    environment = all_orders.ManualEnvironment(pool, "r:1")
    replicas = listed_replicas.ListedReplicas(environment, "", journal.Journal(), None, lambda: [])
    replicas.update_list(
        {
            name: {
                "url": f"http://{name}",
                "cell": (zones or {}).get(name, "a"),
                "service": "s",
                "labels": {"service": "s"},
                "leaving": False,
                "role": "prefill" if name[0] == "p" else "decode",
                "slots": 8,
            }
            for name in names
        }
    )
    return placement_module.Placement(environment, replicas, "a"), pool


def pair_names(pair):
    return pair.prefill_replica and pair.prefill_replica.name, pair.decode_replica.name


def test_only_leading_parts_count_as_cached():
    index = prefix_cache.PrefixCacheIndex()
    index.add("p1", [("a", 10), ("c", 30)])
    assert index.cached_tokens("p1", [("a", 10), ("b", 20), ("c", 30)]) == 10
    assert index.cached_tokens("p1", [("b", 20), ("a", 10)]) == 0
    assert index.cached_tokens("p2", [("a", 10)]) == 0
    index.forget("p1")
    assert index.cached_tokens("p1", [("a", 10)]) == 0


def test_the_least_recently_used_parts_are_forgotten_first(monkeypatch):
    monkeypatch.setattr(constants, "MAX_KNOWN_PROMPT_PARTS", 3)
    index = prefix_cache.PrefixCacheIndex()
    for key in "abc":
        index.add("p", [(key, 1)])
    index.add("p", [("a", 1)])
    index.add("p", [("d", 1)])
    assert [index.cached_tokens("p", [(key, 1)]) for key in "abcd"] == [1, 0, 1, 1]


def test_all_routers_prefer_the_same_replica_for_a_shared_part_and_few_parts_move_when_one_leaves():
    placement, pool = make_placement(["p1", "p2", "p3", "d1"])
    requests = [make_request(parts=[(f"{number:x}", 2000), (f"own{number}", 1000)]) for number in range(200)]
    preferred = [placement.preferred_replica(["p1", "p2", "p3"], request) for request in requests]
    for order in itertools.permutations(["p1", "p2", "p3"]):
        assert [placement.preferred_replica(order, request) for request in requests] == preferred
    assert all(preferred.count(n) > 30 for n in ("p1", "p2", "p3"))
    assert all(
        after == before
        for after, before in zip(
            [placement.preferred_replica(["p1", "p2"], request) for request in requests], preferred, strict=False
        )
        if before != "p3"
    )
    assert placement.preferred_replica(["p1"], make_request(parts=[("own", 5)])) is None
    assert placement.preferred_replica([], requests[0]) is None


def test_a_prompt_goes_to_the_replica_that_caches_its_shared_parts():
    for key in ("ab", "cd", "ef", "01"):
        placement, pool = make_placement(["p1", "p2", "p3", "d1"])
        first = placement.reserve_pair(1, DOCUMENT, "main", make_request(parts=[(key, 2000), ("x", 1000)]))
        assert (
            first.prefill_replica.name
            == placement.preferred_replica(["p1", "p2", "p3"], make_request(parts=[(key, 2000), ("x", 1000)]))
            and first.uncached_tokens == 1000
        )
    placement, pool = make_placement(["p1", "p2", "d1"])
    placement.prefix_cache.add("p2", [("x", 2500), ("y", 500)])
    # a session continues at the replica that it used before
    second = placement.reserve_pair(1, DOCUMENT, "main", make_request(parts=[("x", 2500), ("y", 500)]))
    assert second.prefill_replica.name == "p2" and second.uncached_tokens == 0


def test_reserved_slots_are_released_once():
    placement, pool = make_placement(["p1", "d1"])
    pair = placement.reserve_pair(1, DOCUMENT, "main", make_request())
    # p1 is preferred for the shared part, so only the request's own part is queued
    assert (placement.running("p1"), placement.queued_tokens("p1"), placement.running("d1")) == (1, 1000, 1)
    for _ in range(3):
        placement.finish_prefill(pair)
    assert (placement.running("p1"), placement.queued_tokens("p1"), placement.running("d1")) == (0, 0, 1)
    placement.replicas.request_ended("d1")
    assert placement.running("d1") == 0


def test_a_request_is_not_admitted_if_the_queue_is_too_long_for_its_aim():
    placement, pool = make_placement(["p1", "d1"])
    placement.backlog["p1"][constants.PREFILL_RANK_COUNT - 1] = (
        int(constants.ADMISSION_QUEUE_RATIO * 1.0 * constants.PREFILL_TOKENS_PER_S) + 4000
    )
    with pytest.raises(replica_pair.QueueFull) as error:
        placement.reserve_pair(1, DOCUMENT, "main", make_request(8000, [("own", 8000)]))
    assert abs(error.value.excess_s - 0.1) < 0.01
    # no slot was reserved
    assert [placement.replicas.own_requests.get(name, 0) for name in ("p1", "d1")] == [0, 0]
    pair = placement.reserve_pair(1, DOCUMENT, "main", make_request(8000, [("own", 8000)], aim_s=2.0))
    assert pair.prefill_replica.name == "p1"
    pair = placement.reserve_pair(1, DOCUMENT, "main", make_request(2000, [("own", 2000)]))
    assert pair.prefill_replica.name == "p1"  # short prompts are prefilled first


def test_nothing_is_admitted_or_reserved_while_all_decode_replicas_are_full():
    placement, pool = make_placement(["p1", "d1", "d2"])
    placement.update_remote_loads(1, {n: load(8) for n in ("d1", "d2")})
    with pytest.raises(replica_pair.QueueFull):
        placement.reserve_pair(1, DOCUMENT, "main", make_request())
    assert not any(placement.replicas.own_requests.values()) and placement.queued_tokens("p1") == 0
    placement.update_remote_loads(1, {"d1": load(8), "d2": load(7)})
    assert pair_names(placement.reserve_pair(1, DOCUMENT, "main", make_request())) == ("p1", "d2")


def test_without_prefill_replicas_decode_replicas_prefill_and_without_decode_replicas_there_is_no_pair():
    placement, pool = make_placement(["d1", "d2"])
    assert pair_names(placement.reserve_pair(1, DOCUMENT, "main", make_request()))[0] is None
    placement.backlog["d1"][0] = placement.backlog["d2"][0] = 10**6
    with pytest.raises(replica_pair.QueueFull):
        placement.reserve_pair(1, DOCUMENT, "main", make_request(8000, [("own", 8000)]))
    assert placement.reserve_pair(1, DOCUMENT, "main", make_request(8000, [("own", 8000)]), decode_only=True)
    placement, pool = make_placement(["p1", "p2"])
    assert placement.reserve_pair(1, DOCUMENT, "main", make_request()) is None


def test_excluded_replicas_are_skipped_but_a_decode_replica_is_reused_if_there_is_no_other():
    placement, pool = make_placement(["p1", "p2", "d1", "d2"])
    for _ in range(4):
        assert pair_names(placement.reserve_pair(1, DOCUMENT, "main", make_request(), {"p1", "d2"})) == ("p2", "d1")
    assert pair_names(placement.reserve_pair(1, DOCUMENT, "main", make_request(), {"p1", "p2", "d1", "d2"}))[0] is None
    empty = make_request(tokens=0, parts=())  # nothing to prefill
    assert pair_names(placement.reserve_pair(1, DOCUMENT, "main", empty))[0] is None
    assert pair_names(placement.reserve_pair(1, DOCUMENT, "plain", make_request()))[0] is None


def test_the_load_of_other_routers_counts_until_it_expires():
    placement, pool = make_placement(["p1", "p2", "d1", "d2"])
    placement.update_remote_loads(1, {"d1": load(6), "p1": load(2, 0.0, [400, 0, 49600])})
    placement.update_remote_loads(2, {"d1": load(1)})
    assert (placement.running("d1"), placement.queued_tokens("p1")) == (7, 50000)
    assert placement.queued_by_rank("p1") == [400, 0, 49600]
    assert pair_names(placement.reserve_pair(1, DOCUMENT, "main", make_request(parts=[("own", 3000)]))) == ("p2", "d2")
    placement.update_remote_loads(1, {"d1": load(5)})  # a newer report replaces it
    assert (placement.running("d1"), placement.queued_tokens("p1")) == (6, 0)
    pool.time += constants.LOAD_TTL_S - 0.01
    assert placement.running("d1") == 6
    pool.time += 0.02
    assert placement.running("d1") == 0


def test_a_replica_that_other_routers_excluded_is_not_used_for_that_time():
    placement, pool = make_placement(["p1", "d1", "d2"])
    placement.update_remote_loads(1, {"d1": load(0, 1.0, [0, 0, 0])})
    assert set(placement.replicas.usable({"service": "s"}, "decode")) == {"d2"}
    pool.time += 1.01
    assert set(placement.replicas.usable({"service": "s"}, "decode")) == {"d1", "d2"}


def test_load_sums_omit_the_requesting_router_and_expired_reports_and_include_role_changes():
    pool = all_orders.Pool()
    member = types.SimpleNamespace(environment=all_orders.ManualEnvironment(pool, "k:1"), part=1, is_leader=True)
    duty = load_leader_task.LoadLeaderTask(member)
    duty.on_usage("r:1", {"mark": 1, "rows": replica_load.to_wire({"d1": load(2, 0.5, [1, 0, 10])})})
    duty.on_usage(
        "r:2",
        {
            "mark": 1,
            "rows": replica_load.to_wire({"d1": load(3, 0.0, [2, 5, 20]), "p1": load(1, 0.0, [0, 900, 0])}),
        },
    )
    assert pool.waiting[-1][3]["rows"] == replica_load.to_wire({"d1": load(2, 0.5, [1, 0, 10])})
    duty.changing_until["d2"] = pool.time + 1.0
    pool.time += 0.25
    assert duty.sums() == {
        "d1": load(5, 0.25, [3, 5, 30]),
        "p1": load(1, 0.0, [0, 900, 0]),
        "d2": load(0, 0.75, [0, 0, 0]),
    }
    pool.time += constants.LOAD_TTL_S
    assert duty.sums() == {}


def test_a_pair_gets_no_decode_replica_of_another_service_when_the_selector_of_its_pool_changes():
    """Otherwise a third document that reverts the change would allow the decode to be sent there."""
    placement, _pool = make_placement(["p1", "d1", "d2"])
    pair = placement.reserve_pair(1, DOCUMENT, "main", make_request())
    selector, first_name = DOCUMENT["pools"]["main"]["selector"], pair.decode_replica.name
    placement.replicas.rows["d9"] = {**placement.replicas.rows["d1"], "labels": {"service": "other"}}
    placement.replicas.conditions["d9"] = placement.replicas.conditions["d1"]
    placement.replace_decode_replica(pair, selector, {first_name})
    assert {pair.decode_replica.name, first_name} == {"d1", "d2"}
    placement.replace_decode_replica(pair, selector, {"d1", "d2"})
    assert pair.decode_replica.name in {"d1", "d2"}
