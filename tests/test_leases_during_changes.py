"""Leases during a series of changes: routers keep serving, and old configurations still end in time."""

import pytest

import mothshed.constants as constants
import tools.simulator.final_checks as final_checks
import tools.simulator.fleet as sim


def apply_changes(fleet, count, gap):
    """Apply changes in sequence; returns the times at which a router had no lease."""
    unleased = []

    def watch():
        unleased.extend(
            (fleet.loop.time, n) for n in fleet.names("route") if fleet.processes[n].lease.sequence() is None
        )
        fleet.call_later(0.004, watch)

    def change(n):
        fleet.apply(f"storm-{n}")
        if n < count:
            fleet.ops.sleep(gap)
            change(n + 1)

    watch()
    fleet.operator(lambda: change(1))
    fleet.run(count * (gap + 0.1) + 2)
    return unleased


@pytest.mark.parametrize("gap", [0.0, 0.05, 0.3, 0.7])
def test_routers_keep_their_leases_during_repeated_changes(gap):
    fleet = sim.SimFleet(f"storm-{gap}", routers=4, replicas=2)
    fleet.ready()
    fleet.run(1)
    assert apply_changes(fleet, 30, gap) == []
    assert len(fleet.writes) == 31 and fleet.processes["route-1"].lease.active == 31
    assert final_checks.settle_and_check(fleet) == {}


@pytest.mark.parametrize("gap", [0.05, 0.5])
def test_request_rate_is_bounded_by_the_short_interval(gap):
    fleet = sim.SimFleet(f"asks-{gap}", routers=2, replicas=2)
    fleet.ready()
    lease = fleet.processes["route-1"].lease
    before, began = lease.request_mark, fleet.loop.time
    apply_changes(fleet, 20, gap)
    assert lease.request_mark - before <= (fleet.loop.time - began) / constants.SHORT_LEASE_RENEWAL_INTERVAL_S + 1
    before = lease.request_mark
    fleet.run(5)
    assert lease.request_mark - before <= 5 / constants.LEASE_RENEWAL_INTERVAL_S + 1
