"""Every protection taken out, one at a time, to see the judge's rule break.

A rule that still holds with its protection gone is not proved by its day. The rows
of removed_protections.py name the protection, how it is taken out, the day that needs it and
the rule that must then break under one of a few seeds.

python -m tools.protections                        each on its own day; what broke
python -m tools.protections --days all --jobs 8    each on every day
"""

import argparse
import contextlib
import sys

import tools.removed_protections as removed_protections
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios
import tools.weakened as weakened

ROWS = removed_protections.ROWS
SEEDS = 12


def broken_by(name, day=None, seeds=SEEDS):
    """The first seed that breaks the row's rule on its day (or another), or None."""
    patch, own, rule = ROWS[name]
    for seed in range(1, 1 + seeds):
        weakened.KEPT.clear()
        with contextlib.ExitStack() as stack:
            stack.enter_context(patch())
            try:
                broken = simulate.one(day or own, seed)[0]
            except RuntimeError:
                continue  # not even ready: says nothing about the rule
        if rule in broken:
            return seed, broken[rule][0]
    return None


def try_day(job):
    name, day, seeds = job
    return name, day, broken_by(name, day, seeds)


def every_day(jobs, seeds):
    """Each protection taken out on every day: on which of them its rule was at risk."""
    print("| protection taken out | rule | days | broke on |\n|---|---|---|---|")
    hit, last, missed = [], list(scenarios.SCENARIOS)[-1], 0
    for name, day, broke in simulate.many([(n, d, seeds) for n in ROWS for d in scenarios.SCENARIOS], jobs, try_day):
        hit += [day] if broke else []
        if day == last:
            print(
                f"| {name} | {ROWS[name][2]} | {len(hit)} of {len(scenarios.SCENARIOS)} | {', '.join(hit)} |",
                flush=True,
            )
            missed, hit = missed + (not hit), []
    return missed


def main():
    parser = argparse.ArgumentParser(description="protections taken out, to see their rules break")
    parser.add_argument("--days", choices=["own", "all"], default="own", help="own: the day named for each")
    parser.add_argument("--seeds", type=int, default=1, help="with --days all: seeds tried on each day")
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    if args.seeds < 1 or args.jobs < 1:
        parser.error("--seeds and --jobs: expected at least one")
    if args.days == "all":
        sys.exit(1 if every_day(args.jobs, args.seeds) else 0)
    missed = 0
    for name, (_patch, day, rule) in ROWS.items():
        found = broken_by(name)
        missed += not found
        print(
            f"{'broke' if found else 'HELD '} without '{name}': {rule}, day {day}"
            + (f", seed {found[0]}: {found[1]}" if found else ""),
            flush=True,
        )
    sys.exit(1 if missed else 0)


if __name__ == "__main__":
    main()
