"""Scenarios in which processes and machines are killed, frozen or stopped gracefully."""

import mothshed.runtime.stop_schedule as stop_schedule
import tools.simulator.scenario_base as base


@base.scenario
def calm(fleet):
    base.write(fleet, 4, "calm")
    return 0


@base.scenario
def kill_router(fleet):
    """A router dies during a prefill, while replicas hold exported memory for its requests."""
    name = fleet.random.choice(fleet.names("route"))

    def watch():
        held = any(fleet.processes[r].running and fleet.processes[r].role == "prefill" for r in fleet.names("replica"))
        if fleet.processes[name].in_flight and held:
            base.restart_machine(fleet, name, 0)
        else:
            fleet.call_later(0.002, watch)

    fleet.call_later(3 + fleet.random.random(), watch)
    return 9


@base.scenario
def kill_owner(fleet):
    base.on_leader(fleet, 2 + fleet.random.random(), base.kill_and_back(fleet))
    base.write(fleet, 1.9 + fleet.random.random(), "near-kill")
    base.write(fleet, 8, "after")
    return 6


@base.scenario
def kill_many(fleet):
    for name in fleet.random.sample(fleet.names("keep") + fleet.names("route"), 4):
        base.restart_machine(fleet, name, 3 + fleet.random.random(), 2 + fleet.random.random())
    base.write(fleet, 3, "amid")
    return 7


@base.scenario
def kill_all(fleet):
    base.write(fleet, 2.5, "before")
    for name in fleet.names("keep") + fleet.names("route"):
        base.restart_machine(fleet, name, 3, 1 + fleet.random.random())
    return 5


@base.scenario
def freeze_router(fleet):
    at = 3 + fleet.random.random()
    fleet.call_later(
        at, lambda: fleet.machines[fleet.random.choice(fleet.names("route"))].freeze(1 + 4 * fleet.random.random())
    )
    base.write(fleet, at + fleet.random.random() * 0.3 - 0.1, "amid-freeze")
    return 9


@base.scenario
def freeze_in_connect(fleet):
    """A router freezes while it connects for a send, and the configuration changes meanwhile.

    The replicas ignore the header with the configuration sequence, so only the router's own check is left.
    """
    for name in fleet.names("replica"):
        fleet.processes[name].rejects_older = False
    base.freeze_at(fleet, "before_connect")
    return 9


@base.scenario
def freeze_owner(fleet):
    at = 3 + fleet.random.random()
    base.on_leader(fleet, at, lambda n: fleet.machines[n].freeze(0.3 + 3 * fleet.random.random()))
    base.write(fleet, at - 0.02 + fleet.random.random() * 0.1, "amid-freeze")
    base.write(fleet, at + 2, "next")
    return 9


@base.scenario
def polite_stops(fleet):
    """Routers and the keeper that leads are stopped gracefully, one after another."""
    for number, name in enumerate(fleet.names("route")):
        fleet.call_later(2 + 3 * number, lambda name=name: stop_router(fleet, name))
    base.on_leader(fleet, 4, lambda name: stop_keeper(fleet, name))
    return 2 + 3 * len(fleet.names("route")) + 3


def stop_router(fleet, name):
    def run():
        router = fleet.processes[name]
        router.drain(stop_schedule.for_drain_time(15.0), router.environment.now())
        fleet.net.apps.pop(fleet.settings[name]["http"])  # the server stops listening, then completes its responses
        fleet.call_later(0.05, lambda: fleet.kill(name, planned=True))
        fleet.call_later(1.0, lambda: fleet.start(name))

    fleet.loop.spawn(fleet.machines[name], run)


def stop_keeper(fleet, name):
    def run():
        keeper = fleet.processes[name]
        keeper.drain(stop_schedule.from_settings({}), keeper.environment.now())
        fleet.call_later(0.0, lambda: fleet.kill(name, planned=True))
        fleet.call_later(1.0, lambda: fleet.start(name))

    fleet.loop.spawn(fleet.machines[name], run)


@base.scenario
def anything(fleet):
    """Five random faults at random times."""
    keeps, routes, replicas = fleet.names("keep"), fleet.names("route"), fleet.names("replica")
    ends = [0.0]
    for number in range(5):
        at, span = 1 + 8 * fleet.random.random(), 0.5 + 3 * fleet.random.random()
        kind = fleet.random.choice(["kill", "freeze", "cut", "crash", "write", "leader", "lapse"])
        if kind == "kill":
            base.restart_machine(fleet, fleet.random.choice(keeps + routes), at, span)
        elif kind == "freeze":
            name = fleet.random.choice(keeps + routes)
            fleet.call_later(at, lambda name=name, span=span: fleet.machines[name].freeze(span))
        elif kind == "cut":
            pair = fleet.random.sample(keeps + routes, 2)
            fleet.call_later(at, lambda pair=pair: fleet.net.cut(*pair))
            fleet.call_later(at + span, fleet.net.heal)
        elif kind == "crash":
            base.restart_machine(fleet, fleet.random.choice(replicas), at, span)
        elif kind == "leader":
            base.on_leader(fleet, at, base.kill_and_back(fleet, span))
        elif kind == "lapse":
            fleet.call_later(at, lambda: base.expire_memory(fleet))
        base.write(fleet, at + 0.2 * fleet.random.random() - 0.1, f"any-{number}")
        ends.append(at + span)
    return max(ends) + 1
