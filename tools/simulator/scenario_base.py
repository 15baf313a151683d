"""Days: what goes wrong in one simulated run, each a line of the brief's "What fails".

A day gets a ready fleet under load and schedules its faults from the fleet's own
chance, so that a seed repeats it exactly. It returns the moment (seconds from
now) by which everything is back; what is asked twelve seconds later must be
served, and the judge's rules hold for the whole day.
"""

import tools.callers as callers

SCENARIOS = {}
FLEET_OPTIONS = {}  # day -> what its fleet has beside the usual, for SimFleet


def scenario(call):
    SCENARIOS[call.__name__] = call
    return call


def scenario_with_fleet(**shape):
    """A day whose fleet has another shape than the usual one."""

    def note(call):
        FLEET_OPTIONS[call.__name__] = shape
        return scenario(call)

    return note


def companions(fleet):
    """What goes on during every day: a change, a replica that leaves and comes back, a request of nobody's."""
    write(fleet, 3 + 4 * fleet.random.random(), "companion")
    name, at = (
        fleet.random.choice([n for n in fleet.names("replica") if n not in fleet.excluded_replicas]),
        4 + 4 * fleet.random.random(),
    )

    def show(state):
        if name in fleet.list.versions[-1][1]:
            fleet.list.change(name, {"state": state})

    fleet.call_later(at, lambda: show("leaving"))
    fleet.call_later(at + 5, lambda: show("ready"))
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
    """All held memory lapses at once."""
    fleet.memory_may_expire = True
    for name in fleet.names("replica"):
        fleet.machines[name].mark_faulty(0.0)
        for held in fleet.parts[name].held.values():
            held["exported_at"] = -1e9
        fleet.parts[name].expire_held()


def restart_machine(fleet, name, at, back=2.0):
    fleet.call_later(at, lambda: fleet.kill(name))
    fleet.call_later(at + back, lambda: fleet.start(name))


def freeze_at(fleet, hook, at=3, span=3.5):
    """At the network's next such moment of a router's send it freezes, and the configuration changes meanwhile."""

    def seen(machine, path):
        if machine.name.startswith("route") and path.startswith("v1/"):
            setattr(fleet.net, hook, lambda machine, path: None)
            machine.freeze(span)
            fleet.operator(lambda: fleet.apply("behind-its-back"))

    fleet.call_later(at, lambda: setattr(fleet.net, hook, seen))


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
