"""Scenarios with lagging replica lists, renamed services, clock drift, late sends and replaced keepers."""

import tools.simulator.scenario_base as base


def leave(fleet, at, back=9.0):
    """List a replica as leaving and, later, as ready."""
    name = fleet.random.choice(fleet.names("replica"))
    fleet.call_later(at, lambda: fleet.list.change(name, {"state": "leaving"}))
    fleet.call_later(at + back, lambda: fleet.list.change(name, {"state": "ready"}))


@base.scenario
def router_cut_from_list(fleet):
    """One router cannot read the replica list while a replica leaves; its neighbours can."""
    name = fleet.random.choice(fleet.names("route"))
    fleet.call_later(2.5, lambda: fleet.net.cut(name, "list"))
    leave(fleet, 3)
    fleet.call_later(14, fleet.net.heal)
    return 14


@base.scenario
def lists_lag_apart(fleet):
    """Some routers read an old list: a neighbour's report of a leaving replica must take precedence."""
    for name in fleet.random.sample(fleet.names("route"), len(fleet.names("route")) // 2):
        fleet.list.reader_lags[name] = 4 + 4 * fleet.random.random()
    leave(fleet, 3)
    return 14


@base.scenario
def freeze_over_leaving(fleet):
    """A router is frozen while a replica leaves and resumes with its old list."""
    name = fleet.random.choice(fleet.names("route"))
    fleet.call_later(2.9, lambda: fleet.machines[name].freeze(4.5 + fleet.random.random()))
    leave(fleet, 3)
    return 14


@base.scenario
def service_renamed(fleet):
    """Each replica is replaced by one of a service with another name, which belongs to another part."""
    return rename(fleet, fleet.names("replica"), 2)


def retire(fleet, name, at):
    fleet.call_later(at, lambda: fleet.list.change(name, {"name": name, "state": "leaving"}))
    fleet.call_later(at + 4.5, lambda: (fleet.kill(name, planned=True), fleet.list.change(name, None)))


def rename(fleet, names, at, gap=5):
    for number, name in enumerate(names):
        fleet.call_later(
            at + gap * number,
            lambda number=number: fleet.add_replica(f"replica-new-{number}", 20 + number, fleet.plan["model"] + "-c"),
        )
        retire(fleet, name, at + gap * number)
    return at + gap * len(names)


@base.scenario
def small_pool_renamed(fleet):
    """A pool of one prefill and one decode replica moves to a new service, the prefill replica first."""
    names = fleet.names("replica")
    fleet.excluded_replicas = names[:2]
    for name in names[2:]:
        retire(fleet, name, 2)
    fleet.call_later(
        9, lambda: rename(fleet, sorted(names[:2], key=lambda n: fleet.processes[n].role != "prefill"), 0, 8)
    )
    return 25


@base.scenario
def clocks_run_apart(fleet):
    """Each clock drifts by up to 1 % during configuration changes and failures of leaders."""
    for name in fleet.names("keep") + fleet.names("route") + fleet.names("replica"):
        fleet.set_rate(name, 0.99 + 0.02 * fleet.random.random())
    for number in range(6):
        base.write(fleet, 3 + 1.5 * number + fleet.random.random(), f"apart-{number}")
    for at in (4, 8):
        base.on_leader(fleet, at + fleet.random.random(), base.kill_and_back(fleet), fleet.random.randrange(4))
    for part in (1, 2, 3):
        base.on_leader(fleet, 6 + fleet.random.random(), base.kill_and_back(fleet), part)
    return 12


@base.scenario
def freeze_in_write(fleet):
    """A router freezes between its last check of the lease and the write to the socket."""
    base.freeze_at(fleet, "before_send")
    return 9


def swap_keepers(fleet, at, gap=9):
    for number, name in enumerate(fleet.names("keep")):
        fleet.call_later(
            at + gap * number,
            lambda number=number: fleet.add_keeper(f"keep-new-{number + 1}", number, f"10.1.7.{number + 1}:70"),
        )
        fleet.call_later(at + gap * number + 1, lambda name=name: fleet.kill(name, planned=True))
    return at + gap * len(fleet.names("keep"))


@base.scenario
def routers_restart_after_swap(fleet):
    """After all keepers were replaced, the routers restart one by one with the first keepers as seeds."""
    at = swap_keepers(fleet, 2)
    for number, name in enumerate(fleet.names("route")):
        base.restart_machine(fleet, name, at + 1.5 * number, 1.0)
    return at + 1.5 * len(fleet.names("route")) + 1


@base.scenario
def all_restart_after_swap(fleet):
    """After all keepers were replaced, all processes die at once and restart with the first keepers as seeds."""
    at = swap_keepers(fleet, 2)
    for number in range(len(fleet.names("keep"))):
        base.restart_machine(fleet, f"keep-new-{number + 1}", at, 30)
    for name in fleet.names("route"):
        base.restart_machine(fleet, name, at, 30.5)
    return at + 31


@base.scenario
def kill_all_one_elsewhere(fleet):
    """All keepers die; one restarts with its disk at a new address."""
    for number, name in enumerate(fleet.names("keep")):
        fleet.call_later(3, lambda name=name: fleet.kill(name))
        fleet.call_later(4 + number, lambda name=name: fleet.start(name))
    fleet.call_later(3.5, lambda: fleet.move("keep-1", "10.1.9.9:70"))
    base.write(fleet, 12, "after")
    return 4 + len(fleet.names("keep"))
