"""Scenarios with slow, full, failing or wiped disks, and with keepers that change their address."""

import tools.simulator.scenario_base as base


def run_disk_fault(fleet, inject, recover, min_span=2.0):
    names = []

    def act(name):
        names.append(name)
        inject(fleet.disks[name])

    base.on_leader(fleet, 3, act)
    for number in range(8):
        base.write(fleet, 2.95 + number * 0.5, f"disk-{number}")
    fleet.call_later(3 + min_span, lambda: recover(fleet.disks[names[0]]))
    fleet.call_later(5.5 + min_span, lambda: fleet.kill(names[0]))
    fleet.call_later(6.5 + min_span, lambda: fleet.start(names[0]))
    return 6.5 + min_span


@base.scenario
def disk_slow(fleet):
    return run_disk_fault(fleet, lambda d: setattr(d, "delay", 0.05), lambda d: setattr(d, "delay", 0.0))


@base.scenario
def disk_stalls(fleet):
    return run_disk_fault(fleet, lambda d: setattr(d, "delay", 2.5), lambda d: setattr(d, "delay", 0.0))


@base.scenario
def disk_full(fleet):
    return run_disk_fault(fleet, lambda d: setattr(d, "full", True), lambda d: setattr(d, "full", False))


@base.scenario
def disk_sync_fails(fleet):
    return run_disk_fault(fleet, lambda d: setattr(d, "sync_fails", True), lambda d: setattr(d, "sync_fails", False))


@base.scenario
def wiped_after_acknowledgement(fleet):
    count = len(fleet.writes)

    def watch():
        if len(fleet.writes) > count:
            name = fleet.leader() or fleet.random.choice(fleet.names("keep"))
            fleet.kill(name)
            fleet.wipe(name)
            fleet.call_later(1.5, lambda: fleet.start(name))
        else:
            fleet.call_later(0.005, watch)

    base.write(fleet, 3, "then-wiped")
    fleet.call_later(3, watch)
    base.write(fleet, 12, "later")
    return 8


@base.scenario
def wiped_and_cut(fleet):
    """A follower that helped commit a write loses its disk while the leader is cut off."""
    count = len(fleet.writes)

    def watch():
        if len(fleet.writes) == count:
            fleet.call_later(0.002, watch)
            return
        leader = fleet.leader() or "keep-1"
        keeps = fleet.names("keep")
        at = {n: fleet.processes[n].members[0].log.last for n in keeps}
        late = min((n for n in keeps if n != leader), key=lambda n: at[n])
        wiped = next(n for n in keeps if n not in (leader, late))
        fleet.kill(wiped)
        fleet.wipe(wiped)
        fleet.net.split([leader], [n for n in fleet.machines if n not in (leader, "outside")])
        fleet.call_later(0.5, lambda: fleet.start(wiped))
        fleet.call_later(8.0, fleet.net.heal)

    def slow_one():
        leader = fleet.leader() or "keep-1"
        late = fleet.random.choice([n for n in fleet.names("keep") if n != leader])
        fleet.net.cut(leader, late)  # this follower does not receive the write
        fleet.operator(lambda: fleet.apply("then-wiped"))

    fleet.call_later(3, slow_one)
    fleet.call_later(3, watch)
    return 12


@base.scenario
def torn_tail(fleet):
    for number in range(3):
        base.write(fleet, 3 + number * 0.3, f"torn-{number}")
    for name in fleet.names("keep"):
        base.restart_machine(fleet, name, 3 + fleet.random.random() * 0.9, 1.0)
    return 6


@base.scenario
def keeper_back_empty_elsewhere(fleet):
    def act(name):
        fleet.kill(name)
        fleet.wipe(name)
        fleet.move(name, "10.1.9.9:70")
        fleet.call_later(1.5, lambda: fleet.start(name))

    base.on_leader(fleet, 3, act)
    base.write(fleet, 4, "while-gone")
    base.write(fleet, 14, "after")
    return 6


@base.scenario
def keepers_swapped(fleet):
    """Each keeper in turn is lost for good and replaced by another machine."""
    for number, name in enumerate(fleet.names("keep")):
        at = 2 + 9 * number
        fleet.call_later(
            at, lambda number=number: fleet.add_keeper(f"keep-new-{number + 1}", number, f"10.1.7.{number + 1}:70")
        )
        fleet.call_later(at + 1, lambda name=name: fleet.kill(name))
        base.write(fleet, at + 6, f"swap-{number}")
    return 2 + 9 * 3 + 1
