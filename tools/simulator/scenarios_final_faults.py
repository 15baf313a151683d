"""Days that end with a fault: the configuration is read back after it."""

import tools.simulator.scenario_base as base

WRITE, HIT = 19.0, 19.02  # s; the last write, and the fault within 0.1 s after it


def closing(name, act):
    """A day whose last write meets act(fleet, leader), within the time a write takes or right after."""

    def run(fleet):
        base.write(fleet, WRITE, "last")
        base.on_leader(fleet, HIT + 0.1 * fleet.random.random(), lambda leader: act(fleet, leader))
        return None

    run.__name__ = "closing_" + name
    run.__doc__ = act.__doc__
    base.scenario(run)
    return act


@lambda act: closing("kill_owner", act)
def kill_owner(fleet, leader):
    base.kill_and_back(fleet, 4.0)(leader)


@lambda act: closing("kill_keepers", act)
def kill_keepers(fleet, leader):
    for name in fleet.names("keep"):
        base.restart_machine(fleet, name, 0.05 * fleet.random.random(), 2 + fleet.random.random())


@lambda act: closing("freeze", act)
def freeze(fleet, leader):
    fleet.machines[leader].freeze(4.0)


@lambda act: closing("cut", act)
def cut(fleet, leader):
    """The leader is cut from the other keepers, not from operators; two race at it then."""
    latest = max(w["sequence"] for w in fleet.writes)
    fleet.net.split([leader], [k for k in fleet.names("keep") if k != leader])
    for operator in "ab":
        fleet.operator(lambda operator=operator: fleet.apply(f"cut-{operator}", latest))
    fleet.call_later(6, fleet.net.heal)


def bad_disk(fleet, leader, fault):
    setattr(fleet.disks[leader], fault, True)
    base.write(fleet, 0.1, f"into-{fault}")
    fleet.call_later(3, lambda: setattr(fleet.disks[leader], fault, False))
    base.restart_machine(fleet, leader, 4, 1)


@lambda act: closing("full_disk", act)
def full_disk(fleet, leader):
    bad_disk(fleet, leader, "full")


@lambda act: closing("failing_sync", act)
def failing_sync(fleet, leader):
    bad_disk(fleet, leader, "sync_fails")


@lambda act: closing("stall", act)
def stall(fleet, leader):
    fleet.disks[leader].delay = 2.0
    base.write(fleet, 0.1, "into-a-stalled-disk")
    fleet.call_later(4, lambda: setattr(fleet.disks[leader], "delay", 0.0))


@lambda act: closing("wipe", act)
def wipe(fleet, leader):
    fleet.kill(leader)
    fleet.wipe(leader)
    fleet.call_later(1.5, lambda: fleet.start(leader))


@lambda act: closing("race", act)
def race(fleet, leader):
    """Operators race over one base while the leader dies."""
    latest = max(w["sequence"] for w in fleet.writes)
    for operator in "abc":
        fleet.operator(lambda operator=operator: fleet.apply(f"close-{operator}", latest))
    fleet.call_later(0.004 * fleet.random.random(), lambda: base.kill_and_back(fleet, 2.0)(leader))
