"""Prints the table of service per scenario and kind of request.

python -m tools.service_table --seeds 1-3 --jobs 8 > docs/service.md
"""

import collections

import tools.deployments as deployments
import tools.service as service
import tools.simulate as simulate
import tools.simulator.scenarios as scenarios


def main():
    seeds, job_count = simulate.parse_seeds_and_jobs("service per scenario and kind of request", "1-3")
    print("| day | deployment | kind | asked | served | begun in 1 s | in time |\n|---|---|---|---|---|---|---|")
    jobs = [
        (name, seed, deployment, "brief")
        for name in scenarios.SCENARIOS
        for deployment in sorted(deployments.DEPLOYMENTS)
        for seed in seeds
    ]
    sums = collections.defaultdict(lambda: [0, 0, 0, 0])
    for (name, seed, deployment, _size), (_broken, table) in simulate.run_jobs(jobs, job_count, run_job):
        for kind, row in table.items():
            sums[kind] = [total + count for total, count in zip(sums[kind], row, strict=False)]
        if seed == seeds[-1]:
            for kind, (asked, *rest) in sorted(sums.items()):
                print(
                    f"| {name} | {deployment} | {kind} | {asked} | "
                    + " | ".join(f"{100 * count / asked:.1f} %" for count in rest)
                    + " |",
                    flush=True,
                )
            sums.clear()


def run_job(job):
    broken, fleet = simulate.run_scenario(*job)
    return job, (broken, dict(service.count_by_kind(fleet.rows)))


if __name__ == "__main__":
    main()
