"""The pace of reading, learnt from prefills: any engine, outliers, slow replicas, replaced pools."""

import random

import pytest

import mothshed.common.constants as constants
import mothshed.data_plane.reading_profile as reading_profile

DOZENS = 60  # prefills after which the figures must stand
PACES = [constants.READ_PACE * factor for factor in (0.01, 0.1, 0.5, 1, 3, 8.5, 30, 100)]


def prefills(pace, base_s, seed, count=DOZENS, outliers=0.0, slow=()):
    """(replica, tokens, seconds) of prefills by an engine; outliers: share that takes 3 to 30 times as long."""
    chance = random.Random(f"{pace}/{base_s}/{seed}")
    middle = max(4.0 * base_s * pace, 500.0)  # prompts whose reading counts beside the base
    for number in range(count):
        replica = f"r{number % 8}"
        tokens = chance.lognormvariate(0.0, 0.8) * middle
        seconds = base_s * chance.uniform(0.9, 1.2) + tokens / pace * chance.uniform(0.95, 1.05)
        if chance.random() < outliers:
            seconds *= chance.uniform(3, 30)
        yield replica, tokens, seconds * (4 if replica in slow else 1)


def learnt(*words, **more):
    profile = reading_profile.ReadingProfile()
    for replica, tokens, seconds in prefills(*words, **more):
        profile.measured(replica, tokens, seconds)
    return profile


@pytest.mark.parametrize("seed", range(3))
@pytest.mark.parametrize("base_s", [0.0005, 0.005, 0.05])
@pytest.mark.parametrize("pace", PACES)
def test_any_engine_is_learnt_within_a_fifth_after_some_dozens_of_prefills(pace, base_s, seed):
    profile = learnt(pace, base_s, seed)
    assert profile.tokens_per_s == pytest.approx(pace, rel=0.2)
    middle = max(4.0 * base_s * pace, 500.0)
    assert profile.base_s + profile.reading_s("r", middle) == pytest.approx(base_s + middle / pace, rel=0.2)
    assert profile.base_s == pytest.approx(base_s, rel=0.35, abs=0.05 * middle / pace)


@pytest.mark.parametrize("seed", range(5))
@pytest.mark.parametrize("pace", PACES)
def test_a_tenth_of_outliers_moves_the_pace_by_less_than_a_fifth(pace, seed):
    assert learnt(pace, 0.005, seed, outliers=0.1).tokens_per_s == pytest.approx(pace, rel=0.2)


@pytest.mark.parametrize("pace", PACES)
def test_a_replica_that_turns_slow_is_told_from_the_others_and_does_not_move_their_pace(pace):
    profile = learnt(pace, 0.005, 1, count=80, slow=("r3",))
    assert profile.tokens_per_s == pytest.approx(pace, rel=0.2)
    assert profile.slowness("r3") == pytest.approx(4, rel=0.35)
    assert {profile.slowness(f"r{n}") for n in range(8) if n != 3} == {1.0}
    assert profile.reading_s("r3", 1000) > 2.5 * profile.reading_s("r1", 1000)
    profile.forget("r3")
    assert profile.slowness("r3") == 1.0


def test_before_the_first_samples_the_usual_figures_hold():
    profile = reading_profile.ReadingProfile()
    for replica, tokens, seconds in prefills(1e6, 0.001, 1, count=constants.PROFILE_LEAST - 1):
        profile.measured(replica, tokens, seconds)
    assert (profile.tokens_per_s, profile.base_s) == (constants.READ_PACE, constants.READ_BASE)


@pytest.mark.parametrize("old, new", [(PACES[0], PACES[-1]), (PACES[-1], PACES[0])])
def test_a_pool_whose_replicas_are_replaced_by_others_is_learnt_anew(old, new):
    profile = learnt(old, 0.005, 1)
    for replica, tokens, seconds in prefills(new, 0.005, 2):
        profile.measured(replica, tokens, seconds)
    assert profile.tokens_per_s == pytest.approx(new, rel=0.2)


@pytest.mark.parametrize("tokens", [0, 1, 5000])
@pytest.mark.parametrize("seconds", [0.0, 0.004, 3.0])
def test_prompts_of_one_length_give_figures_that_explain_their_time(tokens, seconds):
    profile = reading_profile.ReadingProfile()
    for _ in range(DOZENS):
        profile.measured("r", tokens, seconds)
    assert profile.tokens_per_s > 0 and profile.base_s >= 0
    assert profile.base_s + profile.reading_s("r", tokens) == pytest.approx(max(seconds, 0.0001), rel=0.01, abs=0.02)


def test_pools_are_learnt_apart():
    profiles = reading_profile.ReadingProfiles()
    for replica, tokens, seconds in prefills(1e6, 0.001, 1):
        profiles.of("fast").measured(replica, tokens, seconds)
    assert profiles.of("fast").tokens_per_s == pytest.approx(1e6, rel=0.2)
    assert profiles.of("other").tokens_per_s == constants.READ_PACE
