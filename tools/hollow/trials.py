"""Trials on whole hollow fleets: each takes one size and returns its figures, a second and node.

Every trial runs in a process of its own, so that memory is that of one fleet.
"""

import os

import tools.hollow.books as books_module
import tools.hollow.design as design
import tools.hollow.fleet as fleet_module

SPAN = 6.0  # simulated s that are measured: a dozen shuffles of each router, so that their spread evens out


def resident():
    """Bytes of memory this process holds now."""
    with open("/proc/self/statm") as f:
        return int(f.read().split()[1]) * os.sysconf("SC_PAGE_SIZE")


def per_node(books, role, count, span):
    """Records, bytes and processor time a second of one node of a role, whole and by part."""
    said = {
        "sent records": books.total(books.sent, role) / count / span,
        "sent bytes": books.total(books.bytes, role) / count / span,
        "got bytes": books.total(books.got, role) / count / span,
        "processor": books.total(books.spent, role) / count / span,
    }
    for part, labels in books_module.PARTS.items():
        said[f"processor, {part}"] = books.total(books.spent, role, labels) / count / span
        kinds = [k for k in labels if k[0].islower()]
        said[f"sent bytes, {part}"] = books.total(books.bytes, role, kinds) / count / span
        said[f"got bytes, {part}"] = books.total(books.got, role, kinds) / count / span
        said[f"sent records, {part}"] = books.total(books.sent, role, kinds) / count / span
    return said


def steady(size, seed="capacity"):
    """A fleet that runs, with what the size says under way: (router's figures, keeper's, state)."""
    before = resident()
    fleet = fleet_module.HollowFleet(seed, size).ready()
    held = resident() - before
    books = fleet.measure(SPAN)
    routers, keepers = fleet.routers(), fleet.keepers()
    state = {
        "resident bytes a router": held / size.routers,
        "neighbours": sum(len(r.gossip.view) for r in routers) / size.routers,
        "routers counted": sum(len(r.gossip.routers_last_seen) for r in routers) / size.routers,
        "leaseholders": len(fleet.leader().leader_tasks[0].leaseholders),
        "usage reports": max(len(d.load_task.reports) for k in keepers for d in k.leader_tasks[1:]),
        "asks at the leader": sum(n for (role, kind), n in books.sent.items() if kind == "ask") / SPAN,
        "grants of the leader": sum(n for (role, kind), n in books.sent.items() if kind == "grant") / SPAN,
        "appends": sum(n for (role, kind), n in books.sent.items() if kind in ("append", "append_say")) / SPAN,
        "list pages asked": sum(n for (role, kind), n in books.sent.items() if kind == "list page") / SPAN,
        "faults": len(fleet.loop.errors),
    }
    # the keepers' sum is given whole: the leader of all parts may be one of them
    return {
        "router": per_node(books, "route", size.routers, SPAN),
        "keepers": per_node(books, "keep", 1, SPAN),
        "state": state,
        "change": change(fleet),
    }


def change(fleet):
    """One change of the configuration: what it costs and when every router may send under it."""
    fleet.books.clear()
    began, box, size = fleet.loop.time, [], fleet.size
    fleet.apply(lambda result: box.append((result, fleet.loop.time)))
    least = size.routers  # routers with a lease of any sequence, at the worst moment
    while fleet.in_force(fleet.applied) < size.routers and fleet.loop.time < began + 20:
        fleet.run(0.01)
        least = min(least, fleet.in_force(1))
    books = fleet.books
    docs = ("news", "grant", "news_ack")
    own = [kind for kind in ("news", "grant", "append", "snap")]
    return {
        "acknowledged after": box[0][1] - began if box else None,
        "in force after": fleet.loop.time - began,
        "least leased": least,
        "keepers sent bytes": books.total(books.bytes, "keep", own),
        "news records": books.sent[("keep", "news")],
        "news bytes": books.bytes[("keep", "news")],
        "asks": sum(n for (role, kind), n in books.sent.items() if kind == "ask"),
        "keepers processor": books.total(books.spent, "keep", books_module.PARTS["configuration and agreement"]),
        "router processor": books.total(books.spent, "route", docs) / size.routers,
    }


def charged_change(size, seed="capacity", most=30.0):
    """A change while every event keeps its machine busy for the processor time it took here.

    So a leader that packs hundreds of documents is late with its heartbeats, as a real one is.
    """
    fleet = fleet_module.HollowFleet(seed, size).ready()
    fleet.loop.charged = True
    fleet.run(2.0)

    def term():
        return max(k.members[0].log.term for k in fleet.keepers())

    calm, own, began = term(), fleet.leader(), fleet.loop.time
    fleet.run(2.0)
    if fleet.leader() is None or term() != calm:
        return {"calm": False, "elections": term() - calm}
    least, began = size.routers, fleet.loop.time
    fleet.apply()
    while fleet.in_force(fleet.applied) < size.routers and fleet.loop.time < began + most:
        fleet.run(0.02)
        least = min(least, fleet.in_force(1))
    return {
        "calm": True,
        "in force after": fleet.loop.time - began,
        "in force at": fleet.in_force(fleet.applied),
        "elections": term() - calm,
        "leader is the same": fleet.leader() is own,
        "least leased": least,
    }


def region_cut(routers=60, shared=False, whose="south", seed="cut"):
    """A region is cut off and the configuration changes right after; some seconds later it heals.

    shared: all keepers stand in the north, else one in each region. whose: the region that is
    cut off, "leader" for the one where the configuration's leader stands.
    """
    size = design.Size(routers=routers, replicas=42, models=21, tenants=24)
    fleet = fleet_module.HollowFleet(seed, size, shared).ready()
    places, parts = fleet.net.places, fleet.parts
    leader = next(n for n, k in parts.items() if k is fleet.leader())
    gone = design.region(places[leader]) if whose == "leader" else whose
    inside = [n for n, cell in places.items() if design.region(cell) == gone]
    rest = [n for n in places if n not in inside]
    far = [n for n in rest if n.startswith("route")]
    cut = [n for n in inside if n.startswith("route")]
    most = [n for n in rest if n.startswith("keep")]
    fleet.net.split(inside, rest)
    began = fleet.loop.time

    def leased(names):
        return sum(parts[n].lease.sequence() is not None for n in names)

    def leading():
        return any(parts[n].members[0].is_leader and parts[n].members[0].ready for n in most)

    while not leading() and fleet.loop.time < began + 8:
        fleet.run(0.01)
    found, elected = leading(), fleet.loop.time - began
    low = [leased(far), leased(cut)]
    if found:
        keeper = next(parts[n] for n in most if parts[n].members[0].is_leader)
        fleet.applied += 1
        keeper.members[0].propose(
            {"op": "stage", "base": 1, "by": "capacity", "id": "cut", "doc": design.document(size, 2)}
        )
    at, outside = fleet.loop.time, None
    while fleet.loop.time < at + 12:
        fleet.run(0.01)
        low = [min(low[0], leased(far)), min(low[1], leased(cut))]
        if outside is None and far and all((parts[n].lease.sequence() or 0) >= 2 for n in far):
            outside = fleet.loop.time - at
    during = [leased(far), leased(cut)]
    fleet.net.heal()
    healed = fleet.loop.time
    while fleet.in_force(2 if found else 1) < routers and fleet.loop.time < healed + 20:
        fleet.run(0.01)
    return {
        "routers outside": len(far),
        "routers cut off": len(cut),
        "keepers in one region": shared,
        "cut": gone,
        "keepers left outside": len(most),
        "leader outside after": elected if found else None,
        "in force outside after": outside,
        "least leased outside": low[0],
        "leased outside at the end": during[0],
        "leased in the cut region at the end": during[1],
        "cut lasted": healed - began,
        "in force everywhere after healing": fleet.loop.time - healed,
    }
