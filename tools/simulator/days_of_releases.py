"""Days on which processes of two releases run side by side.

The later release is this one's code that speaks more: a further field in records of
agreement and of leases, and a kind of record that the earlier one does not know.
"""

import mothshed.constants as constants
import mothshed.transport.record_kinds as record_kinds
import mothshed.transport.records as records
import tools.simulator.day_base as base

LATER = constants.RECORDS_RELEASE + 1
EXTENDED = ("append", "append_say", "vote_ask", "grant", "ask", "news")
STEP = 2.4  # s from one restart to the next
BACK = 0.8  # s that a restarted process is away
DRAIN = 4.0  # s that a router may take to end what it has under way


def extended(kind):
    """A kind with one further field, as a later release may give it one."""
    added = record_kinds.Field("note", "j", LATER, {"release": LATER})
    return record_kinds.Kind(kind.number, kind.name, (*kind.fields, added), kind.since)


def later_codec():
    """The records of the release after this one."""
    kinds = [extended(kind) if kind.name in EXTENDED else kind for kind in record_kinds.KINDS]
    number = max(kind.number for kind in record_kinds.KINDS) + 1
    return records.Codec([*kinds, record_kinds.kind(number, "pulse", "part:q mark:q", LATER)], LATER)


def restart_with(f, name, codec):
    """A process ends, and comes back as another release; codec: None for this one."""

    def change():
        if codec:
            f.net.codecs[name] = codec
        else:
            f.net.codecs.pop(name, None)
        f.start(name)

    def end():
        part = f.parts[name]
        part.drain(DRAIN) if name.startswith("route") else part.drain()
        f.loop.at(0.0, None, lambda: f.kill(name))
        f.later(BACK, change)

    if f.machines[name].alive:
        f.loop.spawn(f.machines[name], end)
    else:
        f.later(BACK, change)


def pulse(f, until):
    """Each process of the later release sends all others a record of a kind that only it knows."""
    for name in list(f.net.codecs):
        machine, address = f.machines[name], f.settings[name]["address"]
        for other in f.names("keep") + f.names("route"):
            if machine.alive and other != name:
                f.net.tell(machine, address, f.settings[other]["address"], "pulse", {"part": 0, "mark": 1})
    if f.loop.time < until:
        f.later(0.5, lambda: pulse(f, until))


def roll(f, at, codec):
    """One process after the other is restarted as another release, routers before keepers; the end of it."""
    names = f.names("route") + f.names("keep")
    for number, name in enumerate(names):
        f.later(at + STEP * number, lambda name=name: restart_with(f, name, codec))
    return at + STEP * len(names) + BACK


@base.day
def upgraded_and_back(f):
    """A rolling upgrade under load with changes and a lost leader in between, then the same way back."""
    codec = later_codec()
    half = roll(f, 2, codec)
    middle = half + 3
    end = roll(f, middle + 3, None)
    f.later(1.9, lambda: pulse(f, f.loop.time + end))
    for number in range(8):
        base.write(f, 2.5 + number * (end - 3) / 8, f"release-{number}")
    base.on_owner(f, 2 + STEP * 1.5, base.kill_and_back(f))  # while routers of both releases hang on it
    base.on_owner(f, middle, base.kill_and_back(f))
    return end + 1
