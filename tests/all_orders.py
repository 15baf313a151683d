"""Explores every delivery order of a few messages.

A new case is built for each order. Messages wait in a pool; a script of choices selects the next one to deliver.
The explorer runs all scripts up to a depth, beyond which messages are delivered first in, first out.
"""

import itertools
import random
import types

import mothshed.transport.records as records
import tools.simulator.environment as environment_module


class Pool:
    def __init__(self):
        self.time = 100.0
        self.waiting = []  # (destination, sender, kind, body)
        self.handlers = {}  # address -> {(kind, part): callback}
        self.steps = 0

    def deliver(self, index):
        destination, sender, kind, body = self.waiting.pop(index)
        handlers = self.handlers.get(destination, {})
        callback = handlers.get((kind, body.get("part"))) or handlers.get((kind, None))
        if callback:
            callback(sender, body)


class ManualEnvironment:
    """An environment whose time and messages are controlled by a test; timers never fire by themselves."""

    def __init__(self, pool, address, seed=1):
        self.pool, self.address = pool, address
        self.random = random.Random(seed)
        self.timers = []

    def now(self):
        return self.pool.time

    def post(self, callback):
        self.timers.append(callback)

    def call_later(self, delay, callback):
        self.timers.append(callback)
        return types.SimpleNamespace(cancel=lambda: None)

    def send(self, destination, kind, **body):
        if destination:
            records.CODEC.check_fields(kind, body)  # a field that the record does not carry would be lost
            self.pool.waiting.append((destination, self.address, kind, body))

    def send_to_each(self, addresses, kind, **body):
        for address in addresses:
            self.send(address, kind, **body)

    def releases(self):
        return {}

    def spawn(self, callback):
        callback()

    def subscribe(self, kind, callback, part=None):
        self.pool.handlers.setdefault(self.address, {})[(kind, part)] = callback


def disk():
    loop = types.SimpleNamespace(random=random.Random(1))
    return environment_module.SimDisk(loop, None)


def deliverable_indexes(pool, per_link_order):
    """Indexes that may be delivered next; with per_link_order, only the first of each sender to each destination."""
    if not per_link_order:
        return range(len(pool.waiting))
    seen = {}
    for index, (destination, sender, _kind, _body) in enumerate(pool.waiting):
        seen.setdefault((destination, sender), index)
    return sorted(seen.values())


def explore(make, check, depth, max_orders=30000, per_link_order=False, end=lambda case: None):
    """make() -> (pool, case); check(case) after every delivery, end(case) after the last.

    per_link_order: messages of one sender to one destination keep their order, as on a connection.
    Returns the number of orders that were run.
    """
    count, script = 0, []
    while script is not None and count < max_orders:
        pool, case = make()
        choices, position = [], 0
        while pool.waiting and pool.steps < 200:
            pool.steps += 1
            if position < depth:
                pick = script[position] if position < len(script) else 0
                choices.append((pick, len(deliverable_indexes(pool, per_link_order))))
                position += 1
            else:
                pick = 0
            pool.deliver(deliverable_indexes(pool, per_link_order)[pick])
            check(case)
        end(case)
        count += 1
        script = next_script(choices)
    assert script is None, "more delivery orders than max_orders"
    return count


def next_script(choices):
    """The next script in lexicographic order, or None after the last."""
    for position in range(len(choices) - 1, -1, -1):
        pick, option_count = choices[position]
        if pick + 1 < option_count:
            return [choice for choice, _count in choices[:position]] + [pick + 1]
    return None


def permutations(items):
    return list(itertools.permutations(items))
