"""What a hollow fleet spends: processor time by role and part, records and bytes by kind.

The loop measures each event by the process's own processor time and books it to the
role of the machine it ran on and to the part of the code it was: a record of a kind,
a beat or a task by the name of what it calls. Sockets, threads and mailboxes are not
in it; `real.py` measures those on real connections.
"""

import collections
import heapq
import time

import mothshed.transport.records as records
import tools.hollow.design as design
import tools.simulator.loop as loop_module
import tools.simulator.network as network


class Books:
    def __init__(self):
        self.clear()

    def clear(self):
        self.spent = collections.Counter()  # (role, part of the code) -> s of processor time
        self.sent = collections.Counter()  # (role of the sender, kind) -> records
        self.bytes = collections.Counter()  # the same -> bytes
        self.got = collections.Counter()  # (role of the receiver, kind) -> bytes
        self.fell = collections.Counter()  # kind -> records too long to send

    def total(self, table, role, kinds=None):
        return sum(n for (who, kind), n in table.items() if who == role and (kinds is None or kind in kinds))


PARTS = {
    "list": ("ListedReplicas.tick", "ListedReplicas.read_list", "list_ask", "list_news", "list page"),
    "gossip": ("Gossip.run_round", "shuffle"),
    "lease": ("Lease.tick", "grant", "news", "look_elsewhere"),
    "usage": ("LoadReporter.tick", "usages"),
    "usage duty": ("usage",),
    "order duty": ("OrderLeaderTask.tick",),
    "configuration and agreement": (
        "ask",
        "news_ack",
        "ConfigLeaderTask.tick",
        "append",
        "append_say",
        "Election.tick",
    ),
}


def role_of(name):
    return name.split("-")[0]


def label_of(call):
    """The part of the code that an event is."""
    inner = getattr(call, "call", None) or call
    inner = getattr(inner, "__self__", inner) if type(inner).__name__ == "builtin_function_or_method" else inner
    return getattr(call, "label", None) or getattr(inner, "label", None) or getattr(inner, "__qualname__", "task")


class HollowLoop(loop_module.Loop):
    """The simulator's loop, each event booked."""

    def __init__(self, seed, books):
        super().__init__(seed)
        self.books = books
        self.charged = False  # whether a machine is busy for as long as its events took this processor

    def spawn(self, machine, call):
        super().spawn(machine, call)
        self.tasks[-1].label = getattr(call, "__qualname__", "task")

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            due, number, machine, epoch, call = heapq.heappop(self.heap)
            self.time = max(self.time, due)
            if machine and (not machine.alive or machine.epoch != epoch):
                continue
            if self.charged and machine and machine.frozen_until > self.time:
                heapq.heappush(self.heap, (machine.frozen_until, number, machine, epoch, call))
                continue
            began = time.process_time()
            try:
                call()
            except Exception as e:
                self.errors.append((self.time, machine.name if machine else "", e))
            if machine:
                took = time.process_time() - began
                self.books.spent[(role_of(machine.name), label_of(call))] += took
                if self.charged:
                    machine.frozen_until = self.time + took
        self.time = until


class Arrival:
    """One record on its way."""

    def __init__(self, net, machine, sender, other, goal, data, kind):
        self.net, self.machine, self.sender, self.other, self.goal, self.data = net, machine, sender, other, goal, data
        self.label = kind

    def __call__(self):
        net = self.net
        if net.is_reachable(self.machine, self.other):
            record = records.CODEC.unpack(self.data)
            net.books.got[(role_of(self.other.name), record.kind)] += len(self.data)
            handlers = net.handlers.get(self.goal, {})
            call = handlers.get((record.kind, record.body.get("part"))) or handlers.get((record.kind, None))
            if call:
                call(self.sender, record.body)


class HollowNetwork(network.Network):
    """Records in memory, packed and unpacked as on a wire, counted by kind and role."""

    def __init__(self, loop, books):
        super().__init__(loop)
        self.books = books
        self.places = {}  # machine name -> cell

    def delay(self, one, other):
        here, there = self.places.get(one.name, ""), self.places.get(other.name, "")
        way = design.NEAR if design.region(here) == design.region(there) else design.FAR
        due = max(self.loop.time, one.frozen_until if self.loop.charged else 0.0) + way * (
            1 + 0.2 * self.loop.random.random()
        )
        due = max(due, self.last_delivery.get((one.name, other.name), 0.0) + 1e-6)
        self.last_delivery[(one.name, other.name)] = due
        return due - self.loop.time

    def send(self, machine, sender, goal, kind, body):
        try:
            data = records.pack(kind, **body)
        except records.RecordError:
            self.books.fell[kind] += 1
            raise
        role = role_of(machine.name)
        other = self.machines.get(goal)
        if other is None or not machine.alive or not self.is_reachable(machine, other):
            return
        if other is not machine:
            self.books.sent[(role, kind)] += 1
            self.books.bytes[(role, kind)] += len(data)
        self.loop.at(self.delay(machine, other), other, Arrival(self, machine, sender, other, goal, data, kind))


class HollowWeb:
    """The platform's list over HTTP, in memory: real bytes and their parsing, no socket."""

    def __init__(self, fleet, machine):
        self.fleet, self.machine = fleet, machine

    def poll(self, method, url, body=None, headers=None, read=0.0):
        path = url.split("/", 3)[3]
        self.fleet.loop.sleep(self.machine, design.NEAR)
        page = self.fleet.pages[int(path.rsplit("p-", 1)[1]) if "p-" in path else 0]
        self.fleet.books.sent[(role_of(self.machine.name), "list page")] += 1
        self.fleet.books.got[(role_of(self.machine.name), "list page")] += len(page)
        return 200, self.fleet.parse(page)
