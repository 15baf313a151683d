"""Long runs: a simulated fleet with repeated faults, and a real fleet that is monitored for growth.

python -m tools.soak simulated --minutes 20 --seeds 1-8 --jobs 8
python -m tools.soak real --seconds 240 --deployment patinetes

The simulated run injects a fault every forty seconds at size `brief` and checks the
rules over the whole run. The real one samples each daemon's memory, threads, open files
and data folder after a warm-up and at the end.
"""

import argparse
import os
import pathlib
import shutil
import sys
import tempfile
import threading

import tools.deployments as deployments
import tools.fleet_run as fleet_run
import tools.recorded as recorded
import tools.simulate as simulate
import tools.simulator.final_checks as final_checks
import tools.simulator.scenarios as scenarios

FAULT_SCENARIOS = (
    "kill_router",
    "kill_owner",
    "freeze_router",
    "freeze_owner",
    "replica_crash",
    "replica_dark",
    "core_cut",
    "one_way_cut",
    "router_loses_keepers",
    "memory_lapses",
    "slow_links",
    "configuration_storm",
    "configuration_race",
    "wiped_after_acknowledgement",
    "disk_stalls",
    "disk_full",
    "kill_many",
    "order_owner_killed",
)
FAULT_INTERVAL_S = 40.0  # between two faults; each ends within 15 s
WARM_UP_SHARE = 0.4  # share of a real run that is warm-up


def run_simulated(job):
    minutes, seed, deployment, size = job
    fleet = simulate.fleet_module.SimFleet(f"soak.{seed}", deployment, **simulate.fleet_options(deployment, size))
    fleet.ready()
    injected = []

    def inject_fault():
        name = fleet.random.choice(FAULT_SCENARIOS)
        injected.append(name)
        fleet.id_suffix = f"/{len(injected)}"  # a reused request id would be reported as already accepted
        scenarios.SCENARIOS[name](fleet)
        if len(injected) * FAULT_INTERVAL_S < minutes * 60:
            fleet.call_later(FAULT_INTERVAL_S, inject_fault)

    fleet.call_later(5, inject_fault)
    fleet.load(fleet.plan["rate"], minutes * 60)
    fleet.run(minutes * 60 + FAULT_INTERVAL_S)
    broken = final_checks.settle_and_check(fleet)
    served = sum(rows[-1]["end"] == "whole" for rows in recorded.attempts_by_id(fleet.rows).values())
    tables = {
        "kept for neighbours": max(len(fleet.processes[name].backup_releases.entries) for name in fleet.names("route")),
        "frees left": max(fleet.processes[name].handle_releases.count_pending() for name in fleet.names("route")),
        "log entries": max(
            len(member.log.entries) for name in fleet.names("keep") for member in fleet.processes[name].members
        ),
        "documents": max(len(fleet.processes[name].members[0].machine.docs) for name in fleet.names("keep")),
    }
    return job, broken, (len(injected), len(recorded.attempts_by_id(fleet.rows)), served, len(fleet.writes), tables)


def sample_daemons(fleet):
    """Map each daemon to (KiB resident, threads, open files, KiB in its data folder)."""
    samples = {}
    for name, settings in fleet.settings.items():
        pid = fleet.processes[name].pid
        try:
            rows = dict(line.split(":", 1) for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines())
            files = len(os.listdir(f"/proc/{pid}/fd"))
        except OSError:
            continue
        folder = pathlib.Path(settings.get("data", "/nowhere"))
        size = sum(file.stat().st_size for file in folder.iterdir() if file.exists()) // 1024 if folder.exists() else 0
        samples[name] = (int(rows["VmRSS"].split()[0]), int(rows["Threads"]), files, size)
    return samples


def run_real(seconds, deployment):
    """Run a real fleet with steady configuration changes; print what grew after the warm-up."""
    samples, stop = [], threading.Event()

    def watch(fleet):
        while not stop.wait(seconds / 40):
            samples.append(sample_daemons(fleet))

    faults = ",".join(f"{second}:config" for second in range(3, int(seconds) - 5, 4))
    folder = tempfile.mkdtemp(prefix="mothshed-soak-")

    def on_serving(fleet):
        threading.Thread(target=watch, args=(fleet,), daemon=True).start()

    try:
        rules, rows, ledger = fleet_run.run(folder, deployment, seconds, None, faults, 1, on_serving=on_serving)
    finally:
        stop.set()
        shutil.rmtree(folder, ignore_errors=True)
    warm, final = samples[int(WARM_UP_SHARE * len(samples))], samples[-1]
    print(
        "| daemon | resident KiB, warm | at the end | threads | | open files | | data KiB | |\n"
        "|---|---|---|---|---|---|---|---|---|"
    )
    for name in sorted(final):
        print(
            f"| {name} | "
            + " | ".join(f"{before} | {after}" for before, after in zip(warm[name], final[name], strict=False))
            + " |"
        )
    return {rule: found for rule, found in rules.items() if found}


def main():
    parser = argparse.ArgumentParser(description="long runs")
    parser.add_argument("kind", choices=["simulated", "real"])
    parser.add_argument("--minutes", type=float, default=20)
    parser.add_argument("--seeds", default="1-2")
    parser.add_argument("--jobs", type=int, default=1)
    parser.add_argument("--seconds", type=float, default=240)
    parser.add_argument("--deployment", default="patinetes", choices=sorted(deployments.DEPLOYMENTS))
    args = parser.parse_args()
    seeds = simulate.parse_seeds(parser, args)
    if args.minutes < 1 or args.seconds < 30:
        parser.error("--minutes: at least 1; --seconds: at least 30")
    failures = 0
    if args.kind == "real":
        broken = run_real(args.seconds, args.deployment)
        failures, rows = len(broken), [("", broken, "")]
    else:
        rows = simulate.run_jobs(
            [(args.minutes, seed, args.deployment, "brief") for seed in seeds], args.jobs, run_simulated
        )
    for job, broken, summary in rows:
        if summary:
            count, requests, served, writes, tables = summary
            print(
                f"{job[2]} seed {job[1]}: {args.minutes:.0f} min, {count} faults, {requests} requests, "
                f"{served / requests:.1%} served, "
                f"{writes} documents; at the end " + ", ".join(f"{name} {count}" for name, count in tables.items()),
                flush=True,
            )
        failures += bool(broken)
        for rule, found in broken.items():
            print(f"    BROKEN {rule}: {len(found)}, first: {found[0]}")
    sys.exit(1 if failures else 0)


if __name__ == "__main__":
    main()
