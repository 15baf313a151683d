"""Which replicas the split of a pool moves between the roles, where a role change takes seconds."""

import itertools
import random

import pytest

import mothshed.constants as constants
import mothshed.control_plane.service_part as service_part

POOL = {
    "selector": {},
    "least_prefill": 1,
    "least_decode": 1,
    "shift": True,
    "prefill_share": 0.4,
    "engine": {"slots": 8},
}


def split(count, prefill_count, ratios, checks, pool=None, span=constants.ORDER_INTERVAL_S):
    """Return (check, prefill replicas) at each change of that count, under steady load ratios of both roles."""
    clock, seen = [100.0], [(0, prefill_count)]
    split_plan = service_part.Split(lambda: clock[0])
    roles = {f"r{n:02}": "prefill" if n < prefill_count else "decode" for n in range(count)}
    for check in range(1, checks + 1):
        loads = {n: (ratios[role != "prefill"] * 10, 0, 10) for n, role in roles.items()}
        roles = split_plan.plan(pool or POOL, loads, roles)
        now = sum(r == "prefill" for r in roles.values())
        if now != seen[-1][1]:
            seen.append((check, now))
        clock[0] += span
    return seen


@pytest.mark.parametrize("count", [2, 3, 4, 5, 8, 10, 21, 70])
def test_bounds_leave_both_roles_enough_replicas_where_role_changes_are_slow(count):
    low, high = service_part.bounds(POOL, count)
    assert 1 <= low <= high <= count - 1 and count - high >= constants.MIN_DECODE_REPLICA_RATIO * count - 1e-9
    assert low >= int(constants.MIN_PREFILL_REPLICA_RATIO * count)


@pytest.mark.parametrize("ratios, expected", [((3.0, 0.1), 6), ((0.1, 3.0), 2)])
def test_a_lasting_overload_moves_one_replica_at_a_time_at_long_intervals_up_to_the_bound(ratios, expected):
    seen = split(10, 4, ratios, 200)
    assert seen[-1][1] == expected and [abs(a[1] - b[1]) for a, b in itertools.pairwise(seen)] == [1] * 2
    assert seen[1][0] == constants.MIN_SHIFT_CHECKS  # an overload must last as long, too
    assert (seen[2][0] - seen[1][0]) * constants.ORDER_INTERVAL_S > constants.MIN_ROLE_CHANGE_INTERVAL_S


@pytest.mark.parametrize("ratios, expected", [((3.0, 0.1), 14), ((0.1, 3.0), 6)])
def test_a_large_pool_moves_an_eighth_at_once_up_to_the_bound(ratios, expected):
    seen = split(24, 10, ratios, 200)
    steps = [abs(after[1] - before[1]) for before, after in itertools.pairwise(seen)]
    assert seen[-1][1] == expected and steps[0] == 3 and max(steps) == 3 and sum(steps) == abs(expected - 10)
    checks = [check for check, _prefill_count in seen[1:]]
    assert all(
        (b - a) * constants.ORDER_INTERVAL_S > constants.MIN_ROLE_CHANGE_INTERVAL_S
        for a, b in itertools.pairwise(checks)
    )


@pytest.mark.parametrize("moved", [1, 2, 3])
def test_no_more_replicas_move_at_once_than_their_role_can_spare(moved):
    """Sixteen decode replicas lose as many as leave the others below ROLE_CHANGE_MAX_LOAD_RATIO, at most three."""
    ratio = constants.ROLE_CHANGE_MAX_LOAD_RATIO * (16 - moved) / 16 - 0.001
    assert split(24, 8, (3.0, ratio), constants.MIN_SHIFT_CHECKS) == [(0, 8), (constants.MIN_SHIFT_CHECKS, 8 + moved)]


def test_a_replica_moves_only_if_its_role_can_spare_it():
    limit = constants.ROLE_CHANGE_MAX_LOAD_RATIO * 5 / 6  # six decode replicas, one of them moving
    assert split(10, 4, (3.0, limit + 0.02), 100) == [(0, 4)]
    assert len(split(10, 4, (3.0, limit - 0.02), 100)) > 1
    assert split(2, 1, (3.0, 0.0), 100) == [(0, 1)] == split(2, 1, (0.0, 3.0), 100)  # never the last one of a role


def test_an_overload_moves_a_replica_sooner_where_role_changes_are_fast():
    fast_change = {k: v for k, v in POOL.items() if k != "engine"}
    seen = split(10, 4, (3.0, 0.1), 20, fast_change)
    assert seen[1][0] == constants.MIN_URGENT_SHIFT_CHECKS and seen[1][0] < constants.MIN_SHIFT_CHECKS


def test_an_intermittent_overload_moves_no_replica():
    rng, split_plan = random.Random(3), service_part.Split(lambda: 1e6)
    roles = {f"r{n}": "prefill" if n < 4 else "decode" for n in range(10)}
    before = dict(roles)
    for check in range(60):
        ratio = 3.0 if check % constants.MIN_SHIFT_CHECKS else 0.0
        loads = {n: (ratio * 10 if role == "prefill" else rng.random(), 0, 10) for n, role in roles.items()}
        roles = split_plan.plan(POOL, loads, roles)
    assert roles == before


def test_a_violated_bound_is_corrected_at_the_next_check():
    assert split(10, 1, (0.1, 0.1), 5)[1:] == [(1, 2)] and split(10, 9, (0.1, 0.1), 5)[1:] == [(1, 8), (2, 7), (3, 6)]
    assert split(4, 0, (0.0, 0.0), 3) == [(0, 0), (1, 1)]


@pytest.mark.parametrize("count", [1, 2, 3])
def test_a_small_pool_always_keeps_a_decode_replica(count):
    """A decode replica can also prefill; a prefill replica can't serve a request alone."""
    assert split(count, count, (0.0, 0.0), 4)[-1][1] == count // 2
    assert split(count, 0, (0.0, 0.0), 4)[-1][1] == (0 if count == 1 else 1)
    decode_first = {**POOL, "least_decode": count}
    assert split(count, count, (0.0, 0.0), 2 * count, decode_first)[-1][1] == 0


def test_a_pool_that_lost_its_decode_replicas_gets_one_at_the_next_check():
    split_plan = service_part.Split(lambda: 100.0)
    loads = {name: (0, 0, 10) for name in ("r1", "r2")}
    roles = split_plan.plan(POOL, loads, {"r1": "prefill", "r2": "prefill", "r3": "decode"})
    assert sorted(roles.values()) == ["decode", "prefill"]
