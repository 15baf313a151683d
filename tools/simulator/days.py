"""Days: what goes wrong in one simulated run, each a line of the brief's "What fails".

A day gets a ready fleet under load and schedules its faults from the fleet's own
chance, so that a seed repeats it exactly. It returns the moment (seconds from
now) by which everything is back; what is asked twelve seconds later must be
served, and the judge's rules hold for the whole day.
"""

DAYS = {}


def day(call):
    DAYS[call.__name__] = call
    return call


def bounce_machine(f, name, at, back=2.0):
    f.later(at, lambda: f.kill(name))
    f.later(at + back, lambda: f.start(name))


def on_owner(f, at, act, part=0):
    def run():
        name = f.owner(part) or f.random.choice(f.names("keep"))
        act(name)
    f.later(at, run)


def write(f, at, mark, base=None):
    f.later(at, lambda: f.operator(lambda: f.apply(mark, base)))


def kill_and_back(f, back=2.0):
    def act(name):
        f.kill(name)
        f.later(back, lambda: f.start(name))
    return act


@day
def calm(f):
    write(f, 4, "calm")
    return 0


@day
def kill_router(f):
    bounce_machine(f, f.random.choice(f.names("route")), 3 + f.random.random())
    return 6


@day
def kill_owner(f):
    on_owner(f, 2 + f.random.random(), kill_and_back(f))
    write(f, 1.9 + f.random.random(), "near-kill")
    write(f, 8, "after")
    return 6


@day
def kill_many(f):
    for name in f.random.sample(f.names("keep") + f.names("route"), 4):
        bounce_machine(f, name, 3 + f.random.random(), 2 + f.random.random())
    write(f, 3, "amid")
    return 7


@day
def kill_all(f):
    write(f, 2.5, "before")
    for name in f.names("keep") + f.names("route"):
        bounce_machine(f, name, 3, 1 + f.random.random())
    return 5


@day
def freeze_router(f):
    at = 3 + f.random.random()
    f.later(at, lambda: f.machines[f.random.choice(f.names("route"))].freeze(1 + 4 * f.random.random()))
    write(f, at + f.random.random() * 0.3 - 0.1, "amid-freeze")
    return 9


@day
def freeze_owner(f):
    at = 3 + f.random.random()
    on_owner(f, at, lambda n: f.machines[n].freeze(0.3 + 3 * f.random.random()))
    write(f, at - 0.02 + f.random.random() * 0.1, "amid-freeze")
    write(f, at + 2, "next")
    return 9


@day
def replica_crash(f):
    for name in f.random.sample(f.names("replica"), 2):
        bounce_machine(f, name, 3 + 4 * f.random.random())
    return 10


@day
def replica_dark(f):
    name = f.random.choice(f.names("replica"))
    f.later(3, lambda: f.parts[name].fault.update(dark_until=f.loop.time + 4))
    return 8


@day
def replica_lost(f):
    name = f.random.choice(f.names("replica"))
    f.later(3, lambda: f.kill(name))
    f.later(6, lambda: f.list.change(name, None))
    return 7


@day
def rolling_replacement(f):
    for number, name in enumerate(f.names("replica")):
        at = 2 + 5 * number
        f.later(at, lambda n=name, k=number: (f.add_replica("replica-new-" + n, 20 + k),
                                              f.list.change(n, {"name": n, "state": "leaving"})))
        f.later(at + 4.5, lambda n=name: (f.kill(n), f.list.change(n, None)))
    return 2 + 5 * len(f.names("replica"))


@day
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


@day
def memory_lapses(f):
    def act():
        for name in f.names("replica"):
            for held in f.parts[name].held.values():
                held["born"] = -1e9
            f.parts[name].lapse()
    for at in range(6):
        f.later(2 + at + f.random.random(), act)
    return 9


@day
def slow_links(f):
    f.later(2, lambda: [f.parts[n].fault.update(link=0.4) for n in f.names("replica")])
    f.later(7, lambda: [f.parts[n].fault.pop("link", None) for n in f.names("replica")])
    return 7


def disk_day(f, hurt, mend, least=2.0):
    box = []

    def act(name):
        box.append(name)
        hurt(f.disks[name])
    on_owner(f, 3, act)
    for n in range(4):
        write(f, 2.95 + n * 0.8, f"disk-{n}")
    f.later(3 + least, lambda: mend(f.disks[box[0]]))
    f.later(3.1 + least, lambda: f.kill(box[0]))
    f.later(4.1 + least, lambda: f.start(box[0]))
    return 4.1 + least


@day
def disk_slow(f):
    return disk_day(f, lambda d: setattr(d, "delay", 0.05), lambda d: setattr(d, "delay", 0.0))


@day
def disk_stalls(f):
    return disk_day(f, lambda d: setattr(d, "delay", 2.5), lambda d: setattr(d, "delay", 0.0))


@day
def disk_full(f):
    return disk_day(f, lambda d: setattr(d, "full", True), lambda d: setattr(d, "full", False))


@day
def disk_sync_fails(f):
    return disk_day(f, lambda d: setattr(d, "sync_fails", True), lambda d: setattr(d, "sync_fails", False))


@day
def wiped_after_acknowledgement(f):
    count = len(f.writes)

    def watch():
        if len(f.writes) > count:
            name = f.owner() or f.random.choice(f.names("keep"))
            f.kill(name)
            f.wipe(name)
            f.later(1.5, lambda: f.start(name))
        else:
            f.later(0.005, watch)
    write(f, 3, "then-wiped")
    f.later(3, watch)
    write(f, 12, "later")
    return 8


@day
def torn_tail(f):
    for n in range(3):
        write(f, 3 + n * 0.3, f"torn-{n}")
    for name in f.names("keep"):
        bounce_machine(f, name, 3 + f.random.random() * 0.9, 1.0)
    return 6


@day
def keeper_back_empty_elsewhere(f):
    def act(name):
        f.kill(name)
        f.wipe(name)
        f.move(name, "10.1.9.9:70")
        f.later(1.5, lambda: f.start(name))
    on_owner(f, 3, act)
    write(f, 4, "while-gone")
    write(f, 14, "after")
    return 6


@day
def keepers_swapped(f):
    """Each keeper goes for good; another machine takes its place."""
    for n, name in enumerate(f.names("keep")):
        at = 2 + 9 * n
        f.later(at, lambda k=n: f.add_keeper(f"keep-new-{k + 1}", k, f"10.1.7.{k + 1}:70"))
        f.later(at + 1, lambda name=name: f.kill(name))
        write(f, at + 6, f"swap-{n}")
    return 2 + 9 * 3 + 1


@day
def core_cut(f):
    keeps, routes = f.names("keep"), f.names("route")
    side = f.random.sample(keeps, 1) + f.random.sample(routes, 1)
    rest = [n for n in keeps + routes if n not in side]
    at = 3 + f.random.random()
    f.later(at, lambda: f.net.split(side, rest))
    write(f, at + 0.1, "amid-cut")
    write(f, at + 2.5, "in-cut")
    f.later(at + 5, f.net.heal)
    return at + 5


@day
def one_cut_off(f):
    name = f.random.choice(f.names("keep") + f.names("route"))
    others = [n for n in f.machines if n not in (name, "outside")]
    at = 3 + f.random.random()
    f.later(at, lambda: f.net.split([name], others))
    write(f, at + 0.02, "amid-cut")
    f.later(at + 4, f.net.heal)
    return at + 4


@day
def one_way_cut(f):
    name = f.random.choice(f.names("keep") + f.names("route"))
    others = [n for n in f.machines if n not in (name, "outside")]
    inward = f.random.random() < 0.5
    at = 3 + f.random.random()
    f.later(at, lambda: [f.net.cuts.add((o, name) if inward else (name, o)) for o in others])
    write(f, at + 0.02, "amid-cut")
    f.later(at + 4, f.net.heal)
    return at + 4


@day
def configuration_storm(f):
    for n in range(25):
        write(f, 3 + n * 0.12, f"storm-{n}")
    return 7


@day
def configuration_race(f):
    def race(n):
        base = max(w["sequence"] for w in f.writes)
        for who in "abc":
            f.operator(lambda who=who: f.apply(f"race-{n}-{who}", base))
    for n in range(4):
        f.later(3 + n, lambda n=n: race(n))
    on_owner(f, 4.0 + 0.01 * f.random.random(), kill_and_back(f))
    return 8


@day
def crowd(f):
    f.later(3, lambda: f.load(60, 4, seed=f"{f.seed}-crowd"))
    return 12


@day
def traffic_swing(f):
    long_prompt = {"summary": (1.0, 9000, 2048, 8, False, True)}
    long_answer = {"question": (1.0, 200, 256, 120, False, True)}
    f.later(2, lambda: f.load(5, 8, seed=f"{f.seed}-prompts", kinds=long_prompt))
    f.later(12, lambda: f.load(7, 8, seed=f"{f.seed}-answers", kinds=long_answer))
    return 22


@day
def leaving(f):
    name = f.random.choice(f.names("replica"))
    f.later(3, lambda: f.list.change(name, {"name": name, "state": "leaving"}))
    return 7


@day
def list_down(f):
    f.later(3, lambda: setattr(f.list, "down_until", f.loop.time + 6))
    return 9


@day
def polite_stops(f):
    """Routers and the owning keeper are stopped politely, one after another."""
    for n, name in enumerate(f.names("route")):
        f.later(2 + 3 * n, lambda name=name: stop_router(f, name))
    on_owner(f, 4, lambda name: stop_keeper(f, name))
    return 2 + 3 * len(f.names("route")) + 3


def stop_router(f, name):
    def run():
        f.parts[name].drain(15.0)
        f.later(0.0, lambda: f.kill(name))
        f.later(1.0, lambda: f.start(name))
    f.loop.spawn(f.machines[name], run)


def stop_keeper(f, name):
    def run():
        f.parts[name].drain()
        f.later(0.0, lambda: f.kill(name))
        f.later(1.0, lambda: f.start(name))
    f.loop.spawn(f.machines[name], run)


@day
def closing_fault(f):
    """The last thing of the day goes wrong; the configuration is read back after it."""
    write(f, 19.0, "last")
    on_owner(f, 19.02 + 0.1 * f.random.random(), kill_and_back(f, 4.0))
    return None


@day
def anything(f):
    """Five faults of any kind at any time."""
    keeps, routes, replicas = f.names("keep"), f.names("route"), f.names("replica")
    ends = [0.0]
    for n in range(5):
        at, span = 1 + 8 * f.random.random(), 0.5 + 3 * f.random.random()
        kind = f.random.choice(["kill", "freeze", "cut", "crash", "write", "owner", "lapse"])
        if kind == "kill":
            bounce_machine(f, f.random.choice(keeps + routes), at, span)
        elif kind == "freeze":
            name = f.random.choice(keeps + routes)
            f.later(at, lambda name=name, span=span: f.machines[name].freeze(span))
        elif kind == "cut":
            pair = f.random.sample(keeps + routes, 2)
            f.later(at, lambda pair=pair: f.net.cut(*pair))
            f.later(at + span, f.net.heal)
        elif kind == "crash":
            bounce_machine(f, f.random.choice(replicas), at, span)
        elif kind == "owner":
            on_owner(f, at, kill_and_back(f, span))
        elif kind == "lapse":
            f.later(at, lambda: [f.parts[n].lapse() for n in f.names("replica")])
        write(f, at + 0.2 * f.random.random() - 0.1, f"any-{n}")
        ends.append(at + span)
    return max(ends) + 1
