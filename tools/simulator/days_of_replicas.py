"""Days on which replicas fail, leave or are replaced, and traffic changes shape."""

import mothshed.control_plane.parts as parts
import tools.simulator.day_base as base


@base.day
def replica_crash(f):
    for name in f.random.sample(f.names("replica"), 2):
        base.restart_machine(f, name, 3 + 4 * f.random.random())
    return 10


@base.day
def replica_dark(f):
    name = f.random.choice(f.names("replica"))
    f.later(3, lambda: f.parts[name].fault.update(dark_until=f.loop.time + 4))
    return 8


@base.day
def replica_lost(f):
    name = f.random.choice(f.names("replica"))
    f.later(3, lambda: f.kill(name))
    f.later(6, lambda: f.list.change(name, None))
    return 7


@base.day
def rolling_replacement(f):
    for number, name in enumerate(f.names("replica")):
        at = 2 + 5 * number
        f.later(
            at,
            lambda n=name, k=number: (
                f.add_replica("replica-new-" + n, 20 + k),
                f.list.change(n, {"name": n, "state": "leaving"}),
            ),
        )
        f.later(at + 4.5, lambda n=name: (f.kill(n, planned=True), f.list.change(n, None)))
    return 2 + 5 * len(f.names("replica"))


@base.day
def prefill_dies_holding(f):
    def act():
        holding = [n for n in f.names("replica") if f.parts[n].held and f.machines[n].alive]
        if holding:
            name = f.random.choice(holding)
            f.kill(name)
            f.later(2, lambda: f.start(name))

    for _ in range(40):
        f.later(3 + 4 * f.random.random(), lambda: f.random.random() < 0.08 and act())
    return 10


@base.day
def memory_lapses(f):
    for at in range(6):
        f.later(2 + at + f.random.random(), lambda: base.lapse(f))
    return 9


@base.day
def slow_links(f):
    f.later(2, lambda: [f.parts[n].fault.update(link=0.4) for n in f.names("replica")])
    f.later(7, lambda: [f.parts[n].fault.pop("link", None) for n in f.names("replica")])
    return 7


@base.day
def order_owner_killed(f):
    """The node that orders the replicas is killed while one replica keeps losing its role."""
    part = parts.part_of(f.plan["model"])
    name = f.random.choice(f.names("replica"))
    for n in range(8):
        base.restart_machine(f, name, 2.5 + 1.3 * n, 0.1)
    for at in (4.0, 8.0):
        base.on_owner(f, at + f.random.random() * 1.5, base.kill_and_back(f, 1.0), part)
    return 14


@base.day
def replica_answers_broken(f):
    """Bodies that are short, handles missing or foreign, streams cut, errors after a 200."""
    for n, fault in enumerate(["short_body", "no_handle", "foreign_handle", "cut_after", "error_after"]):
        at = 2 + 1.5 * n
        f.later(at, lambda fault=fault: [f.parts[r].fault.update({fault: 1}) for r in f.names("replica")])
        f.later(at + 1, lambda fault=fault: [f.parts[r].fault.pop(fault, None) for r in f.names("replica")])
    return 11


@base.day
def replicas_bounce(f):
    """The decode side bounces nearly everything for a while."""
    f.later(3, lambda: [f.parts[n].fault.update(bounce="decode") for n in f.names("replica")])
    f.later(8, lambda: [f.parts[n].fault.pop("bounce", None) for n in f.names("replica")])
    return 8


@base.day
def crowd(f):
    f.later(3, lambda: f.load(60, 4, seed=f"{f.seed}-crowd"))
    return 12


@base.day
def tenant_rush(f):
    """One tenant asks for far more than the replicas can do."""
    f.later(3, lambda: f.load(260, 5, seed=f"{f.seed}-rush", tenants=f.plan["tenants"][:1]))
    return 14


@base.day
def traffic_swing(f):
    long_prompt = {"summary": (1.0, 9000, 2048, 8, False, True)}
    long_answer = {"question": (1.0, 200, 256, 120, False, True)}
    f.later(2, lambda: f.load(5, 8, seed=f"{f.seed}-prompts", kinds=long_prompt))
    f.later(12, lambda: f.load(7, 8, seed=f"{f.seed}-answers", kinds=long_answer))
    return 22


@base.day
def leaving(f):
    name = f.random.choice(f.names("replica"))
    f.later(3, lambda: f.list.change(name, {"name": name, "state": "leaving"}))
    return 7


@base.day
def list_down(f):
    f.later(3, lambda: f.list.add_outage(6))
    return 9
