"""Days on which lists lag apart, services change their name, clocks run apart, control moves away."""

import tools.simulator.day_base as base


def leave(f, at, back=9.0):
    """A replica is shown leaving, and comes back later."""
    name = f.random.choice(f.names("replica"))
    f.later(at, lambda: f.list.change(name, {"state": "leaving"}))
    f.later(at + back, lambda: f.list.change(name, {"state": "ready"}))


@base.day
def router_cut_from_list(f):
    """One router cannot read the list while a replica leaves; its neighbours can."""
    name = f.random.choice(f.names("route"))
    f.later(2.5, lambda: f.net.cut(name, "list"))
    leave(f, 3)
    f.later(14, f.net.heal)
    return 14


@base.day
def lists_lag_apart(f):
    """Some readers see the list much later than others: a hint must outlast an older reading."""
    for name in f.random.sample(f.names("route"), len(f.names("route")) // 2):
        f.list.reader_lags[name] = 4 + 4 * f.random.random()
    leave(f, 3)
    return 14


@base.day
def freeze_over_leaving(f):
    """A router sleeps through a replica's leaving and wakes with what it knew."""
    name = f.random.choice(f.names("route"))
    f.later(2.9, lambda: f.machines[name].freeze(4.5 + f.random.random()))
    leave(f, 3)
    return 14


@base.day
def service_renamed(f):
    """One replica after another is replaced by one of a service of another name, another part's."""
    return rename(f, f.names("replica"), 2)


def retire(f, name, at):
    f.later(at, lambda: f.list.change(name, {"name": name, "state": "leaving"}))
    f.later(at + 4.5, lambda: (f.kill(name, planned=True), f.list.change(name, None)))


def rename(f, names, at, gap=5):
    for number, name in enumerate(names):
        f.later(at + gap * number, lambda k=number: f.add_replica(f"replica-new-{k}", 20 + k, f.plan["model"] + "-c"))
        retire(f, name, at + gap * number)
    return at + gap * len(names)


@base.day
def small_pool_renamed(f):
    """A pool shrunk to two replicas, one for each side, gets a new service's for both, the reader first."""
    names = f.names("replica")
    f.spared = names[:2]
    for name in names[2:]:
        retire(f, name, 2)
    f.later(9, lambda: rename(f, sorted(names[:2], key=lambda n: f.parts[n].role != "prefill"), 0, 8))
    return 25


@base.day
def clocks_run_apart(f):
    """Every machine's clock runs up to a hundredth fast or slow, through changes and leaders' deaths."""
    for name in f.names("keep") + f.names("route") + f.names("replica"):
        f.set_rate(name, 0.99 + 0.02 * f.random.random())
    for n in range(6):
        base.write(f, 3 + 1.5 * n + f.random.random(), f"apart-{n}")
    for at in (4, 8):
        base.on_owner(f, at + f.random.random(), base.kill_and_back(f), f.random.randrange(4))
    for part in (1, 2, 3):
        base.on_owner(f, 6 + f.random.random(), base.kill_and_back(f), part)
    return 12


@base.day
def freeze_in_write(f):
    """A router freezes between its last check and the writing of a send, and sends late."""
    base.freeze_at(f, "written")
    return 9


def swap_keepers(f, at, gap=9):
    for n, name in enumerate(f.names("keep")):
        f.later(at + gap * n, lambda k=n: f.add_keeper(f"keep-new-{k + 1}", k, f"10.1.7.{k + 1}:70"))
        f.later(at + gap * n + 1, lambda name=name: f.kill(name, planned=True))
    return at + gap * len(f.names("keep"))


@base.day
def routers_restart_after_swap(f):
    """All keepers are others now; the routers, which were told only of the first, restart one by one."""
    at = swap_keepers(f, 2)
    for n, name in enumerate(f.names("route")):
        base.restart_machine(f, name, at + 1.5 * n, 1.0)
    return at + 1.5 * len(f.names("route")) + 1


@base.day
def all_restart_after_swap(f):
    """All keepers are others now; then every process dies at once and comes back with the old seeds."""
    at = swap_keepers(f, 2)
    for n in range(len(f.names("keep"))):
        base.restart_machine(f, f"keep-new-{n + 1}", at, 30)
    for name in f.names("route"):
        base.restart_machine(f, name, at, 30.5)
    return at + 31


@base.day
def kill_all_one_elsewhere(f):
    """All keepers die; one comes back with its disk at a new address."""
    for n, name in enumerate(f.names("keep")):
        f.later(3, lambda name=name: f.kill(name))
        f.later(4 + n, lambda name=name: f.start(name))
    f.later(3.5, lambda: f.move("keep-1", "10.1.9.9:70"))
    base.write(f, 12, "after")
    return 4 + len(f.names("keep"))
