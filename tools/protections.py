"""Remove each protection in turn and check that its rule of the judge breaks.

A scenario proves a rule only if the rule breaks once its protection is removed. The rows of
removed_protections.py name the protection, its patch, the scenario that needs it and the rule that must then break
with one of a few seeds.

python -m tools.protections                        each in its own scenario; what broke
python -m tools.protections --days all --jobs 8    each in every scenario
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
    """Return (seed, first finding) of the first seed that breaks the row's rule in its or another scenario, or None."""
    patch, own_scenario, rule = ROWS[name]
    for seed in range(1, 1 + seeds):
        weakened.HANDLES.clear()
        with contextlib.ExitStack() as stack:
            stack.enter_context(patch())
            try:
                broken = simulate.run_scenario(day or own_scenario, seed)[0]
            except RuntimeError:
                continue  # the fleet was not ready, which does not concern the rule
        if rule in broken:
            return seed, broken[rule][0]
    return None


def run_job(job):
    name, day, seeds = job
    return name, day, find_breaking_seed(name, day, seeds)


def run_every_scenario(jobs, seeds):
    """Remove each protection in every scenario and print those in which its rule broke; return how many never broke."""
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
    parser = argparse.ArgumentParser(description="remove protections to check that their rules break")
    parser.add_argument(
        "--days", choices=["own", "all"], default="own", help="own: the scenario named for each protection"
    )
    parser.add_argument("--seeds", type=int, default=1, help="with --days all: seeds per scenario")
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
