"""Print the table of docs/proof.md: each rule ("must never") against each scenario ("what fails").

python -m tools.proof_table --jobs 8         runs each scenario once and prints the table

A row is a scenario, named after its fault; a cell is the number of events that the rule judged in it (runs,
rejections, sends, orders, requests). A zero proves nothing and fails a test. A second table lists the protections,
each with the scenario in which its rule breaks once the protection is removed.
"""

import argparse

import tools.judged_events as judged_events
import tools.protections as protections
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios

SCENARIOS_BY_FAULT = {
    "crowds": ["crowd", "tenant_rush"],
    "traffic swings": ["traffic_swing"],
    "replicas crash": ["replica_crash", "prefill_dies_holding", "replica_answers_broken"],
    "replicas go dark": ["replica_dark"],
    "replicas lost for good": ["replica_lost"],
    "services replaced": ["rolling_replacement", "service_renamed", "small_pool_renamed", "leaving"],
    "one process killed": ["kill_router", "kill_owner", "order_owner_killed"],
    "many killed": ["kill_many", "kill_all"],
    "machines freeze": [
        "freeze_router",
        "freeze_in_connect",
        "freeze_in_write",
        "freeze_owner",
        "frozen_owner_with_company",
    ],
    "core machine back empty elsewhere": ["keeper_back_empty_elsewhere"],
    "control machines swapped": ["keepers_swapped"],
    "disks slow, stall": ["disk_slow", "disk_stalls"],
    "disks fill, fail": ["disk_full", "disk_sync_fails", "torn_tail"],
    "disks wiped after acknowledging": ["wiped_after_acknowledgement", "wiped_and_cut"],
    "clocks jump, run apart": ["test_clocks", "clocks_run_apart"],
    "core cut in two": ["core_cut", "owner_cut_off", "cut_after_staging", "owner_dies_staging", "router_loses_keepers"],
    "one machine cut off": ["one_cut_off", "one_way_cut"],
    "links slow": ["slow_links"],
    "held memory lapses": ["memory_lapses"],
    "configurations storm, race": ["configuration_storm", "configuration_race"],
    "two releases side by side": ["upgraded_and_back"],
    "planned stops": ["polite_stops", "calm", "list_down"],
    "closing fault": [
        "closing_" + end
        for end in ("kill_owner", "kill_keepers", "freeze", "cut", "full_disk", "failing_sync", "stall", "wipe", "race")
    ],
    "anything at once": ["anything"],
    "leader cut for twenty seconds": ["leader_cut_for_twenty_seconds"],
    "a loss right after a repair": [
        "losses_follow_repairs",
        "wipes_in_a_row",
        "planned_replacements",
        "power_lost_right_after_a_repair",
    ],
    "hundreds of changes": ["away_for_hundreds_of_changes"],
    "five and four keepers": ["five_keepers_lose_two", "five_keepers_cut_in_two", "four_keepers_stopped_in_turn"],
    "lists lag apart": ["router_cut_from_list", "lists_lag_apart", "freeze_over_leaving"],
    "control gone from its seeds": ["routers_restart_after_swap", "all_restart_after_swap", "kill_all_one_elsewhere"],
    "replicas refuse": ["replicas_bounce"],
}
RULES_BY_COLUMN = {
    "runs twice": "never twice",
    "refusal that ran": "bounced never ran",
    "foreign, torn or joined answer": "whole and own",
    "foreign memory": "own memory",
    "older after 2 s": "new after ack",
    "older after 0.25 s": "no fall back",
    "write lost or refused one kept": "writes kept",
    "leaving replica": "leaving",
    "planned drop": "nothing dropped",
    "extra tries": "few extras",
    "orders": "orders fenced",
    "service away": "service returns",
    "in time": "in time",
}
# These end with their fault: no request is sent twelve seconds after the recovery.
FINAL_FAULT_SCENARIOS = tuple(SCENARIOS_BY_FAULT["closing fault"])


def run_and_weigh(job):
    """Return (day, events judged by each rule, broken rules)."""
    broken, fleet = simulate.run_scenario(*job)
    return job[0], judged_events.count_by_rule(fleet, fleet.recovered_at), sorted(broken)


def unexercised_rules(day, weights):
    """Return the rules that judged no event of this scenario although they should have."""
    return [
        rule
        for rule in RULES_BY_COLUMN.values()
        if not weights[rule] and not (rule == "service returns" and day in FINAL_FAULT_SCENARIOS)
    ]


def format_row(day, weights):
    fault = next(name for name, names in SCENARIOS_BY_FAULT.items() if day in names)
    return f"| {fault} | {day} | " + " | ".join(str(weights[rule]) for rule in RULES_BY_COLUMN.values()) + " |"


def table_header():
    return ["| what fails | day | " + " | ".join(RULES_BY_COLUMN) + " |", "|---" * (len(RULES_BY_COLUMN) + 2) + "|"]


def protection_rows():
    lines = ["| protection taken out | rule that breaks | on the day |", "|---|---|---|"]
    return lines + [f"| {name} | {rule} | {day} |" for name, (patch, day, rule) in protections.ROWS.items()]


def unmatched_names():
    """Return names in the table without a scenario or test, and scenarios missing from the table."""
    named = {d for names in SCENARIOS_BY_FAULT.values() for d in names}
    return sorted((named - set(scenarios.SCENARIOS) - {"test_clocks"}) | (set(scenarios.SCENARIOS) - named))


def main():
    parser = argparse.ArgumentParser(description="events judged by each rule in each scenario")
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    if args.jobs < 1:
        parser.error("--jobs: expected at least one")
    names = [d for many in SCENARIOS_BY_FAULT.values() for d in many if d in scenarios.SCENARIOS]
    print("\n".join(table_header()))
    for day, weights, broken in simulate.run_jobs(
        [(n, 1, "patinetes", "brief") for n in names], args.jobs, run_and_weigh
    ):
        print(format_row(day, weights) + (f" BROKEN {broken}" if broken else ""), flush=True)
    print("\n" + "\n".join(protection_rows()))


if __name__ == "__main__":
    main()
