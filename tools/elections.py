"""How long parts stay without a leader: after a leader's kill, and at birth.

python -m tools.elections --seeds 1-200 --jobs 8

Prints the spread of the time until a new leader of part 0 is ready, of the time
until every router has a lease again, and of the longest time any router had none; and,
after a loss of power of all, of the times from the last keeper's start to a leader and
to a lease at every router.
"""

import tools.simulate as simulate
import tools.simulator.fleet as fleet

STEP = 0.01  # s; how finely the simulator is looked at
MOST = 12.0  # s; given up after
BACK_LEAST, BACK_SPREAD = 0.6, 0.6  # s; how long a machine is away that lost power


def led(f, part=0):
    name = f.leader(part)
    return bool(name) and f.processes[name].members[part].ready


def until(f, good):
    """Seconds until good() holds, and the longest that any router was without a lease meanwhile."""
    start, bare, worst = f.loop.time, {}, 0.0
    while not good() and f.loop.time - start < MOST:
        f.run(STEP)
        for name in f.names("route"):
            if f.processes[name].lease.sequence() is None:
                worst = max(worst, f.loop.time - bare.setdefault(name, f.loop.time))
            else:
                bare.pop(name, None)
    return f.loop.time - start, worst


def one(seed, deployment="patinetes"):
    """(birth, leader again, leases again, longest without a lease) in seconds."""
    f = fleet.SimFleet(f"elections.{seed}", deployment, routers=10, replicas=2)
    birth = until(f, lambda: all(led(f, part) for part in range(4)))[0]
    f.ready()
    f.run(2 + f.random.random())
    f.kill(f.leader())
    again, bare = until(f, lambda: led(f))
    rest, more = until(
        f,
        lambda: all(
            f.processes[n].lease.leader
            and f.processes[n].lease.sequence()
            and f.machines[f.leader() or "outside"].alive
            and f.processes[n].lease.leader == f.settings[f.leader()]["address"]
            for n in f.names("route")
        ),
    )
    return birth, again, again + rest, bare + more


def power_lost(seed):
    """(leader again, leases again) in seconds after the last keeper's start, all having lost power at once."""
    f = fleet.SimFleet(f"power.{seed}", "patinetes", routers=10, replicas=2)
    f.ready()
    f.run(2 + f.random.random())
    names = f.names("keep") + f.names("route")
    starts = {name: BACK_LEAST + BACK_SPREAD * f.random.random() for name in names}
    last = max(starts[name] for name in f.names("keep"))
    for name in names:
        f.kill(name)
        f.call_later(starts[name], lambda name=name: f.start(name))
    f.run(last)
    again = until(f, lambda: led(f))[0]
    rest = until(f, lambda: all(f.machines[n].alive and f.processes[n].lease.sequence() for n in f.names("route")))[0]
    return again, again + rest


def call(job):
    return one(job[1]) + power_lost(job[1])


def quantile(times, share):
    """Give the time that this share of the sorted (time, seed) rows stays within."""
    return times[min(len(times) - 1, int(share * len(times)))][0]


def main():
    seeds, count = simulate.parse_seeds_and_jobs("times without a leader, simulated", "1-40")
    rows = list(simulate.run_jobs([("", s, "", "") for s in seeds], count, call))
    for at, name in enumerate(
        (
            "birth of all parts",
            "leader ready after a kill",
            "every router leased by it",
            "longest without a lease",
            "power lost: leader ready",
            "power lost: all leased",
        )
    ):
        times = sorted((row[at], seed) for row, seed in zip(rows, seeds, strict=False))
        print(
            f"{name:26} p50 {quantile(times, 0.5):.2f} s  "
            f"p90 {quantile(times, 0.9):.2f} s  p99 {quantile(times, 0.99):.2f} s  "
            f"worst {times[-1][0]:.2f} s (seed {times[-1][1]})"
        )


if __name__ == "__main__":
    main()
