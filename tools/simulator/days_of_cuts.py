"""Days on which the network is cut and configurations change, storm and race."""

import tools.simulator.day_base as base


@base.day
def router_loses_keepers(f):
    """A router that still reaches the replicas hears no keeper while the configuration changes."""
    name = f.random.choice(f.names("route"))
    at = 3 + f.random.random()
    f.later(at, lambda: f.net.split([name], f.names("keep")))
    base.write(f, at + 0.02, "unheard")
    f.later(at + 4, f.net.heal)
    return at + 4


@base.day
def cut_after_staging(f):
    """A router that acknowledged a staged document is cut off before it hears of its activation."""
    name = f.random.choice(f.names("route"))
    active = max(w["sequence"] for w in f.writes)

    def watch():
        leader = f.leader()
        if leader and f.parts[leader].members[0].machine.active > active:
            f.net.split([name], f.names("keep"))
        else:
            f.later(0.0001, watch)

    f.later(3, watch)
    base.write(f, 3, "staged-then-cut")
    f.later(7, f.net.heal)
    return 7


@base.day
def owner_dies_staging(f):
    """The leader dies right after a write; a router just leased for long hears nothing of it."""
    name = f.random.choice(f.names("route"))
    active = max(w["sequence"] for w in f.writes)

    def leased():
        lease = f.parts[name].lease
        if lease.valid_until - f.loop.time > 1.39:
            f.net.split([name], f.names("keep"))
            f.operator(lambda: f.apply("staged-then-dead"))
            watch()
        else:
            f.later(0.0005, leased)

    def watch():
        leader = f.leader()
        if leader and f.parts[leader].members[0].machine.latest > active:
            base.kill_and_back(f, 3.0)(leader)
        else:
            f.later(0.0001, watch)

    f.later(2.2, leased)
    f.later(8, f.net.heal)
    return 8


@base.day
def frozen_owner_with_company(f):
    """The leader freezes and, with one router, is cut from the other keepers meanwhile."""
    name = f.random.choice(f.names("route"))
    span = 4 + f.random.random()

    def act(leader):
        f.machines[leader].freeze(span)
        f.net.split([name, leader], [k for k in f.names("keep") if k != leader])

    base.on_owner(f, 3, act)
    for n in range(5):
        base.write(f, 4.4 + 0.1 * n, f"behind-its-back-{n}")
    f.later(3 + span + 2, f.net.heal)
    return 5 + span


@base.day
def owner_cut_off(f):
    """The leader is cut from the other keepers, not from operators and routers, and written to."""
    latest = max(w["sequence"] for w in f.writes)
    base.on_owner(f, 3, lambda name: f.net.split([name], [k for k in f.names("keep") if k != name]))
    for n in range(4):
        base.write(f, 3.01 + 0.05 * n, f"to-a-lost-leader-{n}", latest)
    f.later(7, f.net.heal)
    return 7


@base.day
def core_cut(f):
    keeps, routes = f.names("keep"), f.names("route")
    side = f.random.sample(keeps, 1) + f.random.sample(routes, 1)
    rest = [n for n in keeps + routes if n not in side]
    at = 3 + f.random.random()
    f.later(at, lambda: f.net.split(side, rest))
    base.write(f, at + 0.1, "amid-cut")
    base.write(f, at + 2.5, "in-cut")
    f.later(at + 5, f.net.heal)
    return at + 5


def cut_one(f, name, cut):
    """Cuts one machine off for four seconds, as cut(others) says, with a write right after."""
    others = [n for n in f.machines if n not in (name, "outside")]
    at = 3 + f.random.random()
    f.later(at, lambda: cut(others))
    base.write(f, at + 0.02, "amid-cut")
    f.later(at + 4, f.net.heal)
    return at + 4


@base.day
def one_cut_off(f):
    name = f.random.choice(f.names("keep") + f.names("route"))
    return cut_one(f, name, lambda others: f.net.split([name], others))


@base.day
def one_way_cut(f):
    name = f.random.choice(f.names("keep") + f.names("route"))
    inward = f.random.random() < 0.5
    return cut_one(
        f, name, lambda others: [f.net.cut(*((o, name) if inward else (name, o)), both=False) for o in others]
    )


@base.day
def configuration_storm(f):
    for n in range(25):
        base.write(f, 3 + n * 0.12, f"storm-{n}")
    return 7


@base.day
def configuration_race(f):
    def race(n):
        base = max(w["sequence"] for w in f.writes)
        for who in "abc":
            f.operator(lambda who=who: f.apply(f"race-{n}-{who}", base))

    for n in range(4):
        f.later(3 + n, lambda n=n: race(n))
    base.on_owner(f, 4.0 + 0.01 * f.random.random(), base.kill_and_back(f))
    return 8
