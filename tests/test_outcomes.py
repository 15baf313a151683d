"""Replicas that fail their requests: who is left out, who is not, and for how long."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.data_plane.outcomes as outcomes
import tests.platform_site as platform_site
import tests.test_delivery_placing as test_delivery_placing

STEADY = hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
Ended = outcomes.Ended


@pytest.mark.parametrize(
    "ended, left_out",
    [
        ({"a": Ended(0, 5), "b": Ended(5, 0)}, ["a"]),
        ({"a": Ended(0, 2), "b": Ended(5, 0)}, []),  # too few to prove anything
        ({"a": Ended(0, 5)}, []),  # there is no other
        ({"a": Ended(0, 5), "b": Ended(0, 0)}, ["a"]),
        ({"a": Ended(11, 9), "b": Ended(20, 0), "c": Ended(20, 0)}, ["a"]),  # fails less than half of them
        ({"a": Ended(100, 4), "b": Ended(100, 0), "c": Ended(100, 1)}, []),  # a few fail in good health
        ({n: Ended(1, 9) for n in "abcd"}, []),  # all alike: not the replicas
        ({"a": Ended(0, 9), "b": Ended(0, 9), "c": Ended(50, 0), "d": Ended(50, 0)}, ["a", "b"]),
    ],
)
def test_who_fails_far_more_than_the_others_of_its_pool(ended, left_out):
    assert sorted(outcomes.failing(ended)) == left_out


ENDED = strategies.builds(Ended, strategies.floats(0, 1000), strategies.floats(0, 1000))


@STEADY
@hypothesis.given(strategies.dictionaries(strategies.text(max_size=2), ENDED, max_size=9))
def test_at_most_half_of_a_pool_is_left_out_whatever_the_counts(ended):
    found = outcomes.failing(ended)
    assert len(found) <= len(ended) // 2 and set(found) <= set(ended)
    assert all(ended[name].failed >= constants.MIN_FAILED_REQUESTS for name in found)


def test_counts_fade_so_that_a_replica_left_out_is_tried_again():
    clock = [100.0]
    counts = outcomes.Outcomes(lambda: clock[0])
    for _ in range(8):
        counts.failed("a")
        counts.answered("b")
    assert outcomes.failing({n: counts.of(n) for n in "ab"}) == ["a"]
    clock[0] += 2 * constants.OUTCOME_HALF_LIFE_S
    assert counts.of("a").failed == pytest.approx(2.0)
    assert outcomes.failing({n: counts.of(n) for n in "ab"}) == []
    clock[0] += 2 * constants.MAX_HALF_LIVES * constants.OUTCOME_HALF_LIFE_S
    counts.answered("c")
    assert counts.of("a").failed < 1e-9 and set(counts.counts.sums) == {"c"}  # and what has faded away is forgotten


def test_what_other_routers_saw_fail_counts_here_too():
    one, pool = test_delivery_placing.placed(["p1", "d1", "d2", "d3"])
    told = {"d1": test_delivery_placing.usage(0), "d2": test_delivery_placing.usage(3)}
    told["d1"].failed, told["d2"].answered = 4.0, 4.0
    one.take_others(1, told)
    chosen = {
        one.pair(1, test_delivery_placing.DOCUMENT, "main", test_delivery_placing.ask()).writer.name for _ in range(4)
    }
    assert "d1" not in chosen  # though it has the least running
    pool.time += constants.LOAD_TTL_S + 0.1
    one.replicas.own_requests.clear()
    assert one.not_failing(["d1", "d2"]) == ["d1", "d2"]


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def test_a_replica_that_fails_all_its_requests_soon_gets_no_more(site, monkeypatch):
    monkeypatch.setattr(site.router.placing.outcomes.counts, "half_s", 1e9)  # however slow the machine
    host, (bad, *good) = site.service("ddd", engine=False, kind="repeatable", tries=1)
    bad.always = {"own": 500}
    statuses = [site.ask(host, prompt=False)[1].status for _ in range(60)]
    assert statuses.count(500) == len(bad.asked) <= 3


def test_replicas_that_all_fail_alike_go_on_being_asked(site):
    host, replicas = site.service("ddd", engine=False, kind="repeatable", tries=1)
    for replica in replicas:
        replica.always = {"own": 500}
    statuses = [site.ask(host, prompt=False)[1].status for _ in range(30)]
    assert statuses == [500] * 30 and all(replica.asked for replica in replicas)
