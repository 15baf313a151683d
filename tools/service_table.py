"""The table of service per day and kind of request.

python -m tools.service_table --seeds 1-3 --jobs 8 > docs/service.md
"""

import collections

import tools.deployments as deployments
import tools.service as service
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios


def main():
    seeds, count = simulate.parse_seeds_and_jobs("service per day and kind of request", "1-3")
    print("| day | deployment | kind | asked | served | begun in 1 s | in time |\n|---|---|---|---|---|---|---|")
    jobs = [(n, s, d, "brief") for n in scenarios.SCENARIOS for d in sorted(deployments.DEPLOYMENTS) for s in seeds]
    sums = collections.defaultdict(lambda: [0, 0, 0, 0])
    for (name, seed, deployment, _size), (_broken, table) in simulate.run_jobs(jobs, count, day_figures):
        for kind, row in table.items():
            sums[kind] = [a + b for a, b in zip(sums[kind], row, strict=False)]
        if seed == seeds[-1]:
            for kind, (asked, *rest) in sorted(sums.items()):
                print(
                    f"| {name} | {deployment} | {kind} | {asked} | "
                    + " | ".join(f"{100 * n / asked:.1f} %" for n in rest)
                    + " |",
                    flush=True,
                )
            sums.clear()


def day_figures(job):
    broken, f = simulate.run_scenario(*job)
    return job, (broken, dict(service.figures(f.rows)))


if __name__ == "__main__":
    main()
