"""Days that test the voting group: long cuts, losses that follow repairs, keepers away while much changes."""

import tools.simulator.scenario_base as base
import tools.simulator.scenarios_processes as scenarios_processes

CATCH_UP = 4.0  # s; the time after which a machine that is back, or its successor, counts no more as lost


def followers(fleet):
    leader = fleet.leader()
    return [name for name in fleet.names("keep") if name != leader and fleet.machines[name].alive]


def wipe_and_back(fleet, name, back=1.0):
    """The machine loses its disk and starts again where it was."""
    fleet.kill(name)
    fleet.wipe(name)
    fleet.call_later(back, lambda: fleet.start(name))


def replace(fleet, name, newcomer, at):
    """The machine is gone for good; an empty one comes at another address and is told of those that live."""
    fleet.kill(name)

    def come():
        fleet.seeds = [fleet.settings[k]["address"] for k in living(fleet)][:3]
        fleet.add_keeper(newcomer, at, f"10.1.7.{at + 1}:70")

    fleet.call_later(1.0, come)


def living(fleet):
    return [name for name in fleet.names("keep") if fleet.machines[name].alive]


def after_next_write(fleet, at, order_id, act, max_polls=2000):
    """At the next acknowledged write, act(); the write is sent now."""

    def start():
        count = len(fleet.writes)
        fleet.operator(lambda: fleet.apply(order_id))
        watch(count, max_polls)

    def watch(count, left):
        if len(fleet.writes) > count:
            act()
        elif left:
            fleet.call_later(0.005, lambda: watch(count, left - 1))

    fleet.call_later(at, start)


@base.scenario
def leader_cut_for_twenty_seconds(fleet):
    """The leader of the configuration is cut off with one router; both sides are written to and read."""
    route = fleet.random.choice(fleet.names("route"))

    def cut(name):
        fleet.operator(lambda: fleet.apply("pending-at-the-cut"))
        fleet.call_later(0.003, lambda: fleet.net.split([name, route], [k for k in fleet.names("keep") if k != name]))

    base.on_leader(fleet, 3, cut)
    for n in range(12):
        base.write(fleet, 4.5 + 1.5 * n, f"in-the-cut-{n}")
    fleet.call_later(23, fleet.net.heal)
    return 23


@base.scenario
def losses_follow_repairs(fleet):
    """Each keeper is lost for good as soon as the successor of the one before counts."""
    for n in range(3):
        at = 3 + n * (1.0 + CATCH_UP + 0.1)
        names = {}

        def lose(n=n):
            names[n] = fleet.leader() or fleet.random.choice(living(fleet))
            replace(fleet, names[n], f"keep-new-{n + 1}", n)

        after_next_write(fleet, at, f"before-loss-{n}", lose)
        base.write(fleet, at + 3, f"after-loss-{n}")
    return 3 + 3 * (1.0 + CATCH_UP + 0.1)


@base.scenario
def wipes_in_a_row(fleet):
    """The disk of whoever leads is lost right after an acknowledgement, again and again."""
    for n in range(4):
        at = 3 + n * (1.0 + CATCH_UP + 0.1)
        after_next_write(
            fleet,
            at,
            f"then-wiped-{n}",
            lambda: wipe_and_back(fleet, fleet.leader() or fleet.random.choice(living(fleet))),
        )
    return 3 + 4 * (1.0 + CATCH_UP + 0.1)


@base.scenario
def planned_replacements(fleet):
    """A new keeper comes first, then an old one is stopped; the next loss comes when the new one counts."""
    old = list(fleet.names("keep"))
    for n, name in enumerate(old):
        at = 3 + 8 * n
        fleet.call_later(at, lambda n=n: fleet.add_keeper(f"keep-new-{n + 1}", n, f"10.1.7.{n + 1}:70"))
        fleet.call_later(at + 1, lambda name=name: retire(fleet, name))
        fleet.call_later(
            at + CATCH_UP + 0.1, lambda: base.kill_and_back(fleet, 1.0)(fleet.random.choice(living(fleet)))
        )
        base.write(fleet, at + CATCH_UP + 0.2, f"after-replacement-{n}")
    return 3 + 8 * len(old)


def retire(fleet, name):
    """The keeper is stopped politely and does not come back."""

    def run():
        fleet.parts[name].drain()
        fleet.call_later(0.0, lambda: fleet.kill(name, planned=True))

    fleet.loop.spawn(fleet.machines[name], run)


@base.scenario
def away_for_hundreds_of_changes(fleet):
    """A follower is down while hundreds of changes go by; when it counts again, another one is lost."""
    box = []

    def stop():
        box.append(fleet.random.choice(followers(fleet) or living(fleet)))
        fleet.kill(box[0])

    fleet.call_later(3, stop)
    for n in range(300):
        base.write(fleet, 3.2 + 0.05 * n, f"many-{n}")
    fleet.call_later(12, lambda: fleet.start(box[0]))
    fleet.call_later(
        12 + CATCH_UP + 0.1, lambda: fleet.kill(fleet.random.choice([n for n in living(fleet) if n != box[0]]))
    )
    fleet.call_later(20, lambda: [fleet.start(name) for name in fleet.names("keep")])
    return 20


@base.scenario
def power_lost_right_after_a_repair(fleet):
    """A wiped keeper is back and just voting again when all machines lose power."""
    after_next_write(fleet, 3, "then-wiped", lambda: wipe_and_back(fleet, fleet.leader() or living(fleet)[0]))

    def all_off():
        names = living(fleet)
        for name in names:
            fleet.kill(name)
        fleet.call_later(0.8, lambda: [fleet.start(name) for name in names])

    after_next_write(fleet, 3 + 1.0 + CATCH_UP + 0.05, "then-all-off", all_off)
    return 10


@base.scenario_with_fleet(keepers=5, losses=2)
def five_keepers_lose_two(fleet):
    """Two of five at once: killed, then wiped right after an acknowledgement, then lost for good."""

    def pair():
        leader = fleet.leader() or living(fleet)[0]
        return [leader, fleet.random.choice([name for name in living(fleet) if name != leader])]

    fleet.call_later(3, lambda: [base.kill_and_back(fleet, 3.0)(name) for name in pair()])
    base.write(fleet, 4.5, "while-two-are-down")
    after_next_write(fleet, 11, "then-two-wiped", lambda: [wipe_and_back(fleet, name) for name in pair()])
    base.write(fleet, 13, "after-the-wipes")

    def lose():
        for n, name in enumerate(pair()):
            replace(fleet, name, f"keep-new-{n + 1}", n)

    after_next_write(fleet, 17, "then-two-lost", lose)
    base.write(fleet, 24, "after-the-losses")
    return 23


@base.scenario_with_fleet(keepers=5, losses=2)
def five_keepers_cut_in_two(fleet):
    """The leader and another one are cut from the other three, with changes on both sides."""

    def cut(name):
        other = fleet.random.choice([k for k in fleet.names("keep") if k != name])
        fleet.net.split([name, other], [k for k in fleet.names("keep") if k not in (name, other)])

    base.on_leader(fleet, 3, cut)
    for n in range(6):
        base.write(fleet, 3.01 + 1.1 * n, f"in-the-cut-{n}")
    fleet.call_later(11, fleet.net.heal)
    return 11


@base.scenario_with_fleet(keepers=4, losses=1)
def four_keepers_stopped_in_turn(fleet):
    """An even group: each keeper is stopped politely and starts again, one after another."""
    for n, name in enumerate(fleet.names("keep")):
        fleet.call_later(3 + 6 * n, lambda name=name: scenarios_processes.stop_keeper(fleet, name))
        base.write(fleet, 4 + 6 * n, f"while-stopped-{n}")
    return 3 + 6 * 4
