"""Where delivered requests are placed: parts kept, their home, admission, others' usage."""

import itertools
import types

import pytest

import mothshed.constants as constants
import mothshed.control_plane.load_task as load_task
import mothshed.data_plane.pair as pair_module
import mothshed.data_plane.placing as placing
import mothshed.data_plane.prompt_parts as prompt_parts
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


def ask(tokens=3000, parts=(("ab", 2000), ("own", 1000)), aim=1.0):
    return types.SimpleNamespace(tokens=tokens, parts=list(parts), route={"aim_s": aim})


def usage(requests, out_s=0.0, reading=(0, 0, 0)):
    return replica_load.ReplicaLoad(requests, out_s, reading=list(reading))


def placed(roles, cells=None):
    """Placing over replicas p1, p2 .. and d1, d2 ..; with the pool that moves its time."""
    pool = all_orders.Pool()
    environment = all_orders.ManualEnvironment(pool, "r:1")
    found = listed_replicas.ListedReplicas(environment, "", journal.Journal(), None, lambda: [])
    found.update_list(
        {
            n: {
                "url": f"http://{n}",
                "cell": (cells or {}).get(n, "a"),
                "service": "s",
                "labels": {"service": "s"},
                "leaving": False,
                "role": "prefill" if n[0] == "p" else "decode",
                "slots": 8,
            }
            for n in roles
        }
    )
    return placing.Placing(environment, found, "a"), pool


def names(pair):
    return pair.reader and pair.reader.name, pair.writer.name


def test_only_leading_parts_count_as_held():
    parts = prompt_parts.Parts()
    parts.add("p1", [("a", 10), ("c", 30)])
    assert parts.held("p1", [("a", 10), ("b", 20), ("c", 30)]) == 10 and parts.held("p1", [("b", 20), ("a", 10)]) == 0
    assert parts.held("p2", [("a", 10)]) == 0
    parts.forget("p1")
    assert parts.held("p1", [("a", 10)]) == 0


def test_the_parts_used_longest_ago_are_forgotten_first(monkeypatch):
    monkeypatch.setattr(constants, "MAX_KNOWN_PROMPT_PARTS", 3)
    parts = prompt_parts.Parts()
    for key in "abc":
        parts.add("p", [(key, 1)])
    parts.add("p", [("a", 1)])
    parts.add("p", [("d", 1)])
    assert [parts.held("p", [(key, 1)]) for key in "abcd"] == [1, 0, 1, 1]


def test_all_routers_look_for_a_shared_part_at_one_reader_and_few_move_when_one_leaves():
    one, pool = placed(["p1", "p2", "p3", "d1"])
    rows = [ask(parts=[(f"{n:x}", 2000), (f"own{n}", 1000)]) for n in range(200)]
    homes = [one.home(["p1", "p2", "p3"], row) for row in rows]
    for order in itertools.permutations(["p1", "p2", "p3"]):
        assert [one.home(order, row) for row in rows] == homes
    assert all(homes.count(n) > 30 for n in ("p1", "p2", "p3"))
    assert all(
        new == old
        for new, old in zip([one.home(["p1", "p2"], row) for row in rows], homes, strict=False)
        if old != "p3"
    )
    assert one.home(["p1"], ask(parts=[("own", 5)])) is None and one.home([], rows[0]) is None


def test_a_prompt_goes_where_its_shared_parts_are_kept():
    for key in ("ab", "cd", "ef", "01"):
        one, pool = placed(["p1", "p2", "p3", "d1"])
        first = one.pair(1, DOCUMENT, "main", ask(parts=[(key, 2000), ("x", 1000)]))
        assert (
            first.reader.name == one.home(["p1", "p2", "p3"], ask(parts=[(key, 2000), ("x", 1000)]))
            and first.unread == 1000
        )
    one, pool = placed(["p1", "p2", "d1"])
    one.parts.add("p2", [("x", 2500), ("y", 500)])
    again = one.pair(1, DOCUMENT, "main", ask(parts=[("x", 2500), ("y", 500)]))  # a session goes on where it was
    assert again.reader.name == "p2" and again.unread == 0


def test_places_taken_are_given_back_once():
    one, pool = placed(["p1", "d1"])
    pair = one.pair(1, DOCUMENT, "main", ask())
    assert (one.running("p1"), one.being_read("p1"), one.running("d1")) == (1, 1000, 1)  # p1 is home of the shared part
    for _ in range(3):
        one.read(pair)
    assert (one.running("p1"), one.being_read("p1"), one.running("d1")) == (0, 0, 1)
    one.replicas.request_ended("d1")
    assert one.running("d1") == 0


def test_a_queue_too_long_for_the_aim_takes_no_more():
    one, pool = placed(["p1", "d1"])
    one.reading["p1"][constants.PREFILL_RANK_COUNT - 1] = (
        int(constants.ADMISSION_QUEUE_RATIO * 1.0 * constants.PREFILL_TOKENS_PER_S) + 4000
    )
    with pytest.raises(pair_module.Full) as full:
        one.pair(1, DOCUMENT, "main", ask(8000, [("own", 8000)]))
    assert abs(full.value.span - 0.1) < 0.01
    assert (one.replicas.own_requests.get("p1", 0), one.replicas.own_requests.get("d1", 0)) == (
        0,
        0,
    )  # no place was taken
    assert one.pair(1, DOCUMENT, "main", ask(8000, [("own", 8000)], aim=2.0)).reader.name == "p1"
    assert one.pair(1, DOCUMENT, "main", ask(2000, [("own", 2000)])).reader.name == "p1"  # short ones go before


def test_with_every_writer_full_nothing_is_admitted_and_no_place_is_taken():
    one, pool = placed(["p1", "d1", "d2"])
    one.take_others(1, {n: usage(8) for n in ("d1", "d2")})
    with pytest.raises(pair_module.Full):
        one.pair(1, DOCUMENT, "main", ask())
    assert not any(one.replicas.own_requests.values()) and one.being_read("p1") == 0
    one.take_others(1, {"d1": usage(8), "d2": usage(7)})
    assert names(one.pair(1, DOCUMENT, "main", ask())) == ("p1", "d2")


def test_without_a_reader_the_writer_reads_and_without_a_writer_there_is_no_place():
    one, pool = placed(["d1", "d2"])
    assert names(one.pair(1, DOCUMENT, "main", ask()))[0] is None
    one.reading["d1"][0] = one.reading["d2"][0] = 10**6
    with pytest.raises(pair_module.Full):
        one.pair(1, DOCUMENT, "main", ask(8000, [("own", 8000)]))
    assert one.pair(1, DOCUMENT, "main", ask(8000, [("own", 8000)]), alone=True)
    one, pool = placed(["p1", "p2"])
    assert one.pair(1, DOCUMENT, "main", ask()) is None


def test_who_failed_is_passed_over_and_a_writer_used_again_only_if_there_is_no_other():
    one, pool = placed(["p1", "p2", "d1", "d2"])
    for _ in range(4):
        assert names(one.pair(1, DOCUMENT, "main", ask(), {"p1", "d2"})) == ("p2", "d1")
    assert names(one.pair(1, DOCUMENT, "main", ask(), {"p1", "p2", "d1", "d2"}))[0] is None
    assert names(one.pair(1, DOCUMENT, "main", ask(tokens=0, parts=())))[0] is None  # nothing to read ahead
    assert names(one.pair(1, DOCUMENT, "plain", ask()))[0] is None


def test_others_usage_counts_until_it_is_old():
    one, pool = placed(["p1", "p2", "d1", "d2"])
    one.take_others(1, {"d1": usage(6), "p1": usage(2, 0.0, [400, 0, 49600])})
    one.take_others(2, {"d1": usage(1)})
    assert (one.running("d1"), one.being_read("p1"), one.queued("p1")) == (7, 50000, [400, 0, 49600])
    assert names(one.pair(1, DOCUMENT, "main", ask(parts=[("own", 3000)]))) == ("p2", "d2")
    one.take_others(1, {"d1": usage(5)})  # a newer one takes its place
    assert (one.running("d1"), one.being_read("p1")) == (6, 0)
    pool.time += constants.LOAD_TTL_S - 0.01
    assert one.running("d1") == 6
    pool.time += 0.02
    assert one.running("d1") == 0


def test_one_that_others_say_is_out_is_not_placed_upon_for_as_long():
    one, pool = placed(["p1", "d1", "d2"])
    one.take_others(1, {"d1": usage(0, 1.0, [0, 0, 0])})
    assert set(one.replicas.usable({"service": "s"}, "decode")) == {"d2"}
    pool.time += 1.01
    assert set(one.replicas.usable({"service": "s"}, "decode")) == {"d1", "d2"}


def test_sums_leave_out_the_asker_the_old_and_what_an_order_no_longer_keeps_away():
    pool = all_orders.Pool()
    member = types.SimpleNamespace(environment=all_orders.ManualEnvironment(pool, "k:1"), part=1, is_leader=True)
    duty = load_task.LoadTask(member)
    duty.on_usage("r:1", {"mark": 1, "rows": replica_load.to_wire({"d1": usage(2, 0.5, [1, 0, 10])})})
    duty.on_usage(
        "r:2",
        {
            "mark": 1,
            "rows": replica_load.to_wire({"d1": usage(3, 0.0, [2, 5, 20]), "p1": usage(1, 0.0, [0, 900, 0])}),
        },
    )
    assert pool.waiting[-1][3]["rows"] == replica_load.to_wire({"d1": usage(2, 0.5, [1, 0, 10])})
    duty.shifting["d2"] = pool.time + 1.0
    pool.time += 0.25
    assert duty.sums() == {
        "d1": usage(5, 0.25, [3, 5, 30]),
        "p1": usage(1, 0.0, [0, 900, 0]),
        "d2": usage(0, 0.75, [0, 0, 0]),
    }
    pool.time += constants.LOAD_TTL_S
    assert duty.sums() == {}


def test_route_a_pair_gets_no_writer_of_another_service_when_its_pool_changes_hands():
    """Were it given one, a third document that undoes the change would let the decode go there."""
    found, _pool = placed(["p1", "d1", "d2"])
    pair = found.pair(1, DOCUMENT, "main", ask())
    selector, writer = DOCUMENT["pools"]["main"]["selector"], pair.writer.name
    found.replicas.rows["d9"] = {**found.replicas.rows["d1"], "labels": {"service": "other"}}
    found.replicas.conditions["d9"] = found.replicas.conditions["d1"]
    found.change_writer(pair, selector, {writer})
    assert {pair.writer.name, writer} == {"d1", "d2"}
    found.change_writer(pair, selector, {"d1", "d2"})
    assert pair.writer.name in {"d1", "d2"}
