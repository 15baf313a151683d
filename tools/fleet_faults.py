"""Injects faults into a fleet of real processes, by name and time.

Faults are given as "seconds:name" pairs, counted from the start of the load; FAULT_NAMES
lists the names. A killed process is restarted after two seconds, as the platform would
do. Network cuts (made by relays) and disk faults (of keepers that run on a faulty disk)
end after four seconds.
"""

import shutil
import signal
import threading

import mothshed.runtime.clock as clock
import tools.fleet as fleet_module

RESTART_DELAY_S = 2.0  # until a killed process is started again
HEAL_DELAY_S = 4.0  # until a network or disk fault ends
ADDED_DELAY_S = 0.05  # delay of slow links and disks
FREEZE_DURATION_S = 2.5  # how long a process stays stopped


FAULT_NAMES = (
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
RELAY_FAULTS = FAULT_NAMES[11:]  # these need relays and faulty disks


def parse(text):
    """Parse "seconds:name,..." into [(seconds, name)]; ValueError names the invalid items and the valid names."""
    schedule, invalid = [], []
    for item in filter(None, text.split(",")):
        at, _, name = item.partition(":")
        if name in FAULT_NAMES and at.replace(".", "", 1).isdigit():
            schedule.append((float(at), name))
        else:
            invalid.append(item)
    if invalid:
        raise ValueError(
            f"invalid faults: {', '.join(invalid)}; expected seconds:name with one of {', '.join(FAULT_NAMES)}"
        )
    return schedule


class Faults:
    def __init__(self, fleet, writes):
        self.fleet, self.writes, self.refused = fleet, writes, []
        self.threads, self.log = [], []
        self.lock = threading.Lock()

    def call_later(self, delay, call):
        thread = threading.Timer(delay, call)
        thread.daemon = True
        thread.start()
        self.threads.append(thread)

    def plan(self, text):
        for at, name in parse(text):
            self.call_later(at, lambda name=name: self.run(name))

    def run(self, name):
        self.log.append((round(clock.now(), 2), name))
        getattr(self, name)()

    def restart_later(self, name):
        self.call_later(RESTART_DELAY_S, lambda: self.fleet.relaunch(name))

    def kill_router(self):
        self.fleet.kill("route-2")
        self.restart_later("route-2")

    def term_router(self):
        self.fleet.signal("route-3", signal.SIGTERM)
        self.fleet.processes["route-3"].wait(30)
        self.restart_later("route-3")

    def kill_owner(self):
        name = self.fleet.leader() or "keep-1"
        self.fleet.kill(name)
        self.restart_later(name)

    def term_owner(self):
        name = self.fleet.leader() or "keep-1"
        self.fleet.signal(name, signal.SIGTERM)
        self.fleet.processes[name].wait(30)
        self.restart_later(name)

    def wipe_keeper(self):
        name = self.fleet.leader() or "keep-1"
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.settings[name]["data"])
        self.restart_later(name)

    def crash_replica(self):
        self.fleet.set_replica_fault("replica-2", crash=True)
        self.fleet.processes["replica-2"].wait(10)
        self.restart_later("replica-2")

    def leave_replica(self):
        self.fleet.set_listed({"name": "replica-3", "state": "leaving"})

    def freeze(self, name):
        self.fleet.signal(name, signal.SIGSTOP)
        self.call_later(FREEZE_DURATION_S, lambda: self.fleet.signal(name, signal.SIGCONT))

    def freeze_router(self):
        self.freeze("route-4")

    def freeze_owner(self):
        self.freeze(self.fleet.leader() or "keep-1")

    def cut(self, names, both_directions=True):
        self.fleet.relays.cut(names, [name for name in self.fleet.settings if name not in names], both_directions)
        self.call_later(HEAL_DELAY_S, self.fleet.relays.heal)
        self.config()

    def cut_owner(self):
        self.cut([self.fleet.leader() or "keep-1"])

    def cut_owner_one_way(self):
        self.cut([self.fleet.leader() or "keep-1"], both_directions=False)

    def cut_core(self):
        self.cut([self.fleet.leader() or "keep-1", "route-1"])

    def cut_router(self):
        self.cut(["route-2"])

    def slow_links(self):
        self.fleet.relays.delay = ADDED_DELAY_S
        self.call_later(HEAL_DELAY_S, self.fleet.relays.heal)
        self.config()

    def inject_leader_disk_fault(self, **faults):
        name = self.fleet.leader() or "keep-1"
        self.fleet.set_disk_faults(name, **faults)
        self.config()
        self.call_later(
            HEAL_DELAY_S, lambda: (self.fleet.set_disk_faults(name), self.fleet.kill(name), self.fleet.relaunch(name))
        )

    def disk_slow(self):
        self.inject_leader_disk_fault(delay=ADDED_DELAY_S)

    def disk_stalls(self):
        self.inject_leader_disk_fault(delay=3.0)

    def disk_full(self):
        self.inject_leader_disk_fault(full=True)

    def disk_sync_fails(self):
        self.inject_leader_disk_fault(sync_fails=True)

    def config(self):
        with self.lock:
            base = self.fleet.config()["latest"]
            change_number = len(self.writes) + len(self.refused)
            self.write(
                base, f"change-{change_number}", fleet_module.document(self.fleet.deployment, note=str(change_number))
            )

    def write(self, base, request_id, body):
        code, response = self.fleet.apply(base, body, request_id)
        if code == 0:
            self.writes.append({"id": request_id, "sequence": response["sequence"], "acked": clock.now(), "base": base})
        elif code == 5:
            self.refused.append(request_id)
        self.log.append((round(clock.now(), 2), f"{request_id}: exit {code}"))

    def race(self):
        base = self.fleet.config()["latest"]
        writers = [
            threading.Thread(
                target=self.write,
                args=(
                    base,
                    f"race-{base}-{number}",
                    fleet_module.document(self.fleet.deployment, note=f"race {number}"),
                ),
            )
            for number in (1, 2)
        ]
        for thread in writers:
            thread.start()
        for thread in writers:
            thread.join()
