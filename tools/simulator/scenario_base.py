"""Scenarios: the faults of one simulated run, and helpers that schedule them.

A scenario gets a ready fleet under load and schedules its faults by the fleet's own random numbers, so that a
seed repeats it exactly. It returns the time (in seconds from now) at which all faults are over, or None. Requests
sent at least twelve seconds later must be served; the rules of the judge hold during the whole run.
"""

import tools.callers as callers

SCENARIOS = {}
FLEET_OPTIONS = {}  # scenario -> arguments of SimFleet that differ from the defaults


def scenario(call):
    SCENARIOS[call.__name__] = call
    return call


def scenario_with_fleet(**shape):
    """Register a scenario whose fleet is built with these arguments."""

    def register(call):
        FLEET_OPTIONS[call.__name__] = shape
        return scenario(call)

    return register


def schedule_common_events(fleet):
    """Schedule what every run has: a write, a replica that leaves and returns, a request of an unknown tenant."""
    write(fleet, 3 + 4 * fleet.random.random(), "companion")
    name, at = (
        fleet.random.choice([n for n in fleet.names("replica") if n not in fleet.excluded_replicas]),
        4 + 4 * fleet.random.random(),
    )

    def list_as(state):
        if name in fleet.list.versions[-1][1]:
            fleet.list.change(name, {"state": state})

    fleet.call_later(at, lambda: list_as("leaving"))
    fleet.call_later(at + 5, lambda: list_as("ready"))
    call = {**callers.make_call(fleet.seed, "bad", ["nobody"]), "tenant": "nobody"}
    fleet.call_later(
        5,
        lambda: fleet.operator(
            lambda: fleet.rows.append(
                callers.send_call(fleet.ops, fleet.random.choice(fleet.http("route")), fleet.plan["model"], call)
            )
        ),
    )


def expire_memory(fleet):
    """Let all exported memory that replicas hold expire now."""
    fleet.memory_may_expire = True
    for name in fleet.names("replica"):
        fleet.machines[name].mark_faulty(0.0)
        for held in fleet.processes[name].held.values():
            held["exported_at"] = -1e9
        fleet.processes[name].expire_held()


def restart_machine(fleet, name, at, back=2.0):
    fleet.call_later(at, lambda: fleet.kill(name))
    fleet.call_later(at + back, lambda: fleet.start(name))


def freeze_at(fleet, hook, at=3, span=3.5):
    """Freeze a router at its next send, in the network's callback `hook`, and change the configuration meanwhile."""

    def freeze(machine, path):
        if machine.name.startswith("route") and path.startswith("v1/"):
            setattr(fleet.net, hook, lambda machine, path: None)
            machine.freeze(span)
            fleet.operator(lambda: fleet.apply("behind-its-back"))

    fleet.call_later(at, lambda: setattr(fleet.net, hook, freeze))


def on_leader(fleet, at, act, part=0):
    def run():
        name = fleet.leader(part) or fleet.random.choice(fleet.names("keep"))
        act(name)

    fleet.call_later(at, run)


def write(fleet, at, order_id, base=None):
    fleet.call_later(at, lambda: fleet.operator(lambda: fleet.apply(order_id, base)))


def kill_and_back(fleet, back=2.0):
    def act(name):
        fleet.kill(name)
        fleet.call_later(back, lambda: fleet.start(name))

    return act
