"""Days that end with a fault: the configuration is read back after it."""

import tools.simulator.day_base as base

WRITE, HIT = 19.0, 19.02  # s; the last write, and the fault within 0.1 s after it


def closing(name, act):
    """A day whose last write meets act(f, owner), within the time a write takes or right after."""

    def run(f):
        base.write(f, WRITE, "last")
        base.on_owner(f, HIT + 0.1 * f.random.random(), lambda owner: act(f, owner))
        return None

    run.__name__ = "closing_" + name
    run.__doc__ = act.__doc__
    base.day(run)
    return act


@lambda act: closing("kill_owner", act)
def kill_owner(f, owner):
    base.kill_and_back(f, 4.0)(owner)


@lambda act: closing("kill_keepers", act)
def kill_keepers(f, owner):
    for name in f.names("keep"):
        base.bounce_machine(f, name, 0.05 * f.random.random(), 2 + f.random.random())


@lambda act: closing("freeze", act)
def freeze(f, owner):
    f.machines[owner].freeze(4.0)


@lambda act: closing("cut", act)
def cut(f, owner):
    """The owner is cut from the other keepers, not from operators; two race at it then."""
    latest = max(w["sequence"] for w in f.writes)
    f.net.split([owner], [k for k in f.names("keep") if k != owner])
    for who in "ab":
        f.operator(lambda who=who: f.apply(f"cut-{who}", latest))
    f.later(6, f.net.heal)


def bad_disk(f, owner, fault):
    setattr(f.disks[owner], fault, True)
    base.write(f, 0.1, f"into-{fault}")
    f.later(3, lambda: setattr(f.disks[owner], fault, False))
    base.bounce_machine(f, owner, 4, 1)


@lambda act: closing("full_disk", act)
def full_disk(f, owner):
    bad_disk(f, owner, "full")


@lambda act: closing("failing_sync", act)
def failing_sync(f, owner):
    bad_disk(f, owner, "sync_fails")


@lambda act: closing("stall", act)
def stall(f, owner):
    f.disks[owner].delay = 2.0
    base.write(f, 0.1, "into-a-stalled-disk")
    f.later(4, lambda: setattr(f.disks[owner], "delay", 0.0))


@lambda act: closing("wipe", act)
def wipe(f, owner):
    f.kill(owner)
    f.wipe(owner)
    f.later(1.5, lambda: f.start(owner))


@lambda act: closing("race", act)
def race(f, owner):
    """Operators race over one base while the owner dies."""
    latest = max(w["sequence"] for w in f.writes)
    for who in "abc":
        f.operator(lambda who=who: f.apply(f"close-{who}", latest))
    f.later(0.004 * f.random.random(), lambda: base.kill_and_back(f, 2.0)(owner))
