"""Scenarios with network partitions, bursts of configuration changes and concurrent changes."""

import tools.simulator.scenario_base as base


@base.scenario
def router_loses_keepers(fleet):
    """A router is cut from all keepers, not from the replicas, while the configuration changes."""
    name = fleet.random.choice(fleet.names("route"))
    at = 3 + fleet.random.random()
    fleet.call_later(at, lambda: fleet.net.split([name], fleet.names("keep")))
    base.write(fleet, at + 0.02, "unheard")
    fleet.call_later(at + 4, fleet.net.heal)
    return at + 4


@base.scenario
def cut_after_staging(fleet):
    """A router acknowledges a staged document and is cut from the keepers before the activation reaches it."""
    name = fleet.random.choice(fleet.names("route"))
    active = max(w["sequence"] for w in fleet.writes)

    def watch():
        leader = fleet.leader()
        if leader and fleet.processes[leader].members[0].machine.active > active:
            fleet.net.split([name], fleet.names("keep"))
        else:
            fleet.call_later(0.0001, watch)

    fleet.call_later(3, watch)
    base.write(fleet, 3, "staged-then-cut")
    fleet.call_later(7, fleet.net.heal)
    return 7


@base.scenario
def owner_dies_staging(fleet):
    """The leader dies right after a write, while a router with a new long lease is cut from the keepers."""
    name = fleet.random.choice(fleet.names("route"))
    active = max(w["sequence"] for w in fleet.writes)

    def leased():
        lease = fleet.processes[name].lease
        if lease.valid_until - fleet.loop.time > 1.39:
            fleet.net.split([name], fleet.names("keep"))
            fleet.operator(lambda: fleet.apply("staged-then-dead"))
            watch()
        else:
            fleet.call_later(0.0005, leased)

    def watch():
        leader = fleet.leader()
        if leader and fleet.processes[leader].members[0].machine.latest > active:
            base.kill_and_back(fleet, 3.0)(leader)
        else:
            fleet.call_later(0.0001, watch)

    fleet.call_later(2.2, leased)
    fleet.call_later(8, fleet.net.heal)
    return 8


@base.scenario
def frozen_owner_with_company(fleet):
    """The leader freezes; meanwhile it and one router are cut from the other keepers."""
    name = fleet.random.choice(fleet.names("route"))
    span = 4 + fleet.random.random()

    def act(leader):
        fleet.machines[leader].freeze(span)
        fleet.net.split([name, leader], [k for k in fleet.names("keep") if k != leader])

    base.on_leader(fleet, 3, act)
    for number in range(5):
        base.write(fleet, 4.4 + 0.1 * number, f"behind-its-back-{number}")
    fleet.call_later(3 + span + 2, fleet.net.heal)
    return 5 + span


@base.scenario
def owner_cut_off(fleet):
    """The leader is cut from the other keepers; operators and routers still reach it, and operators write to it."""
    latest = max(w["sequence"] for w in fleet.writes)
    base.on_leader(fleet, 3, lambda name: fleet.net.split([name], [k for k in fleet.names("keep") if k != name]))
    for number in range(4):
        base.write(fleet, 3.01 + 0.05 * number, f"to-a-lost-leader-{number}", latest)
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
    """Cut one machine from the others for four seconds by cut(others), with a write right after the cut."""
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
    for number in range(25):
        base.write(fleet, 3 + number * 0.12, f"storm-{number}")
    return 7


@base.scenario
def configuration_race(fleet):
    def race(number):
        base_sequence = max(w["sequence"] for w in fleet.writes)
        for operator in "abc":
            fleet.operator(lambda operator=operator: fleet.apply(f"race-{number}-{operator}", base_sequence))

    for number in range(4):
        fleet.call_later(3 + number, lambda number=number: race(number))
    base.on_leader(fleet, 4.0 + 0.01 * fleet.random.random(), base.kill_and_back(fleet))
    return 8
