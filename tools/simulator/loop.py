"""Virtual time and tasks: a deterministic event loop, the same for the same seed.

Synchronous code runs in greenlets, one at a time, which yield only where the product sleeps, waits for an event or
for the network. Callbacks belong to a machine: those of a dead machine are dropped, those of a frozen machine run
in their order once it resumes.
"""

import heapq
import itertools
import math
import random

import greenlet


class Machine:
    """A simulated machine, which can be killed, frozen and restarted."""

    def __init__(self, loop, name):
        self.loop, self.name = loop, name
        self.alive, self.epoch, self.frozen_until = True, 0, 0.0
        self.on_kill = []  # callbacks: connections to reset, disks to crash
        self.clock, self.rate = (0.0, 0.0), 1.0  # local and true time when the rate was set
        self.fault_spans = []  # spans [from, until] of unplanned faults

    def mark_faulty(self, span=math.inf):
        self.fault_spans.append([self.loop.time, self.loop.time + span])

    def end_faults(self):
        for span in self.fault_spans:
            span[1] = min(span[1], self.loop.time)

    def now(self):
        local_time, true_time = self.clock
        return local_time + (self.loop.time - true_time) * self.rate

    def set_rate(self, rate):
        self.clock, self.rate = (self.now(), self.loop.time), rate

    def freeze(self, span):
        self.mark_faulty(span)
        self.frozen_until = max(self.frozen_until, self.loop.time + span)

    def kill(self, planned=False):
        if not planned:
            self.mark_faulty()
        self.alive = False
        self.epoch += 1
        self.frozen_until = 0.0
        calls, self.on_kill = self.on_kill, []
        for call in calls:
            call()

    def revive(self):
        self.end_faults()
        self.alive = True


class Loop:
    def __init__(self, seed):
        self.time = 1000.0
        self.random = random.Random(seed)
        self.heap, self.count = [], itertools.count()
        self.hub = greenlet.getcurrent()
        self.tasks = []  # references: collecting a task of a dead machine would run its finally blocks
        self.errors = []  # uncaught exceptions of callbacks and tasks
        self.steps = 0

    def at(self, delay, machine, call):
        epoch = machine.epoch if machine else 0
        heapq.heappush(self.heap, (self.time + max(0.0, delay), next(self.count), machine, epoch, call))

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            due, number, machine, epoch, call = heapq.heappop(self.heap)
            self.time = max(self.time, due)
            if machine:
                if not machine.alive or machine.epoch != epoch:
                    continue
                if machine.frozen_until > self.time:
                    # after a freeze, timers and received messages run in random order
                    late = self.random.random() * 0.005 if getattr(call, "is_timer", False) else 0.0
                    heapq.heappush(self.heap, (machine.frozen_until + late, number, machine, epoch, call))
                    continue
            self.steps += 1
            try:
                call()
            except Exception as e:
                self.errors.append((self.time, machine.name if machine else "", e))
        self.time = until

    def spawn(self, machine, call):
        task = greenlet.greenlet(call, parent=self.hub)
        self.tasks.append(task)
        if len(self.tasks) > 5000:
            self.tasks = [t for t in self.tasks if not t.dead]
        self.at(0.0, machine, task.switch)

    def sleep(self, machine, span):
        task = greenlet.getcurrent()
        if task is self.hub:
            raise RuntimeError("a callback must not block")
        self.at(span / machine.rate, machine, task.switch)
        self.hub.switch()


class Event:
    """The simulated threading.Event."""

    def __init__(self, loop, machine):
        self.loop, self.machine = loop, machine
        self.flag, self.waiters = False, []

    def is_set(self):
        return self.flag

    def set(self):
        self.flag = True
        waiters, self.waiters = self.waiters, []
        for wake in waiters:
            wake()

    def clear(self):
        self.flag = False

    def wait(self, timeout=None):
        if self.flag:
            return True
        task, done = greenlet.getcurrent(), []
        if task is self.loop.hub:
            raise RuntimeError("a callback must not block")

        def wake():
            if not done:
                done.append(True)
                self.loop.at(0.0, self.machine, task.switch)

        self.waiters.append(wake)
        if timeout is not None:
            self.loop.at(timeout / self.machine.rate, self.machine, wake)
        self.loop.hub.switch()
        return self.flag
