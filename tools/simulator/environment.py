"""The simulated Environment and Disk, with the interfaces of the real ones."""

import errno
import math
import random

import mothshed.storage.disk as disk_module
import tools.simulator.loop as loop_module
import tools.simulator.network as network
import tools.simulator.volatile_folder as volatile_folder


class SimEnvironment:
    def __init__(self, loop, net, machine, address, label=""):
        self.loop, self.net, self.machine, self.address = loop, net, machine, address
        self.random = random.Random(f"{loop.random.getrandbits(32)}/{machine.name}/{label}")
        self.web = network.SimWeb(net, machine, self.new_event)

    def now(self):
        return self.machine.now()

    def sleep(self, span):
        self.loop.sleep(self.machine, span)

    def new_event(self):
        return loop_module.Event(self.loop, self.machine)

    def spawn(self, call):
        self.loop.spawn(self.machine, call)

    def post(self, call):
        self.loop.at(0.0, self.machine, call)

    def call_later(self, delay, call):
        timer = SimTimer(call)
        self.loop.at(delay / self.machine.rate, self.machine, timer)
        return timer

    def send(self, destination, kind, **body):
        if destination:
            self.net.send(self.machine, self.address, destination, kind, body)

    def stop(self):
        pass

    def figures(self):
        return {}

    def releases(self):
        return {}

    def send_to_each(self, addresses, kind, **body):
        for address in addresses:
            self.send(address, kind, **body)

    def subscribe(self, kind, call, part=None):
        self.net.handlers.setdefault(self.address, {})[(kind, part)] = call


class SimTimer:
    is_timer = True

    def __init__(self, call):
        self.call = call

    def cancel(self):
        self.call = None

    def __call__(self):
        if self.call:
            self.call()


class ReplicaFaults(dict):
    """The injected faults of a replica; its machine counts as faulty while there are any."""

    def __init__(self, machine):
        super().__init__()
        self.machine = machine

    def update(self, *rows, **changes):
        changes = dict(*rows, **changes)
        super().update(changes)
        self.machine.mark_faulty(
            changes["dark_until"] - self.machine.loop.time if "dark_until" in changes else math.inf
        )

    def pop(self, name, default=None):
        self.machine.end_faults()
        return super().pop(name, default)


class SimFolder(volatile_folder.VolatileFolder):
    """The files of a simulated machine, with faults that a scenario can activate.

    full: every write fails. sync_fails: every sync fails. delay: seconds that each sync takes; the machine is
    frozen meanwhile, like a process that waits for its disk.
    """

    def __init__(self, machine):
        super().__init__()
        self.machine = machine
        self.full = self.sync_fails = False
        self.delay = 0.0
        self.before_step = self.inject_faults

    def inject_faults(self, step, name):
        """Fail or delay the calls that the active faults affect."""
        if self.full and step in ("create", "write"):
            raise OSError(errno.ENOSPC, "no space left on device")
        if step in ("fsync", "sync_directory"):
            if self.sync_fails:
                raise OSError(errno.EIO, "sync fails")
            if self.delay:
                self.machine.freeze(self.delay)


def fault_switch(name):
    """Return a property that reads and sets a fault of the disk's folder."""
    return property(lambda disk: getattr(disk.files, name), lambda disk, value: setattr(disk.files, name, value))


class SimDisk(disk_module.Disk):
    """The product's Disk on a folder that loses unsynced writes and names in a crash."""

    full, sync_fails, delay = (fault_switch(name) for name in ("full", "sync_fails", "delay"))

    def __init__(self, loop, machine):
        super().__init__("", lambda path: SimFolder(machine))
        self.loop = loop

    def crash(self):
        """Lose power: each unsynced write and name change is kept or lost independently."""
        self.files.lose_power(self.loop.random)
        self.forget_process()

    def wipe(self):
        """Remove all files, as on a new disk."""
        self.files.restore({})
        self.forget_process()

    def forget_process(self):
        """Drop the state of the ended process: its handles and the names of failed files."""
        self.handles.clear()
        self.failed_names.clear()

    def size(self):
        """Return the total size of all files in bytes."""
        return sum(len(self.files.read(name)) for name in self.files.names())
