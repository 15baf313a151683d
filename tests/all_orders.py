"""Tries every order of a few messages, one by one.

A case is built afresh for each order. Messages wait in a pool; a script of
choices says which is delivered next, and the explorer walks all scripts up to a
depth, after which messages come first in, first out.
"""

import itertools
import random
import types

import mothshed.transport.records as records
import tools.simulator.environment as environment_module


class Pool:
    def __init__(self):
        self.time = 100.0
        self.waiting = []  # (goal, sender, kind, body)
        self.ears = {}  # address -> {(kind, part): call}
        self.steps = 0

    def deliver(self, at):
        goal, sender, kind, body = self.waiting.pop(at)
        ears = self.ears.get(goal, {})
        call = ears.get((kind, body.get("part"))) or ears.get((kind, None))
        if call:
            call(sender, body)


class ManualEnvironment:
    """An environment whose time and messages are moved by hand; timers never fire by themselves."""

    def __init__(self, pool, address, chance=1):
        self.pool, self.address = pool, address
        self.random = random.Random(chance)
        self.timers = []

    def now(self):
        return self.pool.time

    def post(self, call):
        self.timers.append(call)

    def call_later(self, delay, call):
        self.timers.append(call)
        return types.SimpleNamespace(cancel=lambda: None)

    def send(self, goal, kind, **body):
        if goal:
            records.CODEC.check_fields(kind, body)  # what a record does not carry would be lost on the way
            self.pool.waiting.append((goal, self.address, kind, body))

    def send_to_each(self, addresses, kind, **body):
        for address in addresses:
            self.send(address, kind, **body)

    def subscribe(self, kind, call, part=None):
        self.pool.ears.setdefault(self.address, {})[(kind, part)] = call


def disk():
    loop = types.SimpleNamespace(random=random.Random(1))
    return environment_module.SimDisk(loop, None)


def next_ones(pool, lines):
    """Places in the pool that may come next; with lines, only the first of each sender to each goal."""
    if not lines:
        return range(len(pool.waiting))
    seen = {}
    for at, (goal, sender, _kind, _body) in enumerate(pool.waiting):
        seen.setdefault((goal, sender), at)
    return sorted(seen.values())


def explore(make, check, depth, most=30000, lines=False, end=lambda case: None):
    """make() -> (pool, case); check(case) after every delivery, end(case) after the last.

    lines: what one sends another keeps its order, as on a connection. Returns how many orders ran.
    """
    count, script = 0, []
    while script is not None and count < most:
        pool, case = make()
        widths, at = [], 0
        while pool.waiting and pool.steps < 200:
            pool.steps += 1
            if at < depth:
                pick = script[at] if at < len(script) else 0
                widths.append((pick, len(next_ones(pool, lines))))
                at += 1
            else:
                pick = 0
            pool.deliver(next_ones(pool, lines)[pick])
            check(case)
        end(case)
        count += 1
        script = following(widths)
    assert script is None, "more orders than the test allows for"
    return count


def following(widths):
    """The next script in order, or None after the last."""
    for at in range(len(widths) - 1, -1, -1):
        pick, width = widths[at]
        if pick + 1 < width:
            return [p for p, w in widths[:at]] + [pick + 1]
    return None


def orders(things):
    return list(itertools.permutations(things))
