"""Leaving replicas: hints, lagging lists, and routers that were suspended; and a disturbed group bootstrap."""

import pytest

import mothshed.constants as constants
import mothshed.replicas.known_replicas as replicas
import mothshed.transport.constants as transport_constants
import mothshed.transport.gossip as gossip
import tests.all_orders as all_orders
import tools.simulator.final_checks as final_checks
import tools.simulator.fleet as sim

NAMES = [f"r{n:03}" for n in range(100)]  # more than fit into the hints of one record
CONDITION = {"engine": "e", "role": "prefill", "run": 0, "wait": 0, "slots": 4, "keys": [], "standing": 0}


def make_router(pool, address):
    known_replicas = replicas.Replicas(all_orders.ManualEnvironment(pool, address), "", None)
    near_gossip = gossip.Gossip(known_replicas.environment, address, "route", "z", [], known_replicas)
    return known_replicas, near_gossip


def observe(known_replicas, leaving=()):
    known_replicas.update_list(
        {n: {"url": "", "cell": "z", "service": "s", "labels": {}, "leaving": n in leaving} for n in NAMES}
    )
    known_replicas.list_attempted_at = known_replicas.environment.now()
    for n in NAMES:
        known_replicas.update_condition(n, known_replicas.environment.now(), 0, CONDITION)


def test_a_leaving_hint_takes_precedence_in_a_full_record_and_over_older_lists():
    pool = all_orders.Pool()
    (near, near_gossip), (far, far_gossip) = make_router(pool, "a"), make_router(pool, "b")
    observe(near, {"r099"})
    observe(far)
    assert "r099" in far.usable({})
    rows = near_gossip.hints()
    assert len(rows) == transport_constants.MAX_RECORD_HINTS
    for row in rows:
        far_gossip.apply_hint(row)
    assert "r099" not in far.usable({})
    for _ in range(4):
        pool.time += 1
        observe(far)  # its own list lags and still shows the replica as ready
        assert "r099" not in far.usable({}) and len(far.usable({})) == len(NAMES) - 1
    observe(near)  # ready again, and no hint contradicts it
    pool.time += constants.LEAVING_MARK_TTL_S
    observe(far)
    assert "r099" in far.usable({}) and not any("leaving" in row for row in near_gossip.hints())


def test_a_suspended_router_places_nothing_until_it_has_read_the_list_again():
    pool = all_orders.Pool()
    known_replicas = make_router(pool, "a")[0]
    observe(known_replicas)
    pool.time += constants.LIST_ATTEMPT_MAX_AGE_S + 0.1
    for n in NAMES:
        known_replicas.update_condition(n, pool.time, 0, CONDITION)
    assert known_replicas.usable({}) == {}
    known_replicas.list_attempted_at = pool.time
    assert len(known_replicas.usable({})) == len(NAMES)


@pytest.mark.parametrize("at", [0.05, 0.3, 0.52, 0.55, 0.6, 0.8, 1.0, 1.3])
def test_a_group_is_complete_after_an_initial_member_is_wiped_during_bootstrap(at):
    f = sim.SimFleet(f"birth-{at}", routers=1, replicas=2)
    f.run(at)
    f.kill("keep-1")
    f.wipe("keep-1")
    f.run(0.4)
    f.start("keep-1")
    f.ready()
    f.run(3)
    assert final_checks.settle_and_check(f) == {}
