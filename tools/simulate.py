"""Runs simulated days over many seeds and says how to repeat each failure.

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

BACK = 12.0  # s; service returns within this after the machines are back
GENTLE = ("calm", "polite_stops", "configuration_storm", "leaving", "list_down")  # only planned things
LENGTH = 20.0  # s; least length of a day's load
START = 12.0  # s; the brief: traffic begins about this long after the machines start
RATE = 8.0  # requests a second


def shape_of(deployment, size):
    plan = deployments.DEPLOYMENTS[deployment]
    return (
        {"routers": plan["machines"], "replicas": plan["replicas"], "keepers": plan["disks"]} if size == "brief" else {}
    )


def one(name, seed, deployment="patinetes", size="small", **shape):
    """Runs one day; returns (broken rules, fleet)."""
    fleet = fleet_module.SimFleet(
        f"{name}.{seed}",
        deployment,
        **{**shape_of(deployment, size), **scenario_base.FLEET_OPTIONS.get(name, {}), **shape},
    )
    began = fleet.loop.time
    fleet.ready()
    if size == "brief":
        fleet.run(max(0.0, began + START - fleet.loop.time))
    back = scenarios.SCENARIOS[name](fleet)
    scenario_base.companions(fleet)
    final_checks.watch_pool(fleet)
    length = max(LENGTH, (back or 0) + BACK + 6)
    start = fleet.loop.time
    fleet.load(fleet.plan["rate"] if size == "brief" else RATE, length)
    fleet.run(length + 2)
    broken = final_checks.close(fleet)
    broken["nothing dropped"] = judge_traffic.nothing_dropped(
        fleet.rows,
        fleet.ledger,
        {n: m.hits for n, m in fleet.machines.items()},
        {s["http"]: n for n, s in fleet.settings.items() if n.startswith("route")},
        fleet.names("keep"),
    )
    if name in GENTLE:
        broken["nothing bounced"] = judge_traffic.nothing_rejected(fleet.rows)
    broken["pool whole"] = final_checks.pool_whole(fleet)
    broken["in time"] = service.in_time(
        fleet.rows, service.floor(name, size), None if back is None else start + back + BACK
    )
    if name == "tenant_rush":
        broken["none starved"] = judge_traffic.none_starved(fleet.rows, fleet.plan["tenants"][0])
    broken = {rule: found for rule, found in broken.items() if found}
    fleet.back = None if back is None else start + back + BACK
    if back is not None:
        late = unserved(fleet.rows, start + back + BACK)
        if late:
            broken["service returns"] = late
    return broken, fleet


def unserved(rows, since):
    by = {}
    for row in rows:
        if row["sent"] >= since:
            by.setdefault(row["id"], []).append(row)
    return [
        f"{name} at {rs[-1]['sent']:.2f}: {rs[-1]['end']} {rs[-1]['status']} {rs[-1].get('error', '')}"
        for name, rs in by.items()
        if rs[-1]["end"] != "whole"
    ]


def seeds_of(text):
    low, dash, high = text.partition("-")
    return range(int(low), int(high or low) + 1)


def try_one(job):
    """(job, broken rules) of one day, a crash included; for a pool of processes."""
    name, seed, deployment, size = job
    try:
        return job, one(name, seed, deployment, size)[0]
    except Exception:
        return job, {"crash": [traceback.format_exc()]}


def many(jobs, count, call=try_one):
    """Runs (day, seed, deployment, size) rows, several at once; yields what call(job) gives, in order."""
    if count == 1:
        yield from map(call, jobs)
        return
    with multiprocessing.get_context("spawn").Pool(count, maxtasksperchild=20) as pool:
        yield from pool.imap(call, jobs)


def checked_seeds(parser, args):
    """The range of --seeds; a bad one, an empty one or no job at all is the parser's one error."""
    try:
        seeds = seeds_of(args.seeds)
    except ValueError:
        parser.error(f"--seeds: {args.seeds!r} is not first-last")
    if args.jobs < 1 or not seeds:
        parser.error("--jobs and --seeds: expected at least one")
    return seeds


def seeds_and_jobs(text, usual):
    """The command line of a tool that only takes these two."""
    parser = argparse.ArgumentParser(description=text)
    parser.add_argument("--seeds", default=usual, help="first-last")
    parser.add_argument("--jobs", type=int, default=1, help="runs at once, each in a process of its own")
    args = parser.parse_args()
    return checked_seeds(parser, args), args.jobs


def main():
    parser = argparse.ArgumentParser(description="simulated days over many seeds")
    parser.add_argument("--day", default="all", help="a day's name, several with commas, or all")
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--deployment", default="patinetes", choices=sorted(deployments.DEPLOYMENTS))
    parser.add_argument("--size", default="small", choices=["small", "brief"], help="brief: the deployment's own size")
    parser.add_argument("--jobs", type=int, default=1, help="days run at once, each in a process of its own")
    args = parser.parse_args()
    names = list(scenarios.SCENARIOS) if args.day == "all" else args.day.split(",")
    for name in names:
        if name not in scenarios.SCENARIOS:
            parser.error(f"--day: no day is named {name!r}; there are {', '.join(scenarios.SCENARIOS)}")
    seeds = checked_seeds(parser, args)
    bad, failed = 0, 0
    for (name, seed, deployment, size), broken in many(
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
            bad, failed = bad + failed, 0
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
