"""Permits over links whose round trip is longer than the delay before a permit request is repeated."""

import pytest

import tests.permit_fleet as permit_fleet
import tools.simulator.network as network

RATE, BURST = 20.0, 10.0


@pytest.mark.parametrize("one_way_s", [0.002, 0.05, 0.09])
def test_a_tenant_below_its_limit_is_served_whatever_the_round_trip(monkeypatch, one_way_s):
    found = permit_fleet.PermitFleet("links", RATE, BURST, routers=4)
    monkeypatch.setattr(network, "MIN_DELAY_S", one_way_s)
    found.load(0.9 * RATE, 20.0)
    found.fleet.run(20.0 + permit_fleet.WAIT_TIMEOUT_S)
    assert found.count(200) >= 0.99 * len(found.rows) > 300
