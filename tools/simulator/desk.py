"""The simulator's Desk and Disk: the same shape as the real ones."""

import math
import random

import mothshed.common.disk as disk_module
import tools.simulator.loop as loop_module
import tools.simulator.network as network


class SimDesk:
    def __init__(self, loop, net, machine, address, label=""):
        self.loop, self.net, self.machine, self.address = loop, net, machine, address
        self.random = random.Random(f"{loop.random.getrandbits(32)}/{machine.name}/{label}")
        self.web = network.SimWeb(net, machine, self.gate)

    def now(self):
        return self.machine.now()

    def pause(self, span):
        self.loop.pause(self.machine, span)

    def gate(self):
        return loop_module.Gate(self.loop, self.machine)

    def spawn(self, call):
        self.loop.spawn(self.machine, call)

    def post(self, call):
        self.loop.at(0.0, self.machine, call)

    def beat(self, delay, call):
        beat = SimBeat(call)
        self.loop.at(delay / self.machine.rate, self.machine, beat)
        return beat

    def tell(self, goal, kind, **body):
        if goal:
            self.net.tell(self.machine, self.address, goal, kind, body)

    def hear(self, kind, call, part=None):
        self.net.ears.setdefault(self.address, {})[(kind, part)] = call


class SimBeat:
    is_beat = True

    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None

    def __call__(self):
        if self.call:
            self.call()


class Fault(dict):
    """A replica's faults; while there are any, its machine counts as hit."""

    def __init__(self, machine):
        super().__init__()
        self.machine = machine

    def update(self, *rows, **changes):
        changes = dict(*rows, **changes)
        super().update(changes)
        self.machine.hit(changes["dark_until"] - self.machine.loop.time if "dark_until" in changes else math.inf)

    def pop(self, name, default=None):
        self.machine.mend()
        return super().pop(name, default)


class SimDisk:
    """Files whose bytes last only once synced; a crash keeps a part of the rest.

    Faults: full (appends fail), sync_fails, delay (seconds each sync takes; the
    machine stands still meanwhile, as a process waiting for its disk does).
    """

    def __init__(self, loop, machine):
        self.loop, self.machine = loop, machine
        self.kept, self.late = {}, {}  # name -> bytes synced / not yet
        self.full = self.sync_fails = False
        self.delay = 0.0

    def names(self):
        return sorted(set(self.kept) | set(self.late))

    def read(self, name):
        return self.kept.get(name, b"") + self.late.get(name, b"")

    def wait(self):
        if self.sync_fails:
            self.crash()  # what the system still held of it is lost, in part
            raise disk_module.DiskFault("sync fails")
        if self.delay:
            self.machine.freeze(self.delay)

    def append(self, name, data):
        if self.full:
            raise disk_module.DiskFault("no space left")
        self.late[name] = self.late.get(name, b"") + data

    def sync(self, name):
        self.wait()
        self.kept[name] = self.read(name)
        self.late.pop(name, None)

    def put(self, name, data):
        if self.full:
            raise disk_module.DiskFault("no space left")
        self.wait()
        self.late.pop(name, None)
        self.kept[name] = data

    def remove(self, name):
        self.kept.pop(name, None)
        self.late.pop(name, None)

    def crash(self):
        for name, data in self.late.items():
            part = data[: self.loop.random.randrange(len(data) + 1)]
            self.kept[name] = self.kept.get(name, b"") + part
        self.late.clear()

    def wipe(self):
        self.kept.clear()
        self.late.clear()
