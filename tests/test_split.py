"""Whom the split of a pool moves, where a change of part takes seconds."""

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


def split(count, readers, press, beats, pool=None, span=constants.ORDER_INTERVAL_S):
    """(beat, readers then) whenever their count changes, under a steady press: (reading, writing) per slot."""
    clock, seen = [100.0], [(0, readers)]
    one = service_part.Split(lambda: clock[0])
    roles = {f"r{n:02}": "prefill" if n < readers else "decode" for n in range(count)}
    for beat in range(1, beats + 1):
        usage = {n: (press[role != "prefill"] * 10, 0, 10) for n, role in roles.items()}
        roles = one.plan(pool or POOL, usage, roles)
        now = sum(r == "prefill" for r in roles.values())
        if now != seen[-1][1]:
            seen.append((beat, now))
        clock[0] += span
    return seen


@pytest.mark.parametrize("count", [2, 3, 4, 5, 8, 10, 21, 70])
def test_bounds_leave_both_sides_enough_where_a_change_is_dear(count):
    low, high = service_part.bounds(POOL, count)
    assert 1 <= low <= high <= count - 1 and count - high >= constants.MIN_DECODE_REPLICA_RATIO * count - 1e-9
    assert low >= int(constants.MIN_PREFILL_REPLICA_RATIO * count)


@pytest.mark.parametrize("press, goal", [((3.0, 0.1), 6), ((0.1, 3.0), 2)])
def test_a_lasting_press_moves_one_at_a_time_with_long_holds_and_stops_at_the_bound(press, goal):
    seen = split(10, 4, press, 200)
    assert seen[-1][1] == goal and [abs(a[1] - b[1]) for a, b in itertools.pairwise(seen)] == [1] * 2
    assert seen[1][0] == constants.MIN_SHIFT_CHECKS  # an overload, too, has to last
    assert (seen[2][0] - seen[1][0]) * constants.ORDER_INTERVAL_S > constants.MIN_ROLE_CHANGE_INTERVAL_S


@pytest.mark.parametrize("press, goal", [((3.0, 0.1), 14), ((0.1, 3.0), 6)])
def test_a_large_pool_moves_an_eighth_at_once_and_stops_at_the_bound(press, goal):
    seen = split(24, 10, press, 200)
    steps = [abs(after[1] - before[1]) for before, after in itertools.pairwise(seen)]
    assert seen[-1][1] == goal and steps[0] == 3 and max(steps) == 3 and sum(steps) == abs(goal - 10)
    beats = [beat for beat, _readers in seen[1:]]
    assert all(
        (b - a) * constants.ORDER_INTERVAL_S > constants.MIN_ROLE_CHANGE_INTERVAL_S
        for a, b in itertools.pairwise(beats)
    )


@pytest.mark.parametrize("fewer", [1, 2, 3])
def test_no_more_move_at_once_than_the_giving_side_bears(fewer):
    """Sixteen writers give up as many as leave the others below ROLE_CHANGE_MAX_LOAD_RATIO, at most three."""
    press = constants.ROLE_CHANGE_MAX_LOAD_RATIO * (16 - fewer) / 16 - 0.001
    assert split(24, 8, (3.0, press), constants.MIN_SHIFT_CHECKS) == [(0, 8), (constants.MIN_SHIFT_CHECKS, 8 + fewer)]


def test_one_is_given_up_only_where_the_giving_side_bears_it():
    bear = constants.ROLE_CHANGE_MAX_LOAD_RATIO * 5 / 6  # six writers, one of them going
    assert split(10, 4, (3.0, bear + 0.02), 100) == [(0, 4)]
    assert len(split(10, 4, (3.0, bear - 0.02), 100)) > 1
    assert split(2, 1, (3.0, 0.0), 100) == [(0, 1)] == split(2, 1, (0.0, 3.0), 100)  # never the last of a side


def test_where_a_change_is_cheap_an_overload_moves_one_sooner():
    cheap = {k: v for k, v in POOL.items() if k != "engine"}
    seen = split(10, 4, (3.0, 0.1), 20, cheap)
    assert seen[1][0] == constants.MIN_URGENT_SHIFT_CHECKS and seen[1][0] < constants.MIN_SHIFT_CHECKS


def test_a_press_that_comes_and_goes_moves_nobody():
    chance, one = random.Random(3), service_part.Split(lambda: 1e6)
    roles = {f"r{n}": "prefill" if n < 4 else "decode" for n in range(10)}
    before = dict(roles)
    for beat in range(60):
        press = 3.0 if beat % constants.MIN_SHIFT_CHECKS else 0.0
        usage = {n: (press * 10 if role == "prefill" else chance.random(), 0, 10) for n, role in roles.items()}
        roles = one.plan(POOL, usage, roles)
    assert roles == before


def test_a_broken_bound_is_mended_at_once():
    assert split(10, 1, (0.1, 0.1), 5)[1:] == [(1, 2)] and split(10, 9, (0.1, 0.1), 5)[1:] == [(1, 8), (2, 7), (3, 6)]
    assert split(4, 0, (0.0, 0.0), 3) == [(0, 0), (1, 1)]


@pytest.mark.parametrize("count", [1, 2, 3])
def test_where_few_are_left_one_always_writes(count):
    """A replica that writes can read a prompt by itself; one that reads serves nobody alone."""
    assert split(count, count, (0.0, 0.0), 4)[-1][1] == count // 2
    assert split(count, 0, (0.0, 0.0), 4)[-1][1] == (0 if count == 1 else 1)
    writers_first = {**POOL, "least_decode": count}
    assert split(count, count, (0.0, 0.0), 2 * count, writers_first)[-1][1] == 0


def test_a_pool_whose_writers_all_left_gets_one_at_the_next_look():
    one = service_part.Split(lambda: 100.0)
    usage = {name: (0, 0, 10) for name in ("r1", "r2")}
    roles = one.plan(POOL, usage, {"r1": "prefill", "r2": "prefill", "r3": "decode"})
    assert sorted(roles.values()) == ["decode", "prefill"]
