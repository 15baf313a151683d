"""Every simulated day, each with a fixed seed: every rule kept, service back in time.

More seeds: python -m tools.simulate --day all --seeds 1-50
"""

import pytest

import tools.proof_table as proof_table
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios
import tools.weight as weight


@pytest.mark.parametrize("name", list(scenarios.SCENARIOS))
def test_a_day_keeps_every_rule(name):
    broken, fleet = simulate.run_scenario(name, 1)
    assert broken == {}
    assert (
        proof_table.unexercised_rules(name, weight.weights(fleet, fleet.recovered_at)) == []
    )  # every rule had something to judge


@pytest.mark.parametrize(
    "name, seed",
    [
        ("freeze_router", 100),
        ("slow_links", 5),
        ("replica_dark", 2),
        ("keepers_swapped", 1),
        ("list_down", 200),
        ("replica_answers_broken", 202),
    ],
)
def test_a_seed_that_once_failed(name, seed):
    assert simulate.run_scenario(name, seed)[0] == {}


def test_a_seed_repeats_exactly():
    one, two = (simulate.run_scenario("anything", 2)[1] for _ in range(2))
    assert (one.rows, one.ledger, one.loop.steps) == (two.rows, two.ledger, two.loop.steps)
