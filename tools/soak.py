"""Long runs: a simulated one through fault after fault, and a real fleet watched for growth.

python -m tools.soak simulated --minutes 20 --seeds 1-8 --jobs 8
python -m tools.soak real --seconds 240 --deployment patinetes

The simulated run breaks something every forty seconds at the brief's size and is
judged as a whole. The real one samples each daemon's memory, threads, open files
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

FAULTS = (
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
GAP = 40.0  # s between two faults; each heals within fifteen
WARM = 0.4  # share of a real run that counts as warming up


def simulated(job):
    minutes, seed, deployment, size = job
    f = simulate.fleet_module.SimFleet(f"soak.{seed}", deployment, **simulate.fleet_options(deployment, size))
    f.ready()
    done = []

    def hurt():
        name = f.random.choice(FAULTS)
        done.append(name)
        f.id_suffix = f"/{len(done)}"  # an id used again would be answered as accepted before
        scenarios.SCENARIOS[name](f)
        if len(done) * GAP < minutes * 60:
            f.call_later(GAP, hurt)

    f.call_later(5, hurt)
    f.load(f.plan["rate"], minutes * 60)
    f.run(minutes * 60 + GAP)
    broken = final_checks.settle_and_check(f)
    whole = sum(rows[-1]["end"] == "whole" for rows in recorded.attempts_by_id(f.rows).values())
    tables = {
        "kept for neighbours": max(len(f.parts[n].backup_releases.entries) for n in f.names("route")),
        "frees left": max(f.parts[n].handle_releases.count_pending() for n in f.names("route")),
        "log entries": max(len(m.log.entries) for n in f.names("keep") for m in f.parts[n].members),
        "documents": max(len(f.parts[n].members[0].machine.docs) for n in f.names("keep")),
    }
    return job, broken, (len(done), len(recorded.attempts_by_id(f.rows)), whole, len(f.writes), tables)


def sample(fleet):
    """Map each daemon to (KiB resident, threads, open files, KiB in its data folder)."""
    found = {}
    for name, settings in fleet.settings.items():
        pid = fleet.processes[name].pid
        try:
            rows = dict(line.split(":", 1) for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines())
            files = len(os.listdir(f"/proc/{pid}/fd"))
        except OSError:
            continue
        folder = pathlib.Path(settings.get("data", "/nowhere"))
        size = sum(p.stat().st_size for p in folder.iterdir() if p.exists()) // 1024 if folder.exists() else 0
        found[name] = (int(rows["VmRSS"].split()[0]), int(rows["Threads"]), files, size)
    return found


def real(seconds, deployment):
    """Runs a fleet through changes all along; prints what grew after the warm-up."""
    samples, stop = [], threading.Event()

    def watch(fleet):
        while not stop.wait(seconds / 40):
            samples.append(sample(fleet))

    faults = ",".join(f"{at}:config" for at in range(3, int(seconds) - 5, 4))
    folder = tempfile.mkdtemp(prefix="mothshed-soak-")

    def on_serving(fleet):
        threading.Thread(target=watch, args=(fleet,), daemon=True).start()

    try:
        rules, rows, ledger = fleet_run.run(folder, deployment, seconds, None, faults, 1, on_serving=on_serving)
    finally:
        stop.set()
        shutil.rmtree(folder, ignore_errors=True)
    early, late = samples[int(WARM * len(samples))], samples[-1]
    print(
        "| daemon | resident KiB, warm | at the end | threads | | open files | | data KiB | |\n"
        "|---|---|---|---|---|---|---|---|---|"
    )
    for name in sorted(late):
        print(f"| {name} | " + " | ".join(f"{a} | {b}" for a, b in zip(early[name], late[name], strict=False)) + " |")
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
    bad = 0
    if args.kind == "real":
        broken = real(args.seconds, args.deployment)
        bad, rows = len(broken), [("", broken, "")]
    else:
        rows = simulate.run_jobs([(args.minutes, s, args.deployment, "brief") for s in seeds], args.jobs, simulated)
    for job, broken, said in rows:
        if said:
            count, asked, whole, writes, tables = said
            print(
                f"{job[2]} seed {job[1]}: {args.minutes:.0f} min, {count} faults, {asked} requests, "
                f"{whole / asked:.1%} served, "
                f"{writes} documents; at the end " + ", ".join(f"{k} {n}" for k, n in tables.items()),
                flush=True,
            )
        bad += bool(broken)
        for rule, found in broken.items():
            print(f"    BROKEN {rule}: {len(found)}, first: {found[0]}")
    sys.exit(1 if bad else 0)


if __name__ == "__main__":
    main()
