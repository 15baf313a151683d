"""What many changes of the configuration cost the keepers, with one of them away meanwhile.

python -m tools.changes --counts 50,200,1000

Prints, for each number of changes: bytes that keepers send to each other, while a
follower is down and from its return until it has caught up; the entries and bytes of
the log in memory; bytes on the disk; the size of the snapshot; the time to catch up.
Simulated: the product's own keepers over a network that keeps a count of bytes.
"""

import argparse
import dataclasses
import json

import mothshed.transport.records as records
import tools.simulator.fleet as fleet

GAP = 0.05  # s; between two changes
SETTLE = 3.0  # s; after the last change, before the follower is back
STEP = 0.01  # s; how finely the simulator is looked at
MOST = 20.0  # s; catching up is given up after


@dataclasses.dataclass(frozen=True)
class Cost:
    """Figures of one run; sizes in bytes, `caught_up` in seconds."""

    changes: int
    sent_while_away: int
    sent_to_catch_up: int
    entries: int
    log: int
    disk: int
    snapshot: int
    caught_up: float


class ByteCount:
    """Counts the bytes of records between keepers; it takes the place of the network's `send`."""

    def __init__(self, f):
        self.f, self.total, self.inner = f, 0, f.net.send
        f.net.send = self

    def __call__(self, machine, sender, goal, kind, body):
        if machine.name.startswith("keep") and goal in self.f.seeds:
            self.total += len(records.pack(kind, **body))
        self.inner(machine, sender, goal, kind, body)

    def take(self):
        total, self.total = self.total, 0
        return total


def one(changes, seed=1):
    """The costs of this many changes."""
    f = fleet.SimFleet(f"changes.{seed}", routers=1, replicas=2)
    f.ready()
    name = next(n for n in f.names("keep") if n != f.leader())
    f.kill(name)
    count = ByteCount(f)
    for n in range(changes):
        f.call_later(n * GAP, lambda n=n: f.operator(lambda: f.apply(f"change-{n}")))
    f.run(changes * GAP + SETTLE)
    away, start = count.take(), f.loop.time
    f.start(name)
    while f.loop.time - start < MOST and not caught_up(f, name):
        f.run(STEP)
    took = f.loop.time - start
    leader = f.processes[f.leader()].members[0]
    return Cost(
        changes,
        away,
        count.take(),
        len(leader.log.entries),
        leader.log.bytes_from(leader.log.base + 1),
        sum(len(f.disks[f.leader()].read(n)) for n in f.disks[f.leader()].names()),
        len(json.dumps(leader.log.snapshot)) if leader.log.snapshot else 0,
        took,
    )


def caught_up(f, name):
    leader = f.leader()
    if not leader:
        return False
    return f.processes[name].members[0].commit_index >= f.processes[leader].members[0].commit_index


def main():
    parser = argparse.ArgumentParser(description="what many changes cost the keepers")
    parser.add_argument("--counts", default="50,200,1000", help="numbers of changes, with commas")
    args = parser.parse_args()
    names = [field.name for field in dataclasses.fields(Cost)]
    print("| " + " | ".join(names) + " |\n|" + "---|" * len(names))
    for changes in map(int, args.counts.split(",")):
        row = dataclasses.astuple(one(changes))
        print("| " + " | ".join(f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row) + " |")


if __name__ == "__main__":
    main()
