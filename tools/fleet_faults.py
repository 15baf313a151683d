"""What a real fleet can be made to suffer, by name.

Faults are given as "seconds:name" pairs, counted from the start of the load; NAMES
says which there are. What was killed comes back two seconds later, as the platform
would bring it; what was cut or hurt (by way of a relay, and of keepers on a bad disk)
heals after four.
"""

import shutil
import signal
import threading

import mothshed.runtime.clock as clock
import tools.fleet as fleet_module

BACK = 2.0  # s until something killed is started again
HEAL = 4.0  # s until what was cut or hurt heals
SLOW = 0.05  # s; delay of slow links and disks
FREEZE = 2.5  # s a frozen process stays so


NAMES = (
    "kill_router",
    "term_router",
    "kill_owner",
    "term_owner",
    "crash_replica",
    "leave_replica",
    "freeze_router",
    "freeze_owner",
    "wipe_keeper",
    "config",
    "race",
    "cut_owner",
    "cut_owner_one_way",
    "cut_core",
    "cut_router",
    "slow_links",
    "disk_slow",
    "disk_stalls",
    "disk_full",
    "disk_sync_fails",
)
BY_RELAY = NAMES[11:]  # these need the relay and the bad disks


def parse(text):
    """[(seconds, name)] of "seconds:name,..."; ValueError naming what is wrong and what there is."""
    rows, bad = [], []
    for item in filter(None, text.split(",")):
        at, dash, name = item.partition(":")
        if name in NAMES and at.replace(".", "", 1).isdigit():
            rows.append((float(at), name))
        else:
            bad.append(item)
    if bad:
        raise ValueError(f"not understood: {', '.join(bad)}; expected seconds:name of {', '.join(NAMES)}")
    return rows


class Faults:
    def __init__(self, fleet, writes):
        self.fleet, self.writes, self.refused = fleet, writes, []
        self.threads, self.log = [], []
        self.lock = threading.Lock()

    def later(self, span, call):
        thread = threading.Timer(span, call)
        thread.daemon = True
        thread.start()
        self.threads.append(thread)

    def plan(self, text):
        for at, name in parse(text):
            self.later(at, lambda name=name: self.run(name))

    def run(self, name):
        self.log.append((round(clock.now(), 2), name))
        getattr(self, name)()

    def back(self, name):
        self.later(BACK, lambda: self.fleet.relaunch(name))

    def kill_router(self):
        self.fleet.kill("route-2")
        self.back("route-2")

    def term_router(self):
        self.fleet.signal("route-3", signal.SIGTERM)
        self.fleet.procs["route-3"].wait(30)
        self.back("route-3")

    def kill_owner(self):
        name = self.fleet.leader() or "keep-1"
        self.fleet.kill(name)
        self.back(name)

    def term_owner(self):
        name = self.fleet.leader() or "keep-1"
        self.fleet.signal(name, signal.SIGTERM)
        self.fleet.procs[name].wait(30)
        self.back(name)

    def wipe_keeper(self):
        name = self.fleet.leader() or "keep-1"
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.settings[name]["data"])
        self.back(name)

    def crash_replica(self):
        self.fleet.fault("replica-2", crash=True)
        self.fleet.procs["replica-2"].wait(10)
        self.back("replica-2")

    def leave_replica(self):
        self.fleet.set_listed({"name": "replica-3", "state": "leaving"})

    def freeze(self, name):
        self.fleet.signal(name, signal.SIGSTOP)
        self.later(FREEZE, lambda: self.fleet.signal(name, signal.SIGCONT))

    def freeze_router(self):
        self.freeze("route-4")

    def freeze_owner(self):
        self.freeze(self.fleet.leader() or "keep-1")

    def cut(self, some, both=True):
        self.fleet.relays.cut(some, [n for n in self.fleet.settings if n not in some], both)
        self.later(HEAL, self.fleet.relays.heal)
        self.config()

    def cut_owner(self):
        self.cut([self.fleet.leader() or "keep-1"])

    def cut_owner_one_way(self):
        self.cut([self.fleet.leader() or "keep-1"], both=False)

    def cut_core(self):
        self.cut([self.fleet.leader() or "keep-1", "route-1"])

    def cut_router(self):
        self.cut(["route-2"])

    def slow_links(self):
        self.fleet.relays.delay = SLOW
        self.later(HEAL, self.fleet.relays.heal)
        self.config()

    def hurt_disk(self, **faults):
        name = self.fleet.leader() or "keep-1"
        self.fleet.disk(name, **faults)
        self.config()
        self.later(HEAL, lambda: (self.fleet.disk(name), self.fleet.kill(name), self.fleet.relaunch(name)))

    def disk_slow(self):
        self.hurt_disk(delay=SLOW)

    def disk_stalls(self):
        self.hurt_disk(delay=3.0)

    def disk_full(self):
        self.hurt_disk(full=True)

    def disk_sync_fails(self):
        self.hurt_disk(sync_fails=True)

    def config(self):
        with self.lock:
            base = self.fleet.config()["latest"]
            number = len(self.writes) + len(self.refused)
            self.write(base, f"change-{number}", fleet_module.document(self.fleet.deployment, note=str(number)))

    def write(self, base, mark, body):
        code, said = self.fleet.apply(base, body, mark)
        if code == 0:
            self.writes.append({"id": mark, "sequence": said["sequence"], "acked": clock.now(), "base": base})
        elif code == 5:
            self.refused.append(mark)
        self.log.append((round(clock.now(), 2), f"{mark}: exit {code}"))

    def race(self):
        base = self.fleet.config()["latest"]
        both = [
            threading.Thread(
                target=self.write,
                args=(base, f"race-{base}-{n}", fleet_module.document(self.fleet.deployment, note=f"race {n}")),
            )
            for n in (1, 2)
        ]
        for thread in both:
            thread.start()
        for thread in both:
            thread.join()
