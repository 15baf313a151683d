"""Limits in a simulated fleet whose keepers and routers die and restart: neither exceeded nor enforced early."""

import pytest

import tests.permit_fleet as permit_fleet

RATE, BURST = 20.0, 20.0
WINDOWS_S = (0.5, 1.0, 5.0)


def schedule_failure(found, failure):
    """Schedule the failures in the middle of the load."""
    fleet = found.fleet
    leader = fleet.leader(permit_fleet.PART)
    if failure == "leader dies":
        fleet.call_later(2.0, lambda: fleet.kill(leader))
        fleet.call_later(5.0, lambda: fleet.start(leader))
    if failure == "leaders die in turn":
        for at in (2.0, 5.0, 8.0):
            fleet.call_later(at, lambda: fleet.kill(fleet.leader(permit_fleet.PART) or leader))
            fleet.call_later(at + 2.0, lambda: [fleet.start(name) for name in fleet.names("keep")])
    if failure == "all keepers die":
        fleet.call_later(2.0, lambda: [fleet.kill(name) for name in fleet.names("keep")])
        fleet.call_later(3.0, lambda: [fleet.start(name) for name in fleet.names("keep")])
    if failure == "routers die":
        for name in fleet.names("route")[1:]:
            fleet.call_later(3.0, lambda name=name: fleet.kill(name))
            fleet.call_later(4.0, lambda name=name: fleet.start(name))


@pytest.mark.parametrize("failure", ["none", "leader dies", "leaders die in turn", "all keepers die", "routers die"])
def test_a_tenant_far_over_its_limit_never_exceeds_it(failure):
    found = permit_fleet.PermitFleet(f"limit-{failure}", RATE, BURST, routers=4)
    schedule_failure(found, failure)
    found.load(8 * RATE, 10.0)
    found.fleet.run(10.0 + permit_fleet.WAIT_TIMEOUT_S)
    assert max(found.max_excess(window_s) for window_s in WINDOWS_S) <= 0
    assert found.count(200) > 4 * RATE and found.count(429) > 0


def test_a_tenant_below_its_limit_is_not_refused_while_its_load_moves_between_routers():
    rate = 2 * RATE
    found = permit_fleet.PermitFleet("below", rate, BURST, routers=8)
    found.load(0.9 * rate, 30.0)
    found.fleet.run(30.0 + permit_fleet.WAIT_TIMEOUT_S)
    assert found.count(200) == len(found.rows) >= 1000
