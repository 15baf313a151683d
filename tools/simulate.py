"""Run simulated scenarios over many seeds and print how to repeat each failure.

python -m tools.simulate --day kill_owner --seeds 1-50
python -m tools.simulate --day all --seeds 1-5
"""

import argparse
import multiprocessing
import sys
import traceback

import tools.deployments as deployments
import tools.judge_traffic as judge_traffic
import tools.service as service
import tools.simulator.final_checks as final_checks
import tools.simulator.fleet as fleet_module
import tools.simulator.scenario_base as scenario_base
import tools.simulator.scenarios as scenarios

RECOVERY_S = 12.0  # s; service must have returned this long after the recovery of the machines
PLANNED_SCENARIOS = ("calm", "polite_stops", "configuration_storm", "leaving", "list_down")  # without unplanned faults
MIN_LOAD_S = 20.0  # s
TRAFFIC_START_S = 12.0  # s; with --size brief, traffic starts this long after the machines
REQUESTS_PER_S = 8.0


def fleet_options(deployment, size):
    plan = deployments.DEPLOYMENTS[deployment]
    return (
        {"routers": plan["machines"], "replicas": plan["replicas"], "keepers": plan["disks"]} if size == "brief" else {}
    )


def run_scenario(name, seed, deployment="patinetes", size="small", **shape):
    """Run one scenario; return (broken rules, fleet)."""
    fleet = fleet_module.SimFleet(
        f"{name}.{seed}",
        deployment,
        **{**fleet_options(deployment, size), **scenario_base.FLEET_OPTIONS.get(name, {}), **shape},
    )
    started_at = fleet.loop.time
    fleet.ready()
    if size == "brief":
        fleet.run(max(0.0, started_at + TRAFFIC_START_S - fleet.loop.time))
    recovery = scenarios.SCENARIOS[name](fleet)
    scenario_base.schedule_common_events(fleet)
    final_checks.sample_pool(fleet)
    length = max(MIN_LOAD_S, (recovery or 0) + RECOVERY_S + 6)
    start = fleet.loop.time
    fleet.load(fleet.plan["rate"] if size == "brief" else REQUESTS_PER_S, length)
    fleet.run(length + 2)
    broken = final_checks.settle_and_check(fleet)
    broken["nothing dropped"] = judge_traffic.nothing_dropped(
        fleet.rows,
        fleet.ledger,
        {n: m.fault_spans for n, m in fleet.machines.items()},
        {s["http"]: n for n, s in fleet.settings.items() if n.startswith("route")},
        fleet.names("keep"),
    )
    if name in PLANNED_SCENARIOS:
        broken["nothing bounced"] = judge_traffic.nothing_rejected(fleet.rows)
    broken["pool whole"] = final_checks.check_pool(fleet)
    broken["in time"] = service.in_time(
        fleet.rows, service.min_share(name, size), None if recovery is None else start + recovery + RECOVERY_S
    )
    if name == "tenant_rush":
        broken["none starved"] = judge_traffic.none_starved(fleet.rows, fleet.plan["tenants"][0])
    broken = {rule: found for rule, found in broken.items() if found}
    fleet.recovered_at = None if recovery is None else start + recovery + RECOVERY_S
    if recovery is not None:
        late = unserved(fleet.rows, start + recovery + RECOVERY_S)
        if late:
            broken["service returns"] = late
    return broken, fleet


def unserved(rows, since):
    rows_by_id = {}
    for row in rows:
        if row["sent"] >= since:
            rows_by_id.setdefault(row["id"], []).append(row)
    return [
        f"{name} at {row['sent']:.2f}: {row['end']} {row['status']} {row.get('error', '')}"
        for name, (*_, row) in rows_by_id.items()
        if row["end"] != "whole"
    ]


def parse_range(text):
    low, dash, high = text.partition("-")
    return range(int(low), int(high or low) + 1)


def run_job(job):
    """Return (job, broken rules) of one run; a crash counts as a broken rule. For a pool of processes."""
    name, seed, deployment, size = job
    try:
        return job, run_scenario(name, seed, deployment, size)[0]
    except Exception:
        return job, {"crash": [traceback.format_exc()]}


def run_jobs(jobs, count, call=run_job):
    """Run the jobs, several at once; yield call(job) in their order. A job is (day, seed, deployment, size)."""
    if count == 1:
        yield from map(call, jobs)
        return
    with multiprocessing.get_context("spawn").Pool(count, maxtasksperchild=20) as pool:
        yield from pool.imap(call, jobs)


def parse_seeds(parser, args):
    """Return the range of --seeds; exit with a usage error if --seeds or --jobs is invalid."""
    try:
        seeds = parse_range(args.seeds)
    except ValueError:
        parser.error(f"--seeds: {args.seeds!r} is not first-last")
    if args.jobs < 1 or not seeds:
        parser.error("--jobs and --seeds: expected at least one")
    return seeds


def parse_seeds_and_jobs(text, usual):
    """Parse the command line of a tool that takes only --seeds and --jobs."""
    parser = argparse.ArgumentParser(description=text)
    parser.add_argument("--seeds", default=usual, help="first-last")
    parser.add_argument("--jobs", type=int, default=1, help="runs at once, each in its own process")
    args = parser.parse_args()
    return parse_seeds(parser, args), args.jobs


def main():
    parser = argparse.ArgumentParser(description="run simulated scenarios over many seeds")
    parser.add_argument("--day", default="all", help="name of a scenario, several separated by commas, or all")
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--deployment", default="patinetes", choices=sorted(deployments.DEPLOYMENTS))
    parser.add_argument("--size", default="small", choices=["small", "brief"], help="brief: the deployment's own size")
    parser.add_argument("--jobs", type=int, default=1, help="scenarios run at once, each in its own process")
    args = parser.parse_args()
    names = list(scenarios.SCENARIOS) if args.day == "all" else args.day.split(",")
    for name in names:
        if name not in scenarios.SCENARIOS:
            parser.error(f"--day: no day is named {name!r}; there are {', '.join(scenarios.SCENARIOS)}")
    seeds = parse_seeds(parser, args)
    failed_total, failed = 0, 0
    for (name, seed, deployment, size), broken in run_jobs(
        [(n, s, args.deployment, args.size) for n in names for s in seeds], args.jobs
    ):
        if broken:
            failed += 1
            print(
                f"FAILED {name} seed {seed}: python -m tools.simulate --day {name} --seeds {seed}"
                f" --deployment {deployment} --size {size}"
            )
            for rule, found in broken.items():
                print(f"    {rule}: {len(found)}, first: {found[0]}")
        if seed == seeds[-1]:
            print(f"{name}: {len(seeds) - failed} of {len(seeds)} seeds kept every rule", flush=True)
            failed_total, failed = failed_total + failed, 0
    sys.exit(1 if failed_total else 0)


if __name__ == "__main__":
    main()
