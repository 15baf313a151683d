"""Scenarios that end with a fault, after which the configuration is read back."""

import tools.simulator.scenario_base as base

LAST_WRITE_AT, FAULT_AT = 19.0, 19.02  # s; the fault follows at a random moment within 0.1 s after FAULT_AT


def final_fault(name, act):
    """Register a scenario that runs act(fleet, leader) during its last write or right after."""

    def run(fleet):
        base.write(fleet, LAST_WRITE_AT, "last")
        base.on_leader(fleet, FAULT_AT + 0.1 * fleet.random.random(), lambda leader: act(fleet, leader))
        return None

    run.__name__ = "closing_" + name
    run.__doc__ = act.__doc__
    base.scenario(run)
    return act


@lambda act: final_fault("kill_owner", act)
def kill_owner(fleet, leader):
    base.kill_and_back(fleet, 4.0)(leader)


@lambda act: final_fault("kill_keepers", act)
def kill_keepers(fleet, leader):
    for name in fleet.names("keep"):
        base.restart_machine(fleet, name, 0.05 * fleet.random.random(), 2 + fleet.random.random())


@lambda act: final_fault("freeze", act)
def freeze(fleet, leader):
    fleet.machines[leader].freeze(4.0)


@lambda act: final_fault("cut", act)
def cut(fleet, leader):
    """The leader is cut from the other keepers, not from operators, of whom two write to it concurrently."""
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


@lambda act: final_fault("full_disk", act)
def full_disk(fleet, leader):
    bad_disk(fleet, leader, "full")


@lambda act: final_fault("failing_sync", act)
def failing_sync(fleet, leader):
    bad_disk(fleet, leader, "sync_fails")


@lambda act: final_fault("stall", act)
def stall(fleet, leader):
    fleet.disks[leader].delay = 2.0
    base.write(fleet, 0.1, "into-a-stalled-disk")
    fleet.call_later(4, lambda: setattr(fleet.disks[leader], "delay", 0.0))


@lambda act: final_fault("wipe", act)
def wipe(fleet, leader):
    fleet.kill(leader)
    fleet.wipe(leader)
    fleet.call_later(1.5, lambda: fleet.start(leader))


@lambda act: final_fault("race", act)
def race(fleet, leader):
    """Three operators write concurrently with the same base sequence while the leader dies."""
    latest = max(w["sequence"] for w in fleet.writes)
    for operator in "abc":
        fleet.operator(lambda operator=operator: fleet.apply(f"close-{operator}", latest))
    fleet.call_later(0.004 * fleet.random.random(), lambda: base.kill_and_back(fleet, 2.0)(leader))
