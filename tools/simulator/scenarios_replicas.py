"""Scenarios in which replicas fail, leave or are replaced, or the traffic changes."""

import mothshed.control_plane.parts as parts
import tools.simulator.scenario_base as base


@base.scenario
def replica_crash(fleet):
    for name in fleet.random.sample(fleet.names("replica"), 2):
        base.restart_machine(fleet, name, 3 + 4 * fleet.random.random())
    return 10


@base.scenario
def replica_dark(fleet):
    name = fleet.random.choice(fleet.names("replica"))
    fleet.call_later(3, lambda: fleet.processes[name].fault.update(dark_until=fleet.loop.time + 4))
    return 8


@base.scenario
def replica_lost(fleet):
    name = fleet.random.choice(fleet.names("replica"))
    fleet.call_later(3, lambda: fleet.kill(name))
    fleet.call_later(6, lambda: fleet.list.change(name, None))
    return 7


@base.scenario
def rolling_replacement(fleet):
    for number, name in enumerate(fleet.names("replica")):
        at = 2 + 5 * number
        fleet.call_later(
            at,
            lambda name=name, number=number: (
                fleet.add_replica("replica-new-" + name, 20 + number),
                fleet.list.change(name, {"name": name, "state": "leaving"}),
            ),
        )
        fleet.call_later(at + 4.5, lambda name=name: (fleet.kill(name, planned=True), fleet.list.change(name, None)))
    return 2 + 5 * len(fleet.names("replica"))


@base.scenario
def prefill_dies_holding(fleet):
    def act():
        holding = [n for n in fleet.names("replica") if fleet.processes[n].held and fleet.machines[n].alive]
        if holding:
            name = fleet.random.choice(holding)
            fleet.kill(name)
            fleet.call_later(2, lambda: fleet.start(name))

    for _ in range(40):
        fleet.call_later(3 + 4 * fleet.random.random(), lambda: fleet.random.random() < 0.08 and act())
    return 10


@base.scenario
def memory_lapses(fleet):
    for at in range(6):
        fleet.call_later(2 + at + fleet.random.random(), lambda: base.expire_memory(fleet))
    return 9


@base.scenario
def slow_links(fleet):
    fleet.call_later(2, lambda: [fleet.processes[n].fault.update(link=0.4) for n in fleet.names("replica")])
    fleet.call_later(7, lambda: [fleet.processes[n].fault.pop("link", None) for n in fleet.names("replica")])
    return 7


@base.scenario
def order_owner_killed(fleet):
    """The leader that assigns roles is killed while one replica keeps losing its role."""
    part = parts.part_of(fleet.plan["model"])
    name = fleet.random.choice(fleet.names("replica"))
    for number in range(8):
        base.restart_machine(fleet, name, 2.5 + 1.3 * number, 0.1)
    for at in (4.0, 8.0):
        base.on_leader(fleet, at + fleet.random.random() * 1.5, base.kill_and_back(fleet, 1.0), part)
    return 14


@base.scenario
def replica_answers_broken(fleet):
    """Replicas return short bodies, missing or foreign handles, truncated streams and errors after a 200."""
    for number, fault in enumerate(["short_body", "no_handle", "foreign_handle", "cut_after", "error_after"]):
        at = 2 + 1.5 * number
        fleet.call_later(
            at, lambda fault=fault: [fleet.processes[r].fault.update({fault: 1}) for r in fleet.names("replica")]
        )
        fleet.call_later(
            at + 1, lambda fault=fault: [fleet.processes[r].fault.pop(fault, None) for r in fleet.names("replica")]
        )
    return 11


@base.scenario
def replicas_bounce(fleet):
    """The decode replicas reject nearly everything for five seconds."""
    fleet.call_later(3, lambda: [fleet.processes[n].fault.update(bounce="decode") for n in fleet.names("replica")])
    fleet.call_later(8, lambda: [fleet.processes[n].fault.pop("bounce", None) for n in fleet.names("replica")])
    return 8


@base.scenario
def crowd(fleet):
    fleet.call_later(3, lambda: fleet.load(60, 4, seed=f"{fleet.seed}-crowd"))
    return 12


@base.scenario
def tenant_rush(fleet):
    """One tenant's load far exceeds the capacity of the replicas."""
    fleet.call_later(3, lambda: fleet.load(260, 5, seed=f"{fleet.seed}-rush", tenants=fleet.plan["tenants"][:1]))
    return 14


@base.scenario
def traffic_swing(fleet):
    long_prompt = {"summary": (1.0, 9000, 2048, 8, False, True)}
    long_answer = {"question": (1.0, 200, 256, 120, False, True)}
    fleet.call_later(2, lambda: fleet.load(5, 8, seed=f"{fleet.seed}-prompts", kinds=long_prompt))
    fleet.call_later(12, lambda: fleet.load(7, 8, seed=f"{fleet.seed}-answers", kinds=long_answer))
    return 22


@base.scenario
def leaving(fleet):
    name = fleet.random.choice(fleet.names("replica"))
    fleet.call_later(3, lambda: fleet.list.change(name, {"name": name, "state": "leaving"}))
    return 7


@base.scenario
def list_down(fleet):
    fleet.call_later(3, lambda: fleet.list.add_outage(6))
    return 9
