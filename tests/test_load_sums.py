"""The sums of load reports: equal to a full recomputation, at a cost independent of the number of routers."""

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.constants as constants
import mothshed.control_plane.load_sums as load_sums
import mothshed.replicas.replica_load as replica_load

STEADY = hypothesis.settings(derandomize=True, max_examples=200, deadline=None, database=None)
LOAD = strategies.builds(
    replica_load.ReplicaLoad,
    requests=strategies.integers(0, 9),
    out_s=strategies.sampled_from([0.0, 0.0, 0.5, 2.0]),
    answered=strategies.integers(0, 9).map(lambda n: n / 4),
    failed=strategies.integers(0, 9).map(lambda n: n / 4),
    reading=strategies.lists(
        strategies.integers(0, 9), min_size=constants.PREFILL_RANK_COUNT, max_size=constants.PREFILL_RANK_COUNT
    ),
    events=strategies.integers(0, 9),
    events_s=strategies.integers(0, 9).map(lambda n: n / 8),
)
ROUTERS, REPLICAS = ("r:1", "r:2", "r:3", "r:4"), ("a", "b", "c")
STEP = strategies.tuples(
    strategies.sampled_from([0.0, 0.25, 1.0]),  # seconds that pass before
    strategies.sampled_from(ROUTERS),
    strategies.dictionaries(strategies.sampled_from(REPLICAS), LOAD),
)


def recomputed(reports, now, except_router):
    """Return the sums by adding up every report."""
    total = {}
    for sender, (at, loads) in reports.items():
        if sender != except_router and now - at < constants.LOAD_TTL_S:
            for name, load in loads.items():
                total.setdefault(name, replica_load.ReplicaLoad()).add(load, now - at)
    return total


def nonzero_rows(loads):
    """Return the rows that aren't all zero."""
    return {name: pytest.approx(load.to_wire()) for name, load in loads.items() if load.has_values()}


@STEADY
@hypothesis.given(strategies.lists(STEP, max_size=20))
def test_the_incremental_sums_equal_a_full_recomputation(steps):
    clock, reports = [100.0], {}
    sums = load_sums.LoadSums(lambda: clock[0])
    for span, sender, loads in steps:
        clock[0] += span
        sums.record(sender, loads)
        reports[sender] = (clock[0], loads)
        for except_router in ("", *ROUTERS):
            found = {name: load for name, load in sums.totals_without(except_router).items() if load.has_values()}
            expected = nonzero_rows(recomputed(reports, clock[0], except_router))
            assert {name: load.to_wire() for name, load in found.items()} == expected


def test_nothing_remains_of_routers_that_stopped_reporting():
    clock = [100.0]
    sums = load_sums.LoadSums(lambda: clock[0])
    sums.record("r:1", {"a": replica_load.ReplicaLoad(3, 0.5, answered=0.1)})
    clock[0] += constants.LOAD_TTL_S
    assert sums.totals_without() == {}
    assert not (sums.reports or sums.totals or sums.excluded_until or +sums.reporters)


@pytest.mark.parametrize("routers", [50, 400])
def test_a_report_costs_the_same_however_many_routers_there_are(routers, monkeypatch):
    sums, calls = load_sums.LoadSums(lambda: 100.0), []
    own = {name: replica_load.ReplicaLoad(1) for name in REPLICAS}
    for number in range(routers):
        sums.record(f"r:{number}", own)
    real = load_sums.add_scaled
    monkeypatch.setattr(load_sums, "add_scaled", lambda *rest: (calls.append(1), real(*rest)))
    sums.record("r:0", own)
    assert sums.totals_without("r:0")["a"].requests == routers - 1
    assert len(calls) == 3 * len(REPLICAS)  # removes the last report, adds this one, subtracts it for the reply
