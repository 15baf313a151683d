"""Runs simulated days over many seeds and says how to repeat each failure.

python -m tools.simulate --day kill_owner --seeds 1-50
python -m tools.simulate --day all --seeds 1-5
"""

import argparse
import sys
import traceback

import tools.judge as judge
import tools.simulator.day_base as day_base
import tools.simulator.days as days
import tools.simulator.end_of_day as end_of_day
import tools.simulator.fleet as fleet

BACK = 12.0         # s; service returns within this after the machines are back
GENTLE = ("calm", "polite_stops", "configuration_storm", "leaving", "list_down", "tenant_rush")    # only planned things
LENGTH = 20.0       # s; least length of a day's load
RATE = 8.0          # requests a second


def one(name, seed, deployment="patinetes", **shape):
    """Runs one day; returns (broken rules, fleet)."""
    f = fleet.SimFleet(f"{name}.{seed}", deployment, **shape)
    f.ready()
    back = days.DAYS[name](f)
    day_base.companions(f)
    length = max(LENGTH, (back or 0) + BACK + 6)
    start = f.loop.time
    f.load(RATE, length)
    f.run(length + 2)
    broken = end_of_day.close(f)
    if name in GENTLE:
        broken["nothing dropped"] = judge.nothing_dropped(f.rows)
    if name == "tenant_rush":
        broken["none starved"] = judge.none_starved(f.rows, f.plan["tenants"][0])
    broken = {rule: found for rule, found in broken.items() if found}
    if back is not None:
        late = unserved(f.rows, start + back + BACK)
        if late:
            broken["service returns"] = late
    return broken, f


def unserved(rows, since):
    by = {}
    for row in rows:
        if row["sent"] >= since:
            by.setdefault(row["id"], []).append(row)
    return [f"{name} at {rs[-1]['sent']:.2f}: {rs[-1]['end']} {rs[-1]['status']} {rs[-1].get('error', '')}"
            for name, rs in by.items() if rs[-1]["end"] != "whole"]


def seeds_of(text):
    low, dash, high = text.partition("-")
    return range(int(low), int(high or low) + 1)


def main():
    parser = argparse.ArgumentParser(description="simulated days over many seeds")
    parser.add_argument("--day", default="all", help="a day's name, several with commas, or all")
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--deployment", default="patinetes", choices=sorted(fleet.real_fleet.DEPLOYMENTS))
    args = parser.parse_args()
    names = list(days.DAYS) if args.day == "all" else args.day.split(",")
    for name in names:
        if name not in days.DAYS:
            parser.error(f"--day: no day is named {name!r}; there are {', '.join(days.DAYS)}")
    try:
        seeds = seeds_of(args.seeds)
    except ValueError:
        parser.error(f"--seeds: {args.seeds!r} is not first-last")
    bad = 0
    for name in names:
        failed = 0
        for seed in seeds:
            try:
                broken = one(name, seed, args.deployment)[0]
            except Exception:
                broken = {"crash": [traceback.format_exc()]}
            if broken:
                failed += 1
                print(f"FAILED {name} seed {seed}: python -m tools.simulate --day {name} --seeds {seed}"
                      f" --deployment {args.deployment}")
                for rule, found in broken.items():
                    print(f"    {rule}: {len(found)}, first: {found[0]}")
        print(f"{name}: {len(seeds) - failed} of {len(seeds)} seeds kept every rule", flush=True)
        bad += failed
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
