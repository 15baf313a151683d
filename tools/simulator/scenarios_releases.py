"""Scenarios in which processes of two releases run side by side.

The next release is this code with one more field in records of consensus and leases, and with a kind of record
that the present release does not know.
"""

import mothshed.runtime.stop_schedule as stop_schedule
import mothshed.transport.constants as transport_constants
import mothshed.transport.record_kinds as record_kinds
import mothshed.transport.records as records
import tools.simulator.scenario_base as base

NEXT_VERSION = transport_constants.RECORD_FORMAT_VERSION + 1
EXTENDED = ("append", "append_say", "vote_ask", "grant", "ask", "news")
RESTART_INTERVAL_S = 2.4  # s from one restart to the next
RESTART_S = 0.8  # s from the end of a process to its start
DRAIN_TIMEOUT_S = 4.0  # s in which a router may complete its requests


def extended(kind):
    """Return the kind with one more field, as a later release may add one."""
    added = record_kinds.Field("note", "j", NEXT_VERSION, {"release": NEXT_VERSION})
    return record_kinds.Kind(kind.number, kind.name, (*kind.fields, added), kind.since)


def later_codec():
    """Return the record codec of the next release."""
    kinds = [extended(kind) if kind.name in EXTENDED else kind for kind in record_kinds.KINDS]
    number = max(kind.number for kind in record_kinds.KINDS) + 1
    return records.Codec([*kinds, record_kinds.kind(number, "pulse", "part:q mark:q", NEXT_VERSION)], NEXT_VERSION)


def restart_with(fleet, name, codec):
    """Restart a process as the release of this codec; None is the present release."""

    def change():
        if codec:
            fleet.net.codecs[name] = codec
        else:
            fleet.net.codecs.pop(name, None)
        fleet.start(name)

    def end():
        part = fleet.processes[name]
        part.drain(stop_schedule.for_drain_time(DRAIN_TIMEOUT_S), part.environment.now())
        fleet.loop.at(0.0, None, lambda: fleet.kill(name))
        fleet.call_later(RESTART_S, change)

    if fleet.machines[name].alive:
        fleet.loop.spawn(fleet.machines[name], end)
    else:
        fleet.call_later(RESTART_S, change)


def pulse(fleet, until):
    """Make each process of the next release send all others a record of a kind unknown to the present release."""
    for name in list(fleet.net.codecs):
        machine, address = fleet.machines[name], fleet.settings[name]["address"]
        for other in fleet.names("keep") + fleet.names("route"):
            if machine.alive and other != name:
                fleet.net.send(machine, address, fleet.settings[other]["address"], "pulse", {"part": 0, "mark": 1})
    if fleet.loop.time < until:
        fleet.call_later(0.5, lambda: pulse(fleet, until))


def roll(fleet, at, codec):
    """Restart the processes one by one as another release, routers before keepers; return when this ends."""
    names = fleet.names("route") + fleet.names("keep")
    for number, name in enumerate(names):
        fleet.call_later(at + RESTART_INTERVAL_S * number, lambda name=name: restart_with(fleet, name, codec))
    return at + RESTART_INTERVAL_S * len(names) + RESTART_S


@base.scenario
def upgraded_and_back(fleet):
    """A rolling upgrade and a rollback under load, with configuration changes and failures of the leader."""
    codec = later_codec()
    half = roll(fleet, 2, codec)
    middle = half + 3
    end = roll(fleet, middle + 3, None)
    fleet.call_later(1.9, lambda: pulse(fleet, fleet.loop.time + end))
    for number in range(8):
        base.write(fleet, 2.5 + number * (end - 3) / 8, f"release-{number}")
    base.on_leader(
        fleet, 2 + RESTART_INTERVAL_S * 1.5, base.kill_and_back(fleet)
    )  # while it serves routers of both releases
    base.on_leader(fleet, middle, base.kill_and_back(fleet))
    return end + 1
