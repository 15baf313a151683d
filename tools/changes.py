"""Measures what many configuration changes cost the keepers while one of them is down.

python -m tools.changes --counts 50,200,1000

Prints, for each number of changes: bytes that keepers send to each other, while a
follower is down and from its return until it has caught up; the entries and bytes of
the log in memory; bytes on the disk; the size of the snapshot; the time to catch up.
The real keepers run on a simulated network that counts bytes.
"""

import argparse
import dataclasses
import json

import mothshed.transport.records as records
import tools.simulator.fleet as fleet_module

CHANGE_INTERVAL_S = 0.05  # between two changes
SETTLE_S = 3.0  # from the last change until the follower is started
POLL_INTERVAL_S = 0.01  # how often the state of the simulator is checked
MAX_CATCH_UP_S = 20.0  # time limit of catching up


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
    """Counts the bytes of records between keepers; it replaces the network's `send`."""

    def __init__(self, fleet):
        self.fleet, self.total, self.send = fleet, 0, fleet.net.send
        fleet.net.send = self

    def __call__(self, machine, sender, destination, kind, body):
        if machine.name.startswith("keep") and destination in self.fleet.seeds:
            self.total += len(records.pack(kind, **body))
        self.send(machine, sender, destination, kind, body)

    def reset(self):
        total, self.total = self.total, 0
        return total


def measure_changes(changes, seed=1):
    """Measure the cost of this many changes."""
    fleet = fleet_module.SimFleet(f"changes.{seed}", routers=1, replicas=2)
    fleet.ready()
    name = next(name for name in fleet.names("keep") if name != fleet.leader())
    fleet.kill(name)
    byte_count = ByteCount(fleet)
    for number in range(changes):
        fleet.call_later(
            number * CHANGE_INTERVAL_S, lambda number=number: fleet.operator(lambda: fleet.apply(f"change-{number}"))
        )
    fleet.run(changes * CHANGE_INTERVAL_S + SETTLE_S)
    away, start = byte_count.reset(), fleet.loop.time
    fleet.start(name)
    while fleet.loop.time - start < MAX_CATCH_UP_S and not caught_up(fleet, name):
        fleet.run(POLL_INTERVAL_S)
    catch_up_time = fleet.loop.time - start
    leader = fleet.processes[fleet.leader()].members[0]
    return Cost(
        changes,
        away,
        byte_count.reset(),
        len(leader.log.entries),
        leader.log.bytes_from(leader.log.base + 1),
        sum(len(fleet.disks[fleet.leader()].read(name)) for name in fleet.disks[fleet.leader()].names()),
        len(json.dumps(leader.log.snapshot)) if leader.log.snapshot else 0,
        catch_up_time,
    )


def caught_up(fleet, name):
    leader = fleet.leader()
    if not leader:
        return False
    return fleet.processes[name].members[0].commit_index >= fleet.processes[leader].members[0].commit_index


def main():
    parser = argparse.ArgumentParser(description="what many changes cost the keepers")
    parser.add_argument("--counts", default="50,200,1000", help="numbers of changes, with commas")
    args = parser.parse_args()
    names = [field.name for field in dataclasses.fields(Cost)]
    print("| " + " | ".join(names) + " |\n|" + "---|" * len(names))
    for changes in map(int, args.counts.split(",")):
        row = dataclasses.astuple(measure_changes(changes))
        print("| " + " | ".join(f"{cell:.2f}" if isinstance(cell, float) else str(cell) for cell in row) + " |")


if __name__ == "__main__":
    main()
