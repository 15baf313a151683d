"""Days on which disks slow, fill, fail or are wiped, and keepers move."""

import tools.simulator.day_base as base


def disk_day(f, hurt, mend, least=2.0):
    box = []

    def act(name):
        box.append(name)
        hurt(f.disks[name])

    base.on_owner(f, 3, act)
    for n in range(8):
        base.write(f, 2.95 + n * 0.5, f"disk-{n}")
    f.later(3 + least, lambda: mend(f.disks[box[0]]))
    f.later(5.5 + least, lambda: f.kill(box[0]))
    f.later(6.5 + least, lambda: f.start(box[0]))
    return 6.5 + least


@base.day
def disk_slow(f):
    return disk_day(f, lambda d: setattr(d, "delay", 0.05), lambda d: setattr(d, "delay", 0.0))


@base.day
def disk_stalls(f):
    return disk_day(f, lambda d: setattr(d, "delay", 2.5), lambda d: setattr(d, "delay", 0.0))


@base.day
def disk_full(f):
    return disk_day(f, lambda d: setattr(d, "full", True), lambda d: setattr(d, "full", False))


@base.day
def disk_sync_fails(f):
    return disk_day(f, lambda d: setattr(d, "sync_fails", True), lambda d: setattr(d, "sync_fails", False))


@base.day
def wiped_after_acknowledgement(f):
    count = len(f.writes)

    def watch():
        if len(f.writes) > count:
            name = f.leader() or f.random.choice(f.names("keep"))
            f.kill(name)
            f.wipe(name)
            f.later(1.5, lambda: f.start(name))
        else:
            f.later(0.005, watch)

    base.write(f, 3, "then-wiped")
    f.later(3, watch)
    base.write(f, 12, "later")
    return 8


@base.day
def wiped_and_cut(f):
    """A follower that took part in an acknowledgement is wiped while the leader is cut off."""
    count = len(f.writes)

    def watch():
        if len(f.writes) == count:
            f.later(0.002, watch)
            return
        leader = f.leader() or "keep-1"
        keeps = f.names("keep")
        at = {n: f.parts[n].members[0].log.last for n in keeps}
        late = min((n for n in keeps if n != leader), key=lambda n: at[n])
        wiped = next(n for n in keeps if n not in (leader, late))
        f.kill(wiped)
        f.wipe(wiped)
        f.net.split([leader], [n for n in f.machines if n not in (leader, "outside")])
        f.later(0.5, lambda: f.start(wiped))
        f.later(8.0, f.net.heal)

    def slow_one():
        leader = f.leader() or "keep-1"
        late = f.random.choice([n for n in f.names("keep") if n != leader])
        f.net.cut(leader, late)  # it misses the write
        f.operator(lambda: f.apply("then-wiped"))

    f.later(3, slow_one)
    f.later(3, watch)
    return 12


@base.day
def torn_tail(f):
    for n in range(3):
        base.write(f, 3 + n * 0.3, f"torn-{n}")
    for name in f.names("keep"):
        base.restart_machine(f, name, 3 + f.random.random() * 0.9, 1.0)
    return 6


@base.day
def keeper_back_empty_elsewhere(f):
    def act(name):
        f.kill(name)
        f.wipe(name)
        f.move(name, "10.1.9.9:70")
        f.later(1.5, lambda: f.start(name))

    base.on_owner(f, 3, act)
    base.write(f, 4, "while-gone")
    base.write(f, 14, "after")
    return 6


@base.day
def keepers_swapped(f):
    """Each keeper goes for good; another machine takes its place."""
    for n, name in enumerate(f.names("keep")):
        at = 2 + 9 * n
        f.later(at, lambda k=n: f.add_keeper(f"keep-new-{k + 1}", k, f"10.1.7.{k + 1}:70"))
        f.later(at + 1, lambda name=name: f.kill(name))
        base.write(f, at + 6, f"swap-{n}")
    return 2 + 9 * 3 + 1
