"""Days that end with a fault: the configuration is read back after it."""

import tools.simulator.day_base as base

WRITE, HIT = 19.0, 19.02  # s; the last write, and the fault within 0.1 s after it


def closing(name, act):
    """A day whose last write meets act(f, leader), within the time a write takes or right after."""

    def run(f):
        base.write(f, WRITE, "last")
        base.on_owner(f, HIT + 0.1 * f.random.random(), lambda leader: act(f, leader))
        return None

    run.__name__ = "closing_" + name
    run.__doc__ = act.__doc__
    base.day(run)
    return act


@lambda act: closing("kill_owner", act)
def kill_owner(f, leader):
    base.kill_and_back(f, 4.0)(leader)


@lambda act: closing("kill_keepers", act)
def kill_keepers(f, leader):
    for name in f.names("keep"):
        base.restart_machine(f, name, 0.05 * f.random.random(), 2 + f.random.random())


@lambda act: closing("freeze", act)
def freeze(f, leader):
    f.machines[leader].freeze(4.0)


@lambda act: closing("cut", act)
def cut(f, leader):
    """The leader is cut from the other keepers, not from operators; two race at it then."""
    latest = max(w["sequence"] for w in f.writes)
    f.net.split([leader], [k for k in f.names("keep") if k != leader])
    for who in "ab":
        f.operator(lambda who=who: f.apply(f"cut-{who}", latest))
    f.later(6, f.net.heal)


def bad_disk(f, leader, fault):
    setattr(f.disks[leader], fault, True)
    base.write(f, 0.1, f"into-{fault}")
    f.later(3, lambda: setattr(f.disks[leader], fault, False))
    base.restart_machine(f, leader, 4, 1)


@lambda act: closing("full_disk", act)
def full_disk(f, leader):
    bad_disk(f, leader, "full")


@lambda act: closing("failing_sync", act)
def failing_sync(f, leader):
    bad_disk(f, leader, "sync_fails")


@lambda act: closing("stall", act)
def stall(f, leader):
    f.disks[leader].delay = 2.0
    base.write(f, 0.1, "into-a-stalled-disk")
    f.later(4, lambda: setattr(f.disks[leader], "delay", 0.0))


@lambda act: closing("wipe", act)
def wipe(f, leader):
    f.kill(leader)
    f.wipe(leader)
    f.later(1.5, lambda: f.start(leader))


@lambda act: closing("race", act)
def race(f, leader):
    """Operators race over one base while the leader dies."""
    latest = max(w["sequence"] for w in f.writes)
    for who in "abc":
        f.operator(lambda who=who: f.apply(f"close-{who}", latest))
    f.later(0.004 * f.random.random(), lambda: base.kill_and_back(f, 2.0)(leader))
