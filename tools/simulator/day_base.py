"""Days: what goes wrong in one simulated run, each a line of the brief's "What fails".

A day gets a ready fleet under load and schedules its faults from the fleet's own
chance, so that a seed repeats it exactly. It returns the moment (seconds from
now) by which everything is back; what is asked twelve seconds later must be
served, and the judge's rules hold for the whole day.
"""

import tools.callers as callers

DAYS = {}
SHAPES = {}  # day -> what its fleet has beside the usual, for SimFleet


def day(call):
    DAYS[call.__name__] = call
    return call


def day_of(**shape):
    """A day whose fleet has another shape than the usual one."""

    def note(call):
        SHAPES[call.__name__] = shape
        return day(call)

    return note


def companions(f):
    """What goes on during every day: a change, a replica that leaves and comes back, a request of nobody's."""
    write(f, 3 + 4 * f.random.random(), "companion")
    name, at = f.random.choice([n for n in f.names("replica") if n not in f.spared]), 4 + 4 * f.random.random()

    def show(state):
        if name in f.list.versions[-1][1]:
            f.list.change(name, {"state": state})

    f.later(at, lambda: show("leaving"))
    f.later(at + 5, lambda: show("ready"))
    call = {**callers.make_call(f.seed, "bad", ["nobody"]), "tenant": "nobody"}
    f.later(
        5,
        lambda: f.operator(
            lambda: f.rows.append(callers.send_call(f.ops, f.random.choice(f.http("route")), f.plan["model"], call))
        ),
    )


def lapse(f):
    """All held memory lapses at once."""
    f.lapse = True
    for name in f.names("replica"):
        f.machines[name].hit(0.0)
        for held in f.parts[name].held.values():
            held["exported_at"] = -1e9
        f.parts[name].expire_held()


def restart_machine(f, name, at, back=2.0):
    f.later(at, lambda: f.kill(name))
    f.later(at + back, lambda: f.start(name))


def freeze_at(f, hook, at=3, span=3.5):
    """At the network's next such moment of a router's send it freezes, and the configuration changes meanwhile."""

    def seen(machine, path):
        if machine.name.startswith("route") and path.startswith("v1/"):
            setattr(f.net, hook, lambda machine, path: None)
            machine.freeze(span)
            f.operator(lambda: f.apply("behind-its-back"))

    f.later(at, lambda: setattr(f.net, hook, seen))


def on_owner(f, at, act, part=0):
    def run():
        name = f.leader(part) or f.random.choice(f.names("keep"))
        act(name)

    f.later(at, run)


def write(f, at, mark, base=None):
    f.later(at, lambda: f.operator(lambda: f.apply(mark, base)))


def kill_and_back(f, back=2.0):
    def act(name):
        f.kill(name)
        f.later(back, lambda: f.start(name))

    return act
