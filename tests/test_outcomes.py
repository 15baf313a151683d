"""Replicas that fail their requests: which are excluded, which are not, and for how long."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.data_plane.outcomes as outcomes
import tests.platform_site as platform_site
import tests.test_delivery_placing as test_delivery_placing

STEADY = hypothesis.settings(derandomize=True, max_examples=300, deadline=None, database=None)
Counts = outcomes.OutcomeCounts


@pytest.mark.parametrize(
    "counts_by_replica, excluded",
    [
        ({"a": Counts(0, 5), "b": Counts(5, 0)}, ["a"]),
        ({"a": Counts(0, 2), "b": Counts(5, 0)}, []),  # too few to prove anything
        ({"a": Counts(0, 5)}, []),  # the pool has no other replica
        ({"a": Counts(0, 5), "b": Counts(0, 0)}, ["a"]),
        ({"a": Counts(11, 9), "b": Counts(20, 0), "c": Counts(20, 0)}, ["a"]),  # fails less than half of its requests
        ({"a": Counts(100, 4), "b": Counts(100, 0), "c": Counts(100, 1)}, []),  # healthy replicas fail a few requests
        ({name: Counts(1, 9) for name in "abcd"}, []),  # all fail alike, so the replicas are not the cause
        (
            {"a": Counts(0, 9), "b": Counts(0, 9), "c": Counts(50, 0), "d": Counts(50, 0)},
            ["a", "b"],
        ),
    ],
)
def test_replicas_that_fail_far_more_than_the_others_of_their_pool(counts_by_replica, excluded):
    assert sorted(outcomes.failing_replicas(counts_by_replica)) == excluded


COUNTS = strategies.builds(Counts, strategies.floats(0, 1000), strategies.floats(0, 1000))


@STEADY
@hypothesis.given(strategies.dictionaries(strategies.text(max_size=2), COUNTS, max_size=9))
def test_at_most_half_of_a_pool_is_excluded_whatever_the_counts(counts_by_replica):
    found = outcomes.failing_replicas(counts_by_replica)
    assert len(found) <= len(counts_by_replica) // 2 and set(found) <= set(counts_by_replica)
    assert all(counts_by_replica[name].failed >= constants.MIN_FAILED_REQUESTS for name in found)


def test_counts_decay_so_that_an_excluded_replica_is_tried_again():
    clock = [100.0]
    counts = outcomes.Outcomes(lambda: clock[0])
    for _ in range(8):
        counts.record_failed("a")
        counts.record_answered("b")
    assert outcomes.failing_replicas({name: counts.counts_of(name) for name in "ab"}) == ["a"]
    clock[0] += 2 * constants.OUTCOME_HALF_LIFE_S
    assert counts.counts_of("a").failed == pytest.approx(2.0)
    assert outcomes.failing_replicas({name: counts.counts_of(name) for name in "ab"}) == []
    clock[0] += 2 * constants.MAX_HALF_LIVES * constants.OUTCOME_HALF_LIFE_S
    counts.record_answered("c")
    # counts that decayed to nothing are dropped
    assert counts.counts_of("a").failed < 1e-9 and set(counts.counts.sums) == {"c"}


def test_failures_reported_by_other_routers_count():
    placement, pool = test_delivery_placing.make_placement(["p1", "d1", "d2", "d3"])
    loads = {"d1": test_delivery_placing.load(0), "d2": test_delivery_placing.load(3)}
    loads["d1"].failed, loads["d2"].answered = 4.0, 4.0
    placement.update_remote_loads(1, loads)
    document, request = test_delivery_placing.DOCUMENT, test_delivery_placing.make_request()
    chosen = {placement.reserve_pair(1, document, "main", request).decode_replica.name for _ in range(4)}
    assert "d1" not in chosen  # although it has the fewest requests
    pool.time += constants.LOAD_TTL_S + 0.1
    placement.replicas.own_requests.clear()
    assert placement.without_failing(["d1", "d2"]) == ["d1", "d2"]


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def test_a_replica_that_fails_all_requests_soon_gets_no_more(site, monkeypatch):
    monkeypatch.setattr(site.router.placement.outcomes.counts, "half_life_s", 1e9)  # no decay, however slow the machine
    host, (bad, *good) = site.service("ddd", engine=False, kind="repeatable", tries=1)
    bad.always = {"own": 500}
    statuses = [site.ask(host, prompt=False)[1].status for _ in range(60)]
    assert statuses.count(500) == len(bad.requests) <= 3


def test_replicas_that_all_fail_alike_still_get_requests(site):
    host, replicas = site.service("ddd", engine=False, kind="repeatable", tries=1)
    for replica in replicas:
        replica.always = {"own": 500}
    statuses = [site.ask(host, prompt=False)[1].status for _ in range(30)]
    assert statuses == [500] * 30 and all(replica.requests for replica in replicas)
