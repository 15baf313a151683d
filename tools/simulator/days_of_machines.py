"""Days on which processes and machines are killed, frozen or politely stopped."""

import tools.simulator.day_base as base


@base.day
def calm(f):
    base.write(f, 4, "calm")
    return 0


@base.day
def kill_router(f):
    """A router dies in the middle of a prefill, with memory held in its name."""
    name = f.random.choice(f.names("route"))

    def watch():
        held = any(f.parts[r].running and f.parts[r].role == "prefill" for r in f.names("replica"))
        if f.parts[name].in_flight and held:
            base.restart_machine(f, name, 0)
        else:
            f.later(0.002, watch)

    f.later(3 + f.random.random(), watch)
    return 9


@base.day
def kill_owner(f):
    base.on_owner(f, 2 + f.random.random(), base.kill_and_back(f))
    base.write(f, 1.9 + f.random.random(), "near-kill")
    base.write(f, 8, "after")
    return 6


@base.day
def kill_many(f):
    for name in f.random.sample(f.names("keep") + f.names("route"), 4):
        base.restart_machine(f, name, 3 + f.random.random(), 2 + f.random.random())
    base.write(f, 3, "amid")
    return 7


@base.day
def kill_all(f):
    base.write(f, 2.5, "before")
    for name in f.names("keep") + f.names("route"):
        base.restart_machine(f, name, 3, 1 + f.random.random())
    return 5


@base.day
def freeze_router(f):
    at = 3 + f.random.random()
    f.later(at, lambda: f.machines[f.random.choice(f.names("route"))].freeze(1 + 4 * f.random.random()))
    base.write(f, at + f.random.random() * 0.3 - 0.1, "amid-freeze")
    return 9


@base.day
def freeze_in_connect(f):
    """A router freezes while a send's connection is being made, and the configuration changes meanwhile.

    The replicas do not know the header that bears a send's sequence: only the router's own check is left.
    """
    for name in f.names("replica"):
        f.parts[name].rejects_older = False
    base.freeze_at(f, "watch")
    return 9


@base.day
def freeze_owner(f):
    at = 3 + f.random.random()
    base.on_owner(f, at, lambda n: f.machines[n].freeze(0.3 + 3 * f.random.random()))
    base.write(f, at - 0.02 + f.random.random() * 0.1, "amid-freeze")
    base.write(f, at + 2, "next")
    return 9


@base.day
def polite_stops(f):
    """Routers and the leading keeper are stopped politely, one after another."""
    for n, name in enumerate(f.names("route")):
        f.later(2 + 3 * n, lambda name=name: stop_router(f, name))
    base.on_owner(f, 4, lambda name: stop_keeper(f, name))
    return 2 + 3 * len(f.names("route")) + 3


def stop_router(f, name):
    def run():
        f.parts[name].drain(15.0)
        f.net.apps.pop(f.settings[name]["http"])  # the server closes its door, then ends its answers
        f.later(0.05, lambda: f.kill(name, planned=True))
        f.later(1.0, lambda: f.start(name))

    f.loop.spawn(f.machines[name], run)


def stop_keeper(f, name):
    def run():
        f.parts[name].drain()
        f.later(0.0, lambda: f.kill(name, planned=True))
        f.later(1.0, lambda: f.start(name))

    f.loop.spawn(f.machines[name], run)


@base.day
def anything(f):
    """Five faults of any kind at any time."""
    keeps, routes, replicas = f.names("keep"), f.names("route"), f.names("replica")
    ends = [0.0]
    for n in range(5):
        at, span = 1 + 8 * f.random.random(), 0.5 + 3 * f.random.random()
        kind = f.random.choice(["kill", "freeze", "cut", "crash", "write", "leader", "lapse"])
        if kind == "kill":
            base.restart_machine(f, f.random.choice(keeps + routes), at, span)
        elif kind == "freeze":
            name = f.random.choice(keeps + routes)
            f.later(at, lambda name=name, span=span: f.machines[name].freeze(span))
        elif kind == "cut":
            pair = f.random.sample(keeps + routes, 2)
            f.later(at, lambda pair=pair: f.net.cut(*pair))
            f.later(at + span, f.net.heal)
        elif kind == "crash":
            base.restart_machine(f, f.random.choice(replicas), at, span)
        elif kind == "leader":
            base.on_owner(f, at, base.kill_and_back(f, span))
        elif kind == "lapse":
            f.later(at, lambda: base.lapse(f))
        base.write(f, at + 0.2 * f.random.random() - 0.1, f"any-{n}")
        ends.append(at + span)
    return max(ends) + 1
