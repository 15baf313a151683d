"""Days that test the voting group: long cuts, losses that follow repairs, keepers away while much changes."""

import tools.simulator.day_base as base
import tools.simulator.days_of_machines as days_of_machines

CATCH_UP = 4.0  # s; the time after which a machine that is back, or its successor, counts no more as lost


def followers(f):
    leader = f.leader()
    return [name for name in f.names("keep") if name != leader and f.machines[name].alive]


def wipe_and_back(f, name, back=1.0):
    """The machine loses its disk and starts again where it was."""
    f.kill(name)
    f.wipe(name)
    f.later(back, lambda: f.start(name))


def replace(f, name, newcomer, at):
    """The machine is gone for good; an empty one comes at another address and is told of those that live."""
    f.kill(name)

    def come():
        f.seeds = [f.settings[k]["address"] for k in living(f)][:3]
        f.add_keeper(newcomer, at, f"10.1.7.{at + 1}:70")

    f.later(1.0, come)


def living(f):
    return [name for name in f.names("keep") if f.machines[name].alive]


def after_next_write(f, at, mark, act, attempts=2000):
    """At the next acknowledged write, act(); the write is sent now."""

    def start():
        count = len(f.writes)
        f.operator(lambda: f.apply(mark))
        watch(count, attempts)

    def watch(count, left):
        if len(f.writes) > count:
            act()
        elif left:
            f.later(0.005, lambda: watch(count, left - 1))

    f.later(at, start)


@base.day
def leader_cut_for_twenty_seconds(f):
    """The leader of the configuration is cut off with one router; both sides are written to and read."""
    route = f.random.choice(f.names("route"))

    def cut(name):
        f.operator(lambda: f.apply("pending-at-the-cut"))
        f.later(0.003, lambda: f.net.split([name, route], [k for k in f.names("keep") if k != name]))

    base.on_owner(f, 3, cut)
    for n in range(12):
        base.write(f, 4.5 + 1.5 * n, f"in-the-cut-{n}")
    f.later(23, f.net.heal)
    return 23


@base.day
def losses_follow_repairs(f):
    """Each keeper is lost for good as soon as the successor of the one before counts."""
    for n in range(3):
        at = 3 + n * (1.0 + CATCH_UP + 0.1)
        names = {}

        def lose(n=n):
            names[n] = f.leader() or f.random.choice(living(f))
            replace(f, names[n], f"keep-new-{n + 1}", n)

        after_next_write(f, at, f"before-loss-{n}", lose)
        base.write(f, at + 3, f"after-loss-{n}")
    return 3 + 3 * (1.0 + CATCH_UP + 0.1)


@base.day
def wipes_in_a_row(f):
    """The disk of whoever leads is lost right after an acknowledgement, again and again."""
    for n in range(4):
        at = 3 + n * (1.0 + CATCH_UP + 0.1)
        after_next_write(f, at, f"then-wiped-{n}", lambda: wipe_and_back(f, f.leader() or f.random.choice(living(f))))
    return 3 + 4 * (1.0 + CATCH_UP + 0.1)


@base.day
def planned_replacements(f):
    """A new keeper comes first, then an old one is stopped; the next loss comes when the new one counts."""
    old = list(f.names("keep"))
    for n, name in enumerate(old):
        at = 3 + 8 * n
        f.later(at, lambda n=n: f.add_keeper(f"keep-new-{n + 1}", n, f"10.1.7.{n + 1}:70"))
        f.later(at + 1, lambda name=name: retire(f, name))
        f.later(at + CATCH_UP + 0.1, lambda: base.kill_and_back(f, 1.0)(f.random.choice(living(f))))
        base.write(f, at + CATCH_UP + 0.2, f"after-replacement-{n}")
    return 3 + 8 * len(old)


def retire(f, name):
    """The keeper is stopped politely and does not come back."""

    def run():
        f.parts[name].drain()
        f.later(0.0, lambda: f.kill(name, planned=True))

    f.loop.spawn(f.machines[name], run)


@base.day
def away_for_hundreds_of_changes(f):
    """A follower is down while hundreds of changes go by; when it counts again, another one is lost."""
    box = []

    def stop():
        box.append(f.random.choice(followers(f) or living(f)))
        f.kill(box[0])

    f.later(3, stop)
    for n in range(300):
        base.write(f, 3.2 + 0.05 * n, f"many-{n}")
    f.later(12, lambda: f.start(box[0]))
    f.later(12 + CATCH_UP + 0.1, lambda: f.kill(f.random.choice([n for n in living(f) if n != box[0]])))
    f.later(20, lambda: [f.start(name) for name in f.names("keep")])
    return 20


@base.day
def power_lost_right_after_a_repair(f):
    """A wiped keeper is back and just voting again when all machines lose power."""
    after_next_write(f, 3, "then-wiped", lambda: wipe_and_back(f, f.leader() or living(f)[0]))

    def all_off():
        names = living(f)
        for name in names:
            f.kill(name)
        f.later(0.8, lambda: [f.start(name) for name in names])

    after_next_write(f, 3 + 1.0 + CATCH_UP + 0.05, "then-all-off", all_off)
    return 10


@base.day_of(keepers=5, losses=2)
def five_keepers_lose_two(f):
    """Two of five at once: killed, then wiped right after an acknowledgement, then lost for good."""

    def pair():
        leader = f.leader() or living(f)[0]
        return [leader, f.random.choice([name for name in living(f) if name != leader])]

    f.later(3, lambda: [base.kill_and_back(f, 3.0)(name) for name in pair()])
    base.write(f, 4.5, "while-two-are-down")
    after_next_write(f, 11, "then-two-wiped", lambda: [wipe_and_back(f, name) for name in pair()])
    base.write(f, 13, "after-the-wipes")

    def lose():
        for n, name in enumerate(pair()):
            replace(f, name, f"keep-new-{n + 1}", n)

    after_next_write(f, 17, "then-two-lost", lose)
    base.write(f, 24, "after-the-losses")
    return 23


@base.day_of(keepers=5, losses=2)
def five_keepers_cut_in_two(f):
    """The leader and another one are cut from the other three, with changes on both sides."""

    def cut(name):
        other = f.random.choice([k for k in f.names("keep") if k != name])
        f.net.split([name, other], [k for k in f.names("keep") if k not in (name, other)])

    base.on_owner(f, 3, cut)
    for n in range(6):
        base.write(f, 3.01 + 1.1 * n, f"in-the-cut-{n}")
    f.later(11, f.net.heal)
    return 11


@base.day_of(keepers=4, losses=1)
def four_keepers_stopped_in_turn(f):
    """An even group: each keeper is stopped politely and starts again, one after another."""
    for n, name in enumerate(f.names("keep")):
        f.later(3 + 6 * n, lambda name=name: days_of_machines.stop_keeper(f, name))
        base.write(f, 4 + 6 * n, f"while-stopped-{n}")
    return 3 + 6 * 4
