"""Leaving replicas and late knowledge: hints, lists that lag, sleepers; and a birth that is disturbed."""

import pytest

import mothshed.constants as constants
import mothshed.replicas.known_replicas as replicas
import mothshed.transport.constants as transport_constants
import mothshed.transport.gossip as gossip
import tests.all_orders as all_orders
import tools.simulator.end_of_day as end_of_day
import tools.simulator.fleet as sim

NAMES = [f"r{n:03}" for n in range(100)]  # more than one record's hints hold
SAID = {"engine": "e", "role": "prefill", "run": 0, "wait": 0, "slots": 4, "keys": [], "standing": 0}


def reader(pool, address):
    found = replicas.Replicas(all_orders.ManualEnvironment(pool, address), "", None)
    talk = gossip.Gossip(found.environment, address, "route", "z", [], found)
    return found, talk


def read(found, leaving=()):
    found.update_list(
        {n: {"url": "", "cell": "z", "service": "s", "labels": {}, "leaving": n in leaving} for n in NAMES}
    )
    found.list_attempted_at = found.environment.now()
    for n in NAMES:
        found.update_condition(n, found.environment.now(), 0, SAID)


def test_a_leaving_hint_passes_a_full_record_and_outlasts_older_readings():
    pool = all_orders.Pool()
    (near, talk), (far, other) = reader(pool, "a"), reader(pool, "b")
    read(near, {"r099"})
    read(far)
    assert "r099" in far.usable({})
    rows = talk.hints()
    assert len(rows) == transport_constants.MAX_RECORD_HINTS
    for row in rows:
        other.apply_hint(row)
    assert "r099" not in far.usable({})
    for _ in range(4):
        pool.time += 1
        read(far)  # its own list lags: still shown ready
        assert "r099" not in far.usable({}) and len(far.usable({})) == len(NAMES) - 1
    read(near)  # ready again, and nobody says otherwise any more
    pool.time += constants.LEAVING_MARK_TTL_S
    read(far)
    assert "r099" in far.usable({}) and not any("leaving" in row for row in talk.hints())


def test_a_sleeper_places_nothing_before_it_has_asked_the_list_again():
    pool = all_orders.Pool()
    found = reader(pool, "a")[0]
    read(found)
    pool.time += constants.LIST_ATTEMPT_MAX_AGE_S + 0.1
    for n in NAMES:
        found.update_condition(n, pool.time, 0, SAID)
    assert found.usable({}) == {}
    found.list_attempted_at = pool.time
    assert len(found.usable({})) == len(NAMES)


@pytest.mark.parametrize("at", [0.05, 0.3, 0.52, 0.55, 0.6, 0.8, 1.0, 1.3])
def test_a_first_member_wiped_amid_birth_leaves_a_whole_group(at):
    f = sim.SimFleet(f"birth-{at}", routers=1, replicas=2)
    f.run(at)
    f.kill("keep-1")
    f.wipe("keep-1")
    f.run(0.4)
    f.start("keep-1")
    f.ready()
    f.run(3)
    assert end_of_day.close(f) == {}
