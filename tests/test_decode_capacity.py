"""From how many requests on a writer counts as full: learnt from any engine, assumed where nothing is observed."""

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


def true_full(growth, slots=SLOTS):
    """Where an engine whose idle time between events grows by this share per request counts as full."""
    most = (constants.DECODE_FULL_SLOWDOWN_RATIO - 1) / growth if growth else slots
    return min(slots, max(constants.MIN_DECODE_FULL_SLOT_RATIO * slots, most))


def observed(idle_s, growth, seconds, writers=6, noise=0.0, seed=1, load=(2, 30)):
    """The capacity after so many seconds of a service whose writers are loaded unevenly."""
    chance, clock = random.Random(seed), [100.0]
    capacity = decode_capacity.DecodeCapacity(lambda: clock[0])
    for _ in range(round(seconds / constants.LOAD_REPORT_INTERVAL_S)):
        clock[0] += constants.LOAD_REPORT_INTERVAL_S
        running = [chance.uniform(*load) for _ in range(writers)]
        capacity.observe((r, idle_s * (1 + growth * r) * (1 + chance.uniform(-noise, noise))) for r in running)
    return capacity


def test_without_an_observation_a_writer_is_full_at_the_usual_share_of_its_slots():
    capacity = decode_capacity.DecodeCapacity(lambda: 0.0)
    assert capacity.full_at(SLOTS) == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * SLOTS)
    capacity.observe([(3.0, 0.0)])  # no time between events is none
    assert capacity.full_at(12) == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * 12)


@STEADY
@hypothesis.given(
    strategies.floats(0.0005, 5.0),
    strategies.floats(0.0, 0.4),
    strategies.floats(0.0, 0.15),
    strategies.integers(0, 99),
)
def test_any_engine_is_found_within_a_fifth_after_ten_seconds(idle_s, growth, noise, seed):
    capacity = observed(idle_s, growth, 10.0, noise=noise, seed=seed)
    assert capacity.full_at(SLOTS) == pytest.approx(true_full(growth), rel=0.2)


def test_a_single_load_tells_no_slope_so_the_usual_share_stays():
    capacity = observed(0.05, 0.0, 30.0, load=(10, 10))
    assert capacity.full_at(SLOTS) == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * SLOTS, rel=0.01)


def test_an_engine_that_hardly_slows_down_is_full_with_all_its_slots_taken():
    assert observed(0.047, 0.005, 10.0, load=(1, 8)).full_at(12) == 12


def test_an_engine_that_slows_down_at_once_keeps_a_quarter_of_its_slots():
    assert observed(0.047, 1.0, 10.0).full_at(SLOTS) == constants.MIN_DECODE_FULL_SLOT_RATIO * SLOTS


def test_a_new_engine_is_found_after_the_former_one():
    capacity = observed(0.05, 0.1, 30.0)
    clock = [capacity.now()]
    capacity.now = lambda: clock[0]
    chance = random.Random(2)
    for _ in range(round(60 / constants.LOAD_REPORT_INTERVAL_S)):
        clock[0] += constants.LOAD_REPORT_INTERVAL_S
        capacity.observe((r, 0.05 * (1 + 0.03 * r)) for r in (chance.uniform(2, 30) for _ in range(6)))
    assert capacity.full_at(SLOTS) == pytest.approx(true_full(0.03), rel=0.25)


@STEADY
@hypothesis.given(
    strategies.lists(strategies.tuples(strategies.floats(0, 500), strategies.floats(0, 100)), max_size=30)
)
def test_whatever_is_observed_the_bounds_hold(samples):
    capacity = decode_capacity.DecodeCapacity(lambda: 0.0)
    capacity.observe(samples)
    assert constants.MIN_DECODE_FULL_SLOT_RATIO * SLOTS <= capacity.full_at(SLOTS) <= SLOTS


def test_a_row_without_events_is_as_short_as_before_and_read_by_all():
    load = replica_load.ReplicaLoad(requests=2, answered=3.0, failed=1.0, reading=[0, 0, 5])
    assert len(load.to_wire()) == 4 + constants.PREFILL_RANK_COUNT
    more = replica_load.ReplicaLoad(requests=2, answered=3.0, failed=1.0, reading=[0, 0, 5], events=6, events_s=0.3)
    assert replica_load.ReplicaLoad.from_wire(more.to_wire()) == more
    assert replica_load.ReplicaLoad.from_wire(more.to_router_wire()) == load


def duty_with(loads, services):
    pool = all_orders.Pool()
    member = types.SimpleNamespace(environment=all_orders.ManualEnvironment(pool, "k:1"), part=1, is_leader=True)
    duty = load_leader_task.LoadLeaderTask(member, lambda name: services[name])
    duty.on_usage("r:1", {"mark": 1, "rows": replica_load.to_wire(loads)})
    return pool, duty


def test_the_leader_learns_each_service_of_its_part_by_itself():
    flat = {f"a{n}": replica_load.ReplicaLoad(requests=n, events=20, events_s=20 * 0.05) for n in range(1, 9)}
    steep = {f"b{n}": replica_load.ReplicaLoad(requests=n, events=20, events_s=20 * 0.05 * n) for n in range(1, 9)}
    pool, duty = duty_with({**flat, **steep}, {name: name[0] for name in {**flat, **steep}})
    for _ in range(60):
        duty.split_load("a1", "decode", 12)
        pool.time += constants.LOAD_REPORT_INTERVAL_S + 0.01
        for sender, report in list(duty.reports.reports.items()):
            duty.reports.record(sender, report.loads)
    assert duty.split_load("a1", "decode", 12)[2] == 12
    assert duty.split_load("b1", "decode", 12)[2] < 6
    assert duty.split_load("a1", "prefill", 12)[2] == constants.PREFILL_FULL_QUEUE_S


def test_events_of_others_are_not_sent_to_routers():
    load = replica_load.ReplicaLoad(requests=2, events=20, events_s=1.0)
    pool, duty = duty_with({"a1": load}, {"a1": "a"})
    duty.on_usage("r:2", {"mark": 2, "rows": {}})
    assert pool.waiting[-1][3]["rows"] == {"a1": load.to_router_wire()}


def test_too_few_events_tell_nothing():
    loads = {f"a{n}": replica_load.ReplicaLoad(requests=n, events=1, events_s=0.05) for n in range(1, 9)}
    _pool, duty = duty_with(loads, dict.fromkeys(loads, "a"))
    assert duty.split_load("a1", "decode", 12)[2] == pytest.approx(constants.DECODE_FULL_SLOT_RATIO * 12)
