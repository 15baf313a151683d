"""Accounts of the load model: processor time by role and part, records and bytes by kind.

The loop measures the processor time of each event and adds it to the role of the machine and to the part of the
code: the kind for a record, the name of the called function for a timer or a task. Sockets, threads and mailboxes
are not included; `real.py` measures them on real connections.
"""

import collections
import heapq
import time

import mothshed.transport.records as records
import tools.load_model.design as design
import tools.simulator.loop as loop_module
import tools.simulator.network as network


class Accounts:
    def __init__(self):
        self.clear()

    def clear(self):
        self.processor_s = collections.Counter()  # (role, part of the code) -> s of processor time
        self.sent_records = collections.Counter()  # (role of the sender, kind) -> records
        self.sent_bytes = collections.Counter()  # the same -> bytes
        self.received_bytes = collections.Counter()  # (role of the receiver, kind) -> bytes
        self.too_long = collections.Counter()  # kind -> records too long to send

    def total(self, table, role, kinds=None):
        return sum(
            count
            for (node_role, kind), count in table.items()
            if node_role == role and (kinds is None or kind in kinds)
        )


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
    """Return the part of the code to which an event belongs."""
    target = getattr(call, "call", None) or call
    target = getattr(target, "__self__", target) if type(target).__name__ == "builtin_function_or_method" else target
    return getattr(call, "label", None) or getattr(target, "label", None) or getattr(target, "__qualname__", "task")


class AccountingLoop(loop_module.Loop):
    """The simulator's loop, with accounts of the processor time of each event."""

    def __init__(self, seed, accounts):
        super().__init__(seed)
        self.accounts = accounts
        self.charges_processor_time = False  # whether a machine is busy for the processor time of its events

    def spawn(self, machine, call):
        super().spawn(machine, call)
        self.tasks[-1].label = getattr(call, "__qualname__", "task")

    def run(self, until):
        while self.heap and self.heap[0][0] <= until:
            due, number, machine, epoch, call = heapq.heappop(self.heap)
            self.time = max(self.time, due)
            if machine and (not machine.alive or machine.epoch != epoch):
                continue
            if self.charges_processor_time and machine and machine.frozen_until > self.time:
                heapq.heappush(self.heap, (machine.frozen_until, number, machine, epoch, call))
                continue
            started_at = time.process_time()
            try:
                call()
            except Exception as error:
                self.errors.append((self.time, machine.name if machine else "", error))
            if machine:
                elapsed_s = time.process_time() - started_at
                self.accounts.processor_s[(role_of(machine.name), label_of(call))] += elapsed_s
                if self.charges_processor_time:
                    machine.frozen_until = self.time + elapsed_s
        self.time = until


class RecordDelivery:
    """A record in transit."""

    def __init__(self, net, machine, sender, other, destination, data, kind):
        self.net, self.machine, self.sender, self.other, self.goal, self.data = (
            net,
            machine,
            sender,
            other,
            destination,
            data,
        )
        self.label = kind

    def __call__(self):
        net = self.net
        if net.is_reachable(self.machine, self.other):
            record = records.CODEC.unpack(self.data)
            net.accounts.received_bytes[(role_of(self.other.name), record.kind)] += len(self.data)
            handlers = net.handlers.get(self.goal, {})
            call = handlers.get((record.kind, record.body.get("part"))) or handlers.get((record.kind, None))
            if call:
                call(self.sender, record.body)


class AccountingNetwork(network.Network):
    """An in-memory network that packs and unpacks records as on the wire and counts them by kind and role."""

    def __init__(self, loop, accounts):
        super().__init__(loop)
        self.accounts = accounts
        self.places = {}  # machine name -> zone

    def delay(self, source, other):
        source_zone, target_zone = self.places.get(source.name, ""), self.places.get(other.name, "")
        delay_s = (
            design.IN_REGION_DELAY_S
            if design.region_of(source_zone) == design.region_of(target_zone)
            else design.CROSS_REGION_DELAY_S
        )
        due = max(self.loop.time, source.frozen_until if self.loop.charges_processor_time else 0.0) + delay_s * (
            1 + 0.2 * self.loop.random.random()
        )
        due = max(due, self.last_delivery.get((source.name, other.name), 0.0) + 1e-6)
        self.last_delivery[(source.name, other.name)] = due
        return due - self.loop.time

    def send(self, machine, sender, destination, kind, body):
        try:
            data = records.pack(kind, **body)
        except records.RecordError:
            self.accounts.too_long[kind] += 1
            raise
        role = role_of(machine.name)
        other = self.machines.get(destination)
        if other is None or not machine.alive or not self.is_reachable(machine, other):
            return
        if other is not machine:
            self.accounts.sent_records[(role, kind)] += 1
            self.accounts.sent_bytes[(role, kind)] += len(data)
        self.loop.at(
            self.delay(machine, other), other, RecordDelivery(self, machine, sender, other, destination, data, kind)
        )


class ListClient:
    """The platform's replica list without a socket; pages are parsed from their bytes."""

    def __init__(self, fleet, machine):
        self.fleet, self.machine = fleet, machine

    def poll(self, method, url, body=None, headers=None, read=0.0):
        path = url.split("/", 3)[3]
        self.fleet.loop.sleep(self.machine, design.IN_REGION_DELAY_S)
        page = self.fleet.pages[int(path.rsplit("p-", 1)[1]) if "p-" in path else 0]
        self.fleet.accounts.sent_records[(role_of(self.machine.name), "list page")] += 1
        self.fleet.accounts.received_bytes[(role_of(self.machine.name), "list page")] += len(page)
        return 200, self.fleet.parse(page)
