"""Scenarios for the voting group: long partitions, losses right after repairs, keepers that miss many changes."""

import mothshed.runtime.stop_schedule as stop_schedule
import tools.simulator.scenario_base as base
import tools.simulator.scenarios_processes as scenarios_processes

CATCH_UP_S = 4.0  # s; a restarted or replaced machine counts as recovered after this time


def followers(fleet):
    leader = fleet.leader()
    return [name for name in fleet.names("keep") if name != leader and fleet.machines[name].alive]


def wipe_and_back(fleet, name, back=1.0):
    """Restart a machine at its address with an empty disk."""
    fleet.kill(name)
    fleet.wipe(name)
    fleet.call_later(back, lambda: fleet.start(name))


def replace(fleet, name, newcomer, at):
    """Remove a machine for good and start an empty one at another address, with live keepers as seeds."""
    fleet.kill(name)

    def start_newcomer():
        fleet.seeds = [fleet.settings[k]["address"] for k in living(fleet)][:3]
        fleet.add_keeper(newcomer, at, f"10.1.7.{at + 1}:70")

    fleet.call_later(1.0, start_newcomer)


def living(fleet):
    return [name for name in fleet.names("keep") if fleet.machines[name].alive]


def after_next_write(fleet, at, order_id, act, max_polls=2000):
    """Send a write and call act() once it is acknowledged."""

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
    """The leader of the configuration and one router are cut off; both sides receive writes and reads."""
    route = fleet.random.choice(fleet.names("route"))

    def cut(name):
        fleet.operator(lambda: fleet.apply("pending-at-the-cut"))
        fleet.call_later(0.003, lambda: fleet.net.split([name, route], [k for k in fleet.names("keep") if k != name]))

    base.on_leader(fleet, 3, cut)
    for number in range(12):
        base.write(fleet, 4.5 + 1.5 * number, f"in-the-cut-{number}")
    fleet.call_later(23, fleet.net.heal)
    return 23


@base.scenario
def losses_follow_repairs(fleet):
    """Each keeper is lost for good as soon as the replacement of the previous one counts as recovered."""
    for number in range(3):
        at = 3 + number * (1.0 + CATCH_UP_S + 0.1)
        names = {}

        def lose(number=number):
            names[number] = fleet.leader() or fleet.random.choice(living(fleet))
            replace(fleet, names[number], f"keep-new-{number + 1}", number)

        after_next_write(fleet, at, f"before-loss-{number}", lose)
        base.write(fleet, at + 3, f"after-loss-{number}")
    return 3 + 3 * (1.0 + CATCH_UP_S + 0.1)


@base.scenario
def wipes_in_a_row(fleet):
    """The leader loses its disk right after an acknowledgement, four times in a row."""
    for number in range(4):
        at = 3 + number * (1.0 + CATCH_UP_S + 0.1)
        after_next_write(
            fleet,
            at,
            f"then-wiped-{number}",
            lambda: wipe_and_back(fleet, fleet.leader() or fleet.random.choice(living(fleet))),
        )
    return 3 + 4 * (1.0 + CATCH_UP_S + 0.1)


@base.scenario
def planned_replacements(fleet):
    """A new keeper joins, then an old one is stopped; another is killed as soon as the new one has caught up."""
    old = list(fleet.names("keep"))
    for number, name in enumerate(old):
        at = 3 + 8 * number
        fleet.call_later(
            at, lambda number=number: fleet.add_keeper(f"keep-new-{number + 1}", number, f"10.1.7.{number + 1}:70")
        )
        fleet.call_later(at + 1, lambda name=name: retire(fleet, name))
        fleet.call_later(
            at + CATCH_UP_S + 0.1, lambda: base.kill_and_back(fleet, 1.0)(fleet.random.choice(living(fleet)))
        )
        base.write(fleet, at + CATCH_UP_S + 0.2, f"after-replacement-{number}")
    return 3 + 8 * len(old)


def retire(fleet, name):
    """Stop a keeper gracefully and for good."""

    def run():
        keeper = fleet.processes[name]
        keeper.drain(stop_schedule.from_settings({}), keeper.environment.now())
        fleet.call_later(0.0, lambda: fleet.kill(name, planned=True))

    fleet.loop.spawn(fleet.machines[name], run)


@base.scenario
def away_for_hundreds_of_changes(fleet):
    """A follower is down during hundreds of changes; once it has caught up, another keeper is lost."""
    stopped = []

    def stop():
        stopped.append(fleet.random.choice(followers(fleet) or living(fleet)))
        fleet.kill(stopped[0])

    fleet.call_later(3, stop)
    for number in range(300):
        base.write(fleet, 3.2 + 0.05 * number, f"many-{number}")
    fleet.call_later(12, lambda: fleet.start(stopped[0]))
    fleet.call_later(
        12 + CATCH_UP_S + 0.1, lambda: fleet.kill(fleet.random.choice([n for n in living(fleet) if n != stopped[0]]))
    )
    fleet.call_later(20, lambda: [fleet.start(name) for name in fleet.names("keep")])
    return 20


@base.scenario
def power_lost_right_after_a_repair(fleet):
    """All keepers lose power just after a keeper with a wiped disk has become a voter again."""
    after_next_write(fleet, 3, "then-wiped", lambda: wipe_and_back(fleet, fleet.leader() or living(fleet)[0]))

    def power_off_all():
        names = living(fleet)
        for name in names:
            fleet.kill(name)
        fleet.call_later(0.8, lambda: [fleet.start(name) for name in names])

    after_next_write(fleet, 3 + 1.0 + CATCH_UP_S + 0.05, "then-all-off", power_off_all)
    return 10


@base.scenario_with_fleet(keepers=5, losses=2)
def five_keepers_lose_two(fleet):
    """Two of five keepers fail at once: killed, then wiped right after an acknowledgement, then lost for good."""

    def pair():
        leader = fleet.leader() or living(fleet)[0]
        return [leader, fleet.random.choice([name for name in living(fleet) if name != leader])]

    fleet.call_later(3, lambda: [base.kill_and_back(fleet, 3.0)(name) for name in pair()])
    base.write(fleet, 4.5, "while-two-are-down")
    after_next_write(fleet, 11, "then-two-wiped", lambda: [wipe_and_back(fleet, name) for name in pair()])
    base.write(fleet, 13, "after-the-wipes")

    def lose():
        for number, name in enumerate(pair()):
            replace(fleet, name, f"keep-new-{number + 1}", number)

    after_next_write(fleet, 17, "then-two-lost", lose)
    base.write(fleet, 24, "after-the-losses")
    return 23


@base.scenario_with_fleet(keepers=5, losses=2)
def five_keepers_cut_in_two(fleet):
    """The leader and one follower are cut from the other three, with writes on both sides."""

    def cut(name):
        other = fleet.random.choice([k for k in fleet.names("keep") if k != name])
        fleet.net.split([name, other], [k for k in fleet.names("keep") if k not in (name, other)])

    base.on_leader(fleet, 3, cut)
    for number in range(6):
        base.write(fleet, 3.01 + 1.1 * number, f"in-the-cut-{number}")
    fleet.call_later(11, fleet.net.heal)
    return 11


@base.scenario_with_fleet(keepers=4, losses=1)
def four_keepers_stopped_in_turn(fleet):
    """In a group of four, the keepers are gracefully restarted one after another."""
    for number, name in enumerate(fleet.names("keep")):
        fleet.call_later(3 + 6 * number, lambda name=name: scenarios_processes.stop_keeper(fleet, name))
        base.write(fleet, 4 + 6 * number, f"while-stopped-{number}")
    return 3 + 6 * 4
