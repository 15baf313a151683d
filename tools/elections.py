"""Measures how long parts are without a leader after a leader is killed and at bootstrap.

python -m tools.elections --seeds 1-200 --jobs 8

Prints the spread of the time until a new leader of part 0 is ready, of the time
until every router has a lease again, and of the longest time any router had none; and,
after a power loss of all machines, of the times from the last keeper's start to a leader and
to a lease at every router.
"""

import tools.simulate as simulate
import tools.simulator.fleet as fleet_module

POLL_INTERVAL_S = 0.01  # how often the state of the simulator is checked
MAX_WAIT_S = 12.0  # time limit of a wait
MIN_RESTART_DELAY_S, RESTART_DELAY_SPREAD_S = 0.6, 0.6  # how long a machine is down after a power loss


def has_ready_leader(fleet, part=0):
    name = fleet.leader(part)
    return bool(name) and fleet.processes[name].members[part].ready


def wait_until(fleet, is_done):
    """Return the seconds until is_done() holds, and the longest time that a router had no lease meanwhile."""
    start, unleased_since, worst = fleet.loop.time, {}, 0.0
    while not is_done() and fleet.loop.time - start < MAX_WAIT_S:
        fleet.run(POLL_INTERVAL_S)
        for name in fleet.names("route"):
            if fleet.processes[name].lease.sequence() is None:
                worst = max(worst, fleet.loop.time - unleased_since.setdefault(name, fleet.loop.time))
            else:
                unleased_since.pop(name, None)
    return fleet.loop.time - start, worst


def measure_election(seed, deployment="patinetes"):
    """Return (bootstrap, leader again, leases again, longest without a lease) in seconds."""
    fleet = fleet_module.SimFleet(f"elections.{seed}", deployment, routers=10, replicas=2)
    bootstrap = wait_until(fleet, lambda: all(has_ready_leader(fleet, part) for part in range(4)))[0]
    fleet.ready()
    fleet.run(2 + fleet.random.random())
    fleet.kill(fleet.leader())
    leader_time, unleased_time = wait_until(fleet, lambda: has_ready_leader(fleet))
    lease_time, more_unleased_time = wait_until(
        fleet,
        lambda: all(
            fleet.processes[name].lease.leader
            and fleet.processes[name].lease.sequence()
            and fleet.machines[fleet.leader() or "outside"].alive
            and fleet.processes[name].lease.leader == fleet.settings[fleet.leader()]["address"]
            for name in fleet.names("route")
        ),
    )
    return bootstrap, leader_time, leader_time + lease_time, unleased_time + more_unleased_time


def measure_power_loss(seed):
    """Return (leader again, leases again) in seconds after the last keeper's start; all lose power at once."""
    fleet = fleet_module.SimFleet(f"power.{seed}", "patinetes", routers=10, replicas=2)
    fleet.ready()
    fleet.run(2 + fleet.random.random())
    names = fleet.names("keep") + fleet.names("route")
    starts = {name: MIN_RESTART_DELAY_S + RESTART_DELAY_SPREAD_S * fleet.random.random() for name in names}
    last = max(starts[name] for name in fleet.names("keep"))
    for name in names:
        fleet.kill(name)
        fleet.call_later(starts[name], lambda name=name: fleet.start(name))
    fleet.run(last)
    leader_time = wait_until(fleet, lambda: has_ready_leader(fleet))[0]
    lease_time = wait_until(
        fleet,
        lambda: all(
            fleet.machines[name].alive and fleet.processes[name].lease.sequence() for name in fleet.names("route")
        ),
    )[0]
    return leader_time, leader_time + lease_time


def run_job(job):
    return measure_election(job[1]) + measure_power_loss(job[1])


def quantile(times, fraction):
    """Return the time within which this fraction of the sorted (time, seed) rows lies."""
    return times[min(len(times) - 1, int(fraction * len(times)))][0]


def main():
    seeds, job_count = simulate.parse_seeds_and_jobs("times without a leader, simulated", "1-40")
    rows = list(simulate.run_jobs([("", seed, "", "") for seed in seeds], job_count, run_job))
    for column, name in enumerate(
        (
            "bootstrap of all parts",
            "leader ready after a kill",
            "every router leased by it",
            "longest without a lease",
            "power lost: leader ready",
            "power lost: all leased",
        )
    ):
        times = sorted((row[column], seed) for row, seed in zip(rows, seeds, strict=False))
        print(
            f"{name:26} p50 {quantile(times, 0.5):.2f} s  "
            f"p90 {quantile(times, 0.9):.2f} s  p99 {quantile(times, 0.99):.2f} s  "
            f"worst {times[-1][0]:.2f} s (seed {times[-1][1]})"
        )


if __name__ == "__main__":
    main()
