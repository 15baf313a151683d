"""Days on which lists lag apart, services change their name, clocks run apart, control moves away."""

import tools.simulator.scenario_base as base


def leave(fleet, at, back=9.0):
    """A replica is shown leaving, and comes back later."""
    name = fleet.random.choice(fleet.names("replica"))
    fleet.call_later(at, lambda: fleet.list.change(name, {"state": "leaving"}))
    fleet.call_later(at + back, lambda: fleet.list.change(name, {"state": "ready"}))


@base.scenario
def router_cut_from_list(fleet):
    """One router cannot read the list while a replica leaves; its neighbours can."""
    name = fleet.random.choice(fleet.names("route"))
    fleet.call_later(2.5, lambda: fleet.net.cut(name, "list"))
    leave(fleet, 3)
    fleet.call_later(14, fleet.net.heal)
    return 14


@base.scenario
def lists_lag_apart(fleet):
    """Some readers see the list much later than others: a hint must outlast an older reading."""
    for name in fleet.random.sample(fleet.names("route"), len(fleet.names("route")) // 2):
        fleet.list.reader_lags[name] = 4 + 4 * fleet.random.random()
    leave(fleet, 3)
    return 14


@base.scenario
def freeze_over_leaving(fleet):
    """A router sleeps through a replica's leaving and wakes with what it knew."""
    name = fleet.random.choice(fleet.names("route"))
    fleet.call_later(2.9, lambda: fleet.machines[name].freeze(4.5 + fleet.random.random()))
    leave(fleet, 3)
    return 14


@base.scenario
def service_renamed(fleet):
    """One replica after another is replaced by one of a service of another name, another part's."""
    return rename(fleet, fleet.names("replica"), 2)


def retire(fleet, name, at):
    fleet.call_later(at, lambda: fleet.list.change(name, {"name": name, "state": "leaving"}))
    fleet.call_later(at + 4.5, lambda: (fleet.kill(name, planned=True), fleet.list.change(name, None)))


def rename(fleet, names, at, gap=5):
    for number, name in enumerate(names):
        fleet.call_later(
            at + gap * number,
            lambda k=number: fleet.add_replica(f"replica-new-{k}", 20 + k, fleet.plan["model"] + "-c"),
        )
        retire(fleet, name, at + gap * number)
    return at + gap * len(names)


@base.scenario
def small_pool_renamed(fleet):
    """A pool shrunk to two replicas, one for each side, gets a new service's for both, the reader first."""
    names = fleet.names("replica")
    fleet.excluded_replicas = names[:2]
    for name in names[2:]:
        retire(fleet, name, 2)
    fleet.call_later(9, lambda: rename(fleet, sorted(names[:2], key=lambda n: fleet.parts[n].role != "prefill"), 0, 8))
    return 25


@base.scenario
def clocks_run_apart(fleet):
    """Every machine's clock runs up to a hundredth fast or slow, through changes and leaders' deaths."""
    for name in fleet.names("keep") + fleet.names("route") + fleet.names("replica"):
        fleet.set_rate(name, 0.99 + 0.02 * fleet.random.random())
    for n in range(6):
        base.write(fleet, 3 + 1.5 * n + fleet.random.random(), f"apart-{n}")
    for at in (4, 8):
        base.on_leader(fleet, at + fleet.random.random(), base.kill_and_back(fleet), fleet.random.randrange(4))
    for part in (1, 2, 3):
        base.on_leader(fleet, 6 + fleet.random.random(), base.kill_and_back(fleet), part)
    return 12


@base.scenario
def freeze_in_write(fleet):
    """A router freezes between its last check and the writing of a send, and sends late."""
    base.freeze_at(fleet, "before_send")
    return 9


def swap_keepers(fleet, at, gap=9):
    for n, name in enumerate(fleet.names("keep")):
        fleet.call_later(at + gap * n, lambda k=n: fleet.add_keeper(f"keep-new-{k + 1}", k, f"10.1.7.{k + 1}:70"))
        fleet.call_later(at + gap * n + 1, lambda name=name: fleet.kill(name, planned=True))
    return at + gap * len(fleet.names("keep"))


@base.scenario
def routers_restart_after_swap(fleet):
    """All keepers are others now; the routers, which were told only of the first, restart one by one."""
    at = swap_keepers(fleet, 2)
    for n, name in enumerate(fleet.names("route")):
        base.restart_machine(fleet, name, at + 1.5 * n, 1.0)
    return at + 1.5 * len(fleet.names("route")) + 1


@base.scenario
def all_restart_after_swap(fleet):
    """All keepers are others now; then every process dies at once and comes back with the old seeds."""
    at = swap_keepers(fleet, 2)
    for n in range(len(fleet.names("keep"))):
        base.restart_machine(fleet, f"keep-new-{n + 1}", at, 30)
    for name in fleet.names("route"):
        base.restart_machine(fleet, name, at, 30.5)
    return at + 31


@base.scenario
def kill_all_one_elsewhere(fleet):
    """All keepers die; one comes back with its disk at a new address."""
    for n, name in enumerate(fleet.names("keep")):
        fleet.call_later(3, lambda name=name: fleet.kill(name))
        fleet.call_later(4 + n, lambda name=name: fleet.start(name))
    fleet.call_later(3.5, lambda: fleet.move("keep-1", "10.1.9.9:70"))
    base.write(fleet, 12, "after")
    return 4 + len(fleet.names("keep"))
