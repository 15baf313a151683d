"""Tests for small fleets of the load model: records and bytes by fleet size. Times are not checked."""

import subprocess
import sys

import pytest

import mothshed.constants as constants
import mothshed.transport.constants as transport_constants
import tools.capacity as capacity
import tools.load_model.design as design
import tools.load_model.fleet as fleet_module
import tools.load_model.parts as parts
import tools.load_model.sweeps as sweeps
import tools.load_model.trials as trials


def small_size(routers=16, replicas=24, requests=0.0):
    return design.Size(routers=routers, replicas=replicas, models=3, tenants=6, requests=requests)


@pytest.fixture(scope="module")
def steady():
    return {count: trials.steady(small_size(count)) for count in (16, 24, 32, 48)}


def test_the_traffic_of_a_router_does_not_grow_with_the_number_of_routers(steady):
    sent = [figures["router"]["sent records"] for figures in steady.values()]
    assert max(sent) < 1.05 * min(sent)
    sent_bytes = [figures["router"]["sent bytes"] for figures in steady.values()]
    assert max(sent_bytes) < 1.05 * min(sent_bytes)


def test_every_node_renews_its_lease_at_the_leader_in_each_interval(steady):
    asks_per_s = 1 / constants.LEASE_RENEWAL_INTERVAL_S
    assert {count: figures["state"]["asks at the leader"] for count, figures in steady.items()} == {
        count: asks_per_s * (count + 2) for count in steady
    }
    assert {count: figures["state"]["leaseholders"] for count, figures in steady.items()} == {
        count: count + 3 for count in steady
    }


def test_the_gossip_view_stays_bounded_without_faults(steady):
    for figures in steady.values():
        assert (
            figures["state"]["neighbours"] <= transport_constants.MAX_VIEW_NEIGHBOURS
            and figures["state"]["faults"] == 0
        )


def test_a_change_takes_effect_everywhere_in_time(steady):
    for count, figures in steady.items():
        assert figures["change"]["in force after"] < design.IN_FORCE_S
        assert figures["change"]["news records"] >= count + 2


def test_one_node_polls_the_replica_list_and_its_updates_do_not_grow_with_the_fleet(steady):
    list_bytes = {count: trials.steady(small_size(6, count))["router"]["got bytes, list"] for count in (12, 24, 36, 48)}
    assert max(list_bytes.values()) <= 1.05 * min(list_bytes.values()) and min(list_bytes.values()) > 0
    asked = [figures["state"]["list pages asked"] for figures in steady.values()]
    assert max(asked) <= 2 / constants.LIST_POLL_INTERVAL_S and min(asked) > 0  # one reader, one page


def test_the_document_size_is_linear_in_the_number_of_tenants():
    size = {count: parts.documents(count)["document bytes"] for count in (10, 20, 30, 40)}
    assert size[20] - size[10] == size[30] - size[20] == size[40] - size[30]


def test_load_sums_depend_on_busy_replicas_and_not_on_routers():
    """The load sums sent to a router depend on the number of busy replicas, not on the number of reporting routers."""
    figures = {count: trials.steady(small_size(count, 24, 30.0))["router"] for count in (12, 24)}
    assert abs(figures[24]["got bytes, usage"] / figures[12]["got bytes, usage"] - 1) < 0.15
    assert figures[12]["sent records, usage duty"] == figures[24]["sent records, usage duty"]


def test_a_partitioned_region_loses_its_leases_and_the_others_continue():
    south_cut = trials.region_cut(routers=9)
    assert south_cut["leased in the cut region at the end"] == 0
    assert south_cut["leased outside at the end"] == south_cut["routers outside"]
    assert south_cut["in force outside after"] < design.IN_FORCE_S
    north_cut = trials.region_cut(routers=9, shared=True, whose="north")
    assert north_cut["leased outside at the end"] == 0 and north_cut["in force outside after"] is None


def test_a_modelled_request_gets_a_complete_answer():
    figures = parts.requests(24, events=3)
    assert figures["answered"] and figures["request"] > 0


def test_the_design_size_matches_its_constants():
    pages = design.list_pages(design.Size())
    assert len(pages) == -(-design.REPLICAS // design.PAGE_ROWS) and len(set(design.ZONE_NAMES)) == design.ZONES
    assert len(design.document(design.Size())["routes"]) == design.TENANTS
    assert fleet_module.REDRAW_INTERVAL_S == constants.LOAD_REPORT_INTERVAL_S  # new random loads once per report


def test_every_slope_has_at_least_four_sizes():
    for table in (sweeps.FULL, sweeps.SMALL):
        used = {sweep for name, sweep, path, unit in sweeps.SLOPES if sweep in table}
        assert all(len(table[sweep][2]) >= 4 for sweep in used)
        assert used <= set(sweeps.DESIGN)


@pytest.mark.parametrize(
    "arguments, message", [(["--only", "nothing"], "no sweep is named nothing"), (["--jobs", "9"], "--jobs")]
)
def test_bad_arguments_are_named(arguments, message):
    done = subprocess.run([sys.executable, "-m", "tools.capacity", *arguments], capture_output=True, text=True)
    assert done.returncode == 2 and message in " ".join((done.stdout + done.stderr).split())


def test_a_failed_trial_is_an_error():
    with pytest.raises(capacity.TrialError, match="no_such"):
        capacity.run_trial("trials", "no_such", {})
