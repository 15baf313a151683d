"""Days on which processes of two releases run side by side.

The later release is this one's code that speaks more: a further field in records of
agreement and of leases, and a kind of record that the earlier one does not know.
"""

import mothshed.transport.constants as transport_constants
import mothshed.transport.record_kinds as record_kinds
import mothshed.transport.records as records
import tools.simulator.scenario_base as base

LATER = transport_constants.RECORD_FORMAT_VERSION + 1
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


def restart_with(fleet, name, codec):
    """A process ends, and comes back as another release; codec: None for this one."""

    def change():
        if codec:
            fleet.net.codecs[name] = codec
        else:
            fleet.net.codecs.pop(name, None)
        fleet.start(name)

    def end():
        part = fleet.parts[name]
        part.drain(DRAIN) if name.startswith("route") else part.drain()
        fleet.loop.at(0.0, None, lambda: fleet.kill(name))
        fleet.call_later(BACK, change)

    if fleet.machines[name].alive:
        fleet.loop.spawn(fleet.machines[name], end)
    else:
        fleet.call_later(BACK, change)


def pulse(fleet, until):
    """Each process of the later release sends all others a record of a kind that only it knows."""
    for name in list(fleet.net.codecs):
        machine, address = fleet.machines[name], fleet.settings[name]["address"]
        for other in fleet.names("keep") + fleet.names("route"):
            if machine.alive and other != name:
                fleet.net.send(machine, address, fleet.settings[other]["address"], "pulse", {"part": 0, "mark": 1})
    if fleet.loop.time < until:
        fleet.call_later(0.5, lambda: pulse(fleet, until))


def roll(fleet, at, codec):
    """One process after the other is restarted as another release, routers before keepers; the end of it."""
    names = fleet.names("route") + fleet.names("keep")
    for number, name in enumerate(names):
        fleet.call_later(at + STEP * number, lambda name=name: restart_with(fleet, name, codec))
    return at + STEP * len(names) + BACK


@base.scenario
def upgraded_and_back(fleet):
    """A rolling upgrade under load with changes and a lost leader in between, then the same way back."""
    codec = later_codec()
    half = roll(fleet, 2, codec)
    middle = half + 3
    end = roll(fleet, middle + 3, None)
    fleet.call_later(1.9, lambda: pulse(fleet, fleet.loop.time + end))
    for number in range(8):
        base.write(fleet, 2.5 + number * (end - 3) / 8, f"release-{number}")
    base.on_leader(fleet, 2 + STEP * 1.5, base.kill_and_back(fleet))  # while routers of both releases hang on it
    base.on_leader(fleet, middle, base.kill_and_back(fleet))
    return end + 1
