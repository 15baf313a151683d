"""Leases while changes go on: routers keep serving, and old configurations still end in time."""

import pytest

import mothshed.constants as constants
import tools.simulator.end_of_day as end_of_day
import tools.simulator.fleet as sim


def storm(f, count, gap):
    """Changes one after another; returns the moments at which a router had no lease."""
    without = []

    def watch():
        without.extend((f.loop.time, n) for n in f.names("route") if f.parts[n].lease.sequence() is None)
        f.later(0.004, watch)

    def change(n):
        f.apply(f"storm-{n}")
        if n < count:
            f.ops.sleep(gap)
            change(n + 1)

    watch()
    f.operator(lambda: change(1))
    f.run(count * (gap + 0.1) + 2)
    return without


@pytest.mark.parametrize("gap", [0.0, 0.05, 0.3, 0.7])
def test_no_router_is_without_a_lease_while_changes_go_on(gap):
    f = sim.SimFleet(f"storm-{gap}", routers=4, replicas=2)
    f.ready()
    f.run(1)
    assert storm(f, 30, gap) == []
    assert len(f.writes) == 31 and f.parts["route-1"].lease.active == 31
    assert end_of_day.close(f) == {}


@pytest.mark.parametrize("gap", [0.05, 0.5])
def test_asks_stay_bounded_by_the_short_beat(gap):
    f = sim.SimFleet(f"asks-{gap}", routers=2, replicas=2)
    f.ready()
    lease = f.parts["route-1"].lease
    before, began = lease.request_mark, f.loop.time
    storm(f, 20, gap)
    assert lease.request_mark - before <= (f.loop.time - began) / constants.SHORT_LEASE_RENEWAL_INTERVAL_S + 1
    before = lease.request_mark
    f.run(5)
    assert lease.request_mark - before <= 5 / constants.LEASE_RENEWAL_INTERVAL_S + 1
