"""The load at which a decode replica counts as full: estimated for any engine, assumed without observations."""

import random
import types

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.control_plane.decode_capacity as decode_capacity
import mothshed.control_plane.load_leader_task as load_leader_task
import mothshed.replicas.replica_load as replica_load
import tests.all_orders as all_orders

STEADY = hypothesis.settings(derandomize=True, max_examples=150, deadline=None, database=None)
SLOTS = 64


def expected_full(growth, slots=SLOTS):
    """Return where an engine counts as full whose time between events grows by this share per request."""
    most = (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / growth if growth else slots
    return min(slots, max(constants.MIN_DECODE_FULL_SLOT_RATIO * slots, most))


def observed(idle_s, growth, seconds, replicas=6, noise=0.0, seed=1, load=(2, 30)):
    """Return the capacity after so many seconds of a service with unevenly loaded replicas."""
    rng, clock = random.Random(seed), [100.0]
    capacity = decode_capacity.DecodeCapacity(lambda: clock[0])
    for _ in range(round(seconds / constants.LOAD_REPORT_INTERVAL_S)):
        clock[0] += constants.LOAD_REPORT_INTERVAL_S
        running = [rng.uniform(*load) for _ in range(replicas)]
        capacity.observe((r, idle_s * (1 + growth * r) * (1 + rng.uniform(-noise, noise))) for r in running)
    return capacity


def test_without_observations_a_replica_is_full_at_the_default_share_of_its_slots():
    capacity = decode_capacity.DecodeCapacity(lambda: 0.0)
    assert capacity.full_at(SLOTS) == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * SLOTS)
    capacity.observe([(3.0, 0.0)])  # samples without time between events are ignored
    assert capacity.full_at(12) == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * 12)


@STEADY
@hypothesis.given(
    strategies.floats(0.0005, 5.0),
    strategies.floats(0.0, 0.4),
    strategies.floats(0.0, 0.15),
    strategies.integers(0, 99),
)
def test_the_capacity_of_any_engine_is_estimated_within_a_fifth_after_ten_seconds(idle_s, growth, noise, seed):
    capacity = observed(idle_s, growth, 10.0, noise=noise, seed=seed)
    assert capacity.full_at(SLOTS) == pytest.approx(expected_full(growth), rel=0.2)


def test_samples_at_a_single_load_keep_the_default_share():
    capacity = observed(0.05, 0.0, 30.0, load=(10, 10))
    assert capacity.full_at(SLOTS) == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * SLOTS, rel=0.01)


def test_an_engine_that_hardly_slows_down_is_full_with_all_its_slots_taken():
    assert observed(0.047, 0.005, 10.0, load=(1, 8)).full_at(12) == 12


def test_an_engine_that_slows_down_at_once_keeps_a_quarter_of_its_slots():
    assert observed(0.047, 1.0, 10.0).full_at(SLOTS) == constants.MIN_DECODE_FULL_SLOT_RATIO * SLOTS


def test_the_estimate_follows_a_change_of_engine():
    capacity = observed(0.05, 0.1, 30.0)
    clock = [capacity.now()]
    capacity.now = lambda: clock[0]
    rng = random.Random(2)
    for _ in range(round(60 / constants.LOAD_REPORT_INTERVAL_S)):
        clock[0] += constants.LOAD_REPORT_INTERVAL_S
        capacity.observe((r, 0.05 * (1 + 0.03 * r)) for r in (rng.uniform(2, 30) for _ in range(6)))
    assert capacity.full_at(SLOTS) == pytest.approx(expected_full(0.03), rel=0.25)


@STEADY
@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.floats(0, 500), strategies.floats(0, 100)), max_size=30)
)
def test_the_estimate_stays_within_its_bounds_for_any_samples(samples):
    capacity = decode_capacity.DecodeCapacity(lambda: 0.0)
    capacity.observe(samples)
    assert constants.MIN_DECODE_FULL_SLOT_RATIO * SLOTS <= capacity.full_at(SLOTS) <= SLOTS


def test_a_row_without_events_has_the_length_of_earlier_releases():
    load = replica_load.ReplicaLoad(requests=2, answered=3.0, failed=1.0, reading=[0, 0, 5])
    assert len(load.to_wire()) == 4 + constants.PREFILL_RANK_COUNT
    more = replica_load.ReplicaLoad(requests=2, answered=3.0, failed=1.0, reading=[0, 0, 5], events=6, events_s=0.3)
    assert replica_load.ReplicaLoad.from_wire(more.to_wire()) == more
    assert replica_load.ReplicaLoad.from_wire(more.to_router_wire()) == load


def task_with(loads, services):
    pool = all_orders.Pool()
    member = types.SimpleNamespace(environment=all_orders.ManualEnvironment(pool, "k:1"), part=1, is_leader=True)
    task = load_leader_task.LoadLeaderTask(member, lambda name: services[name])
    task.on_usage("r:1", {"mark": 1, "rows": replica_load.to_wire(loads)})
    return pool, task


def test_the_leader_estimates_each_service_of_its_part_separately():
    flat = {f"a{n}": replica_load.ReplicaLoad(requests=n, events=20, events_s=20 * 0.05) for n in range(1, 9)}
    steep = {f"b{n}": replica_load.ReplicaLoad(requests=n, events=20, events_s=20 * 0.05 * n) for n in range(1, 9)}
    pool, task = task_with({**flat, **steep}, {name: name[0] for name in {**flat, **steep}})
    for _ in range(60):
        task.split_load("a1", "decode", 12)
        pool.time += constants.LOAD_REPORT_INTERVAL_S + 0.01
        for sender, report in list(task.reports.reports.items()):
            task.reports.record(sender, report.loads)
    assert task.split_load("a1", "decode", 12)[2] == 12
    assert task.split_load("b1", "decode", 12)[2] < 6
    assert task.split_load("a1", "prefill", 12)[2] == constants.PREFILL_FULL_QUEUE_S


def test_the_event_numbers_of_other_routers_are_not_sent_to_routers():
    load = replica_load.ReplicaLoad(requests=2, events=20, events_s=1.0)
    pool, task = task_with({"a1": load}, {"a1": "a"})
    task.on_usage("r:2", {"mark": 2, "rows": {}})
    assert pool.waiting[-1][3]["rows"] == {"a1": load.to_router_wire()}


def test_too_few_events_are_not_used():
    loads = {f"a{n}": replica_load.ReplicaLoad(requests=n, events=1, events_s=0.05) for n in range(1, 9)}
    _pool, task = task_with(loads, dict.fromkeys(loads, "a"))
    assert task.split_load("a1", "decode", 12)[2] == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * 12)
