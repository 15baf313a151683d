"""Trials on whole modelled fleets: each takes a size and returns figures per second and node.

Every trial runs in its own process, so that the measured memory is that of one fleet.
"""

import os

import tools.load_model.accounts as accounts_module
import tools.load_model.design as design
import tools.load_model.fleet as fleet_module

MEASURED_S = 6.0  # simulated; a dozen gossip rounds of each router, which averages out their variation


def resident_bytes():
    """Return the resident memory of this process in bytes."""
    with open("/proc/self/statm") as file:
        return int(file.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def per_node(accounts, role, count, span):
    """Return records, bytes and processor time per second of one node of a role, in total and by part."""
    figures = {
        "sent records": accounts.total(accounts.sent_records, role) / count / span,
        "sent bytes": accounts.total(accounts.sent_bytes, role) / count / span,
        "got bytes": accounts.total(accounts.received_bytes, role) / count / span,
        "processor": accounts.total(accounts.processor_s, role) / count / span,
    }
    for part, labels in accounts_module.PARTS.items():
        figures[f"processor, {part}"] = accounts.total(accounts.processor_s, role, labels) / count / span
        kinds = [kind for kind in labels if kind[0].islower()]
        figures[f"sent bytes, {part}"] = accounts.total(accounts.sent_bytes, role, kinds) / count / span
        figures[f"got bytes, {part}"] = accounts.total(accounts.received_bytes, role, kinds) / count / span
        figures[f"sent records, {part}"] = accounts.total(accounts.sent_records, role, kinds) / count / span
    return figures


def steady(size, seed="capacity"):
    """Measure a fleet in steady operation with the requests of the size, then one configuration change."""
    before = resident_bytes()
    fleet = fleet_module.ModelFleet(seed, size).ready()
    fleet_bytes = resident_bytes() - before
    accounts = fleet.measure(MEASURED_S)
    routers, keepers = fleet.routers(), fleet.keepers()
    state = {
        "resident bytes a router": fleet_bytes / size.routers,
        "neighbours": sum(len(router.gossip.view) for router in routers) / size.routers,
        "routers counted": sum(len(router.gossip.routers_last_seen) for router in routers) / size.routers,
        "leaseholders": len(fleet.leader().leader_tasks[0].leaseholders),
        "usage reports": max(len(d.load_task.reports) for kind in keepers for d in kind.leader_tasks[1:]),
        "asks at the leader": sum(name for (role, kind), name in accounts.sent_records.items() if kind == "ask")
        / MEASURED_S,
        "grants of the leader": sum(name for (role, kind), name in accounts.sent_records.items() if kind == "grant")
        / MEASURED_S,
        "appends": sum(name for (role, kind), name in accounts.sent_records.items() if kind in ("append", "append_say"))
        / MEASURED_S,
        "list pages asked": sum(name for (role, kind), name in accounts.sent_records.items() if kind == "list page")
        / MEASURED_S,
        "faults": len(fleet.loop.errors),
    }
    # the keepers are summed, not averaged, because one of them may lead all parts
    return {
        "router": per_node(accounts, "route", size.routers, MEASURED_S),
        "keepers": per_node(accounts, "keep", 1, MEASURED_S),
        "state": state,
        "change": measure_change(fleet),
    }


def measure_change(fleet):
    """Measure the cost of one configuration change and the time until it is in force on every router."""
    fleet.accounts.clear()
    started_at, results, size = fleet.loop.time, [], fleet.size
    fleet.apply(lambda result: results.append((result, fleet.loop.time)))
    fewest_leased = size.routers  # routers with a lease of any sequence, at the worst moment of the change
    while fleet.in_force(fleet.applied) < size.routers and fleet.loop.time < started_at + 20:
        fleet.run(0.01)
        fewest_leased = min(fewest_leased, fleet.in_force(1))
    accounts = fleet.accounts
    document_kinds = ("news", "grant", "news_ack")
    sent_kinds = [kind for kind in ("news", "grant", "append", "snap")]
    return {
        "acknowledged after": results[0][1] - started_at if results else None,
        "in force after": fleet.loop.time - started_at,
        "least leased": fewest_leased,
        "keepers sent bytes": accounts.total(accounts.sent_bytes, "keep", sent_kinds),
        "news records": accounts.sent_records[("keep", "news")],
        "news bytes": accounts.sent_bytes[("keep", "news")],
        "asks": sum(name for (role, kind), name in accounts.sent_records.items() if kind == "ask"),
        "keepers processor": accounts.total(
            accounts.processor_s, "keep", accounts_module.PARTS["configuration and agreement"]
        ),
        "router processor": accounts.total(accounts.processor_s, "route", document_kinds) / size.routers,
    }


def charged_change(size, seed="capacity", timeout_s=30.0):
    """Measure a change while every event keeps its machine busy for its processor time.

    A leader that packs hundreds of documents is then late with its heartbeats, as in a real deployment.
    """
    fleet = fleet_module.ModelFleet(seed, size).ready()
    fleet.loop.charges_processor_time = True
    fleet.run(2.0)

    def term():
        return max(kind.members[0].log.term for kind in fleet.keepers())

    first_term, sent_kinds, started_at = term(), fleet.leader(), fleet.loop.time
    fleet.run(2.0)
    if fleet.leader() is None or term() != first_term:
        return {"calm": False, "elections": term() - first_term}
    fewest_leased, started_at = size.routers, fleet.loop.time
    fleet.apply()
    while fleet.in_force(fleet.applied) < size.routers and fleet.loop.time < started_at + timeout_s:
        fleet.run(0.02)
        fewest_leased = min(fewest_leased, fleet.in_force(1))
    return {
        "calm": True,
        "in force after": fleet.loop.time - started_at,
        "in force at": fleet.in_force(fleet.applied),
        "elections": term() - first_term,
        "leader is the same": fleet.leader() is sent_kinds,
        "least leased": fewest_leased,
    }


def region_cut(routers=60, shared=False, whose="south", seed="cut"):
    """Partition a region, change the configuration right after, and heal the partition some seconds later.

    shared: all keepers are in the north, otherwise one in each region. whose: the partitioned region,
    or "leader" for the region of the configuration leader.
    """
    size = design.Size(routers=routers, replicas=42, models=21, tenants=24)
    fleet = fleet_module.ModelFleet(seed, size, shared).ready()
    places, parts = fleet.net.places, fleet.parts
    leader = next(name for name, kind in parts.items() if kind is fleet.leader())
    cut_region = design.region_of(places[leader]) if whose == "leader" else whose
    cut_names = [name for name, zone in places.items() if design.region_of(zone) == cut_region]
    other_names = [name for name in places if name not in cut_names]
    outside_routers = [name for name in other_names if name.startswith("route")]
    cut_routers = [name for name in cut_names if name.startswith("route")]
    timeout_s = [name for name in other_names if name.startswith("keep")]
    fleet.net.split(cut_names, other_names)
    started_at = fleet.loop.time

    def leased(names):
        return sum(parts[name].lease.sequence() is not None for name in names)

    def leading():
        return any(parts[name].members[0].is_leader and parts[name].members[0].ready for name in timeout_s)

    while not leading() and fleet.loop.time < started_at + 8:
        fleet.run(0.01)
    has_leader, elected = leading(), fleet.loop.time - started_at
    fewest = [leased(outside_routers), leased(cut_routers)]
    if has_leader:
        keeper = next(parts[name] for name in timeout_s if parts[name].members[0].is_leader)
        fleet.applied += 1
        keeper.members[0].propose(
            {"op": "stage", "base": 1, "by": "capacity", "id": "cut", "doc": design.document(size, 2)}
        )
    proposed_at, in_force_after_s = fleet.loop.time, None
    while fleet.loop.time < proposed_at + 12:
        fleet.run(0.01)
        fewest = [min(fewest[0], leased(outside_routers)), min(fewest[1], leased(cut_routers))]
        if (
            in_force_after_s is None
            and outside_routers
            and all((parts[name].lease.sequence() or 0) >= 2 for name in outside_routers)
        ):
            in_force_after_s = fleet.loop.time - proposed_at
    leased_at_end = [leased(outside_routers), leased(cut_routers)]
    fleet.net.heal()
    healed = fleet.loop.time
    while fleet.in_force(2 if has_leader else 1) < routers and fleet.loop.time < healed + 20:
        fleet.run(0.01)
    return {
        "routers outside": len(outside_routers),
        "routers cut off": len(cut_routers),
        "keepers in one region": shared,
        "cut": cut_region,
        "keepers left outside": len(timeout_s),
        "leader outside after": elected if has_leader else None,
        "in force outside after": in_force_after_s,
        "least leased outside": fewest[0],
        "leased outside at the end": leased_at_end[0],
        "leased in the cut region at the end": leased_at_end[1],
        "cut lasted": healed - started_at,
        "in force everywhere after healing": fleet.loop.time - healed,
    }
