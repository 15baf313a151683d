"""Every simulated scenario with a fixed seed: all rules hold and service returns in time.

More seeds: python -m tools.simulate --day all --seeds 1-50
"""

import pytest

import tools.judged_events as judged_events
import tools.proof_table as proof_table
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios


@pytest.mark.parametrize("name", list(scenarios.SCENARIOS))
def test_every_rule_holds_in_each_scenario(name):
    broken, fleet = simulate.run_scenario(name, 1)
    assert broken == {}
    assert (
        proof_table.unexercised_rules(name, judged_events.count_by_rule(fleet, fleet.recovered_at)) == []
    )  # each rule judged some event


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
def test_every_rule_holds_for_seeds_of_earlier_failures(name, seed):
    assert simulate.run_scenario(name, seed)[0] == {}


def test_the_same_seed_gives_the_same_run():
    first, second = (simulate.run_scenario("anything", 2)[1] for _ in range(2))
    assert (first.rows, first.ledger, first.loop.steps) == (second.rows, second.ledger, second.loop.steps)
