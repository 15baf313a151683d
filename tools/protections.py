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


def find_breaking_seed(name, day=None, seeds=SEEDS):
    """The first seed that breaks the row's rule on its day (or another), or None."""
    patch, own_scenario, rule = ROWS[name]
    for seed in range(1, 1 + seeds):
        weakened.HANDLES.clear()
        with contextlib.ExitStack() as stack:
            stack.enter_context(patch())
            try:
                broken = simulate.run_scenario(day or own_scenario, seed)[0]
            except RuntimeError:
                continue  # not even ready: says nothing about the rule
        if rule in broken:
            return seed, broken[rule][0]
    return None


def run_job(job):
    name, day, seeds = job
    return name, day, find_breaking_seed(name, day, seeds)


def run_every_scenario(jobs, seeds):
    """Each protection taken out on every day: on which of them its rule was at risk."""
    print("| protection taken out | rule | days | broke on |\n|---|---|---|---|")
    broken_on, last, not_broken = [], list(scenarios.SCENARIOS)[-1], 0
    for name, day, broke in simulate.run_jobs(
        [(n, d, seeds) for n in ROWS for d in scenarios.SCENARIOS], jobs, run_job
    ):
        broken_on += [day] if broke else []
        if day == last:
            print(
                f"| {name} | {ROWS[name][2]} | {len(broken_on)} of {len(scenarios.SCENARIOS)} |"
                f" {', '.join(broken_on)} |",
                flush=True,
            )
            not_broken, broken_on = not_broken + (not broken_on), []
    return not_broken


def main():
    parser = argparse.ArgumentParser(description="protections taken out, to see their rules break")
    parser.add_argument("--days", choices=["own", "all"], default="own", help="own: the day named for each")
    parser.add_argument("--seeds", type=int, default=1, help="with --days all: seeds tried on each day")
    parser.add_argument("--jobs", type=int, default=1)
    args = parser.parse_args()
    if args.seeds < 1 or args.jobs < 1:
        parser.error("--seeds and --jobs: expected at least one")
    if args.days == "all":
        sys.exit(1 if run_every_scenario(args.jobs, args.seeds) else 0)
    not_broken = 0
    for name, (_patch, day, rule) in ROWS.items():
        found = find_breaking_seed(name)
        not_broken += not found
        print(
            f"{'broke' if found else 'HELD '} without '{name}': {rule}, day {day}"
            + (f", seed {found[0]}: {found[1]}" if found else ""),
            flush=True,
        )
    sys.exit(1 if not_broken else 0)


if __name__ == "__main__":
    main()
