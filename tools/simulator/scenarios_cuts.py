"""Days on which the network is cut and configurations change, storm and race."""

import tools.simulator.scenario_base as base


@base.scenario
def router_loses_keepers(fleet):
    """A router that still reaches the replicas hears no keeper while the configuration changes."""
    name = fleet.random.choice(fleet.names("route"))
    at = 3 + fleet.random.random()
    fleet.call_later(at, lambda: fleet.net.split([name], fleet.names("keep")))
    base.write(fleet, at + 0.02, "unheard")
    fleet.call_later(at + 4, fleet.net.heal)
    return at + 4


@base.scenario
def cut_after_staging(fleet):
    """A router that acknowledged a staged document is cut off before it hears of its activation."""
    name = fleet.random.choice(fleet.names("route"))
    active = max(w["sequence"] for w in fleet.writes)

    def watch():
        leader = fleet.leader()
        if leader and fleet.parts[leader].members[0].machine.active > active:
            fleet.net.split([name], fleet.names("keep"))
        else:
            fleet.call_later(0.0001, watch)

    fleet.call_later(3, watch)
    base.write(fleet, 3, "staged-then-cut")
    fleet.call_later(7, fleet.net.heal)
    return 7


@base.scenario
def owner_dies_staging(fleet):
    """The leader dies right after a write; a router just leased for long hears nothing of it."""
    name = fleet.random.choice(fleet.names("route"))
    active = max(w["sequence"] for w in fleet.writes)

    def leased():
        lease = fleet.parts[name].lease
        if lease.valid_until - fleet.loop.time > 1.39:
            fleet.net.split([name], fleet.names("keep"))
            fleet.operator(lambda: fleet.apply("staged-then-dead"))
            watch()
        else:
            fleet.call_later(0.0005, leased)

    def watch():
        leader = fleet.leader()
        if leader and fleet.parts[leader].members[0].machine.latest > active:
            base.kill_and_back(fleet, 3.0)(leader)
        else:
            fleet.call_later(0.0001, watch)

    fleet.call_later(2.2, leased)
    fleet.call_later(8, fleet.net.heal)
    return 8


@base.scenario
def frozen_owner_with_company(fleet):
    """The leader freezes and, with one router, is cut from the other keepers meanwhile."""
    name = fleet.random.choice(fleet.names("route"))
    span = 4 + fleet.random.random()

    def act(leader):
        fleet.machines[leader].freeze(span)
        fleet.net.split([name, leader], [k for k in fleet.names("keep") if k != leader])

    base.on_leader(fleet, 3, act)
    for n in range(5):
        base.write(fleet, 4.4 + 0.1 * n, f"behind-its-back-{n}")
    fleet.call_later(3 + span + 2, fleet.net.heal)
    return 5 + span


@base.scenario
def owner_cut_off(fleet):
    """The leader is cut from the other keepers, not from operators and routers, and written to."""
    latest = max(w["sequence"] for w in fleet.writes)
    base.on_leader(fleet, 3, lambda name: fleet.net.split([name], [k for k in fleet.names("keep") if k != name]))
    for n in range(4):
        base.write(fleet, 3.01 + 0.05 * n, f"to-a-lost-leader-{n}", latest)
    fleet.call_later(7, fleet.net.heal)
    return 7


@base.scenario
def core_cut(fleet):
    keeps, routes = fleet.names("keep"), fleet.names("route")
    side = fleet.random.sample(keeps, 1) + fleet.random.sample(routes, 1)
    rest = [n for n in keeps + routes if n not in side]
    at = 3 + fleet.random.random()
    fleet.call_later(at, lambda: fleet.net.split(side, rest))
    base.write(fleet, at + 0.1, "amid-cut")
    base.write(fleet, at + 2.5, "in-cut")
    fleet.call_later(at + 5, fleet.net.heal)
    return at + 5


def cut_one(fleet, name, cut):
    """Cuts one machine off for four seconds, as cut(others) says, with a write right after."""
    others = [n for n in fleet.machines if n not in (name, "outside")]
    at = 3 + fleet.random.random()
    fleet.call_later(at, lambda: cut(others))
    base.write(fleet, at + 0.02, "amid-cut")
    fleet.call_later(at + 4, fleet.net.heal)
    return at + 4


@base.scenario
def one_cut_off(fleet):
    name = fleet.random.choice(fleet.names("keep") + fleet.names("route"))
    return cut_one(fleet, name, lambda others: fleet.net.split([name], others))


@base.scenario
def one_way_cut(fleet):
    name = fleet.random.choice(fleet.names("keep") + fleet.names("route"))
    inward = fleet.random.random() < 0.5
    return cut_one(
        fleet, name, lambda others: [fleet.net.cut(*((o, name) if inward else (name, o)), both=False) for o in others]
    )


@base.scenario
def configuration_storm(fleet):
    for n in range(25):
        base.write(fleet, 3 + n * 0.12, f"storm-{n}")
    return 7


@base.scenario
def configuration_race(fleet):
    def race(n):
        base = max(w["sequence"] for w in fleet.writes)
        for operator in "abc":
            fleet.operator(lambda operator=operator: fleet.apply(f"race-{n}-{operator}", base))

    for n in range(4):
        fleet.call_later(3 + n, lambda n=n: race(n))
    base.on_leader(fleet, 4.0 + 0.01 * fleet.random.random(), base.kill_and_back(fleet))
    return 8
