"""Measurements, each of two or more variants on the same recorded traffic.

python -m tools.measure pairing      the pairing policies
python -m tools.measure split        a shifting split against a fixed one
python -m tools.measure fairness     a tenant rushing ten-fold against no rush
python -m tools.measure scale        membership and delivery at 50 and 200 nodes
python -m tools.measure gap          service around a leader's death

All run in the simulator, so that a figure is the same on every machine; ratios
count, not the seconds of the stand-ins' model of a replica. --traffic FILE replays
a recording made with --record FILE.
"""

import argparse
import collections
import functools
import itertools
import json
import pathlib
import sys

import tools.callers as callers
import tools.deployments as deployments
import tools.fleet as real_fleet
import tools.fleet_run as fleet_run
import tools.simulator.fleet as sim

RATES = {"pairing": 60.0, "split": 28.0, "fairness": 30.0, "gap": 12.0, "scale": 1.0}
SITES = 12  # sites with a shared prefix of their own, for the pairing policies
LONG_PROMPTS = {"summary": (1.0, 6000, 2048, 8, False, True)}
LONG_ANSWERS = {"question": (1.0, 200, 256, 90, False, True)}


def later(calls, span):
    return [(at + span, call) for at, call in calls]


def play(seed, calls, body, length, deployment="patinetes", routers=3, replicas=5, hurt=None):
    """One run of a fleet over recorded calls; returns the fleet after the load came to rest."""
    f = sim.SimFleet(seed, deployment, routers=routers, replicas=replicas)
    f.ready(body=body)
    zones = collections.defaultdict(list)
    for name in f.names("route"):
        zones[f.settings[name]["cell"]].append(f.settings[name]["http"])
    load = callers.Load(f.ops, seed, dict(zones), body["model"], calls)
    load.rows = f.rows
    f.operator(load.run)
    if hurt:
        hurt(f)
    f.run(length + 12)
    return f


def figures(rows):
    """What came of the calls: shares over calls, first tokens over whole answers."""
    by = collections.defaultdict(list)
    for row in rows:
        by[row["id"]].append(row)
    good, first = 0, []
    for rs in by.values():
        limit = 2.5 if rs[0]["kind"] == "flag" else 8.0
        if rs[-1]["end"] == "whole":
            first.append(rs[-1]["first"] - rs[0]["sent"])
            good += rs[-1]["done"] - rs[0]["sent"] <= limit
    return {
        "asked": len(by),
        "in_time": round(good / max(1, len(by)), 4),
        "first_p50": round(fleet_run.quantile(first, 0.5), 4),
        "first_p95": round(fleet_run.quantile(first, 0.95), 4),
        "bounces": sum(r["status"] == 503 for r in rows),
    }


def show(name, said):
    print(f"{name:28} " + "  ".join(f"{k} {v}" for k, v in said.items()), flush=True)


def pairing(args, calls):
    body = real_fleet.document(args.deployment)
    table = {}
    for policy in ("least_usage", "prefix_affinity"):
        body = {**body, "pairings": [{"pool": "main", "policy": policy}]}
        f = play(args.seed, calls, body, args.seconds, args.deployment)
        read = [r for r in f.ledger if r["kind"] == "prefilled"]
        start = {r["run"]: r["at"] for r in f.ledger if r["kind"] == "run"}
        table[policy] = {
            **figures(f.rows),
            "prefill_mean": round(sum(r["at"] - start[r["run"]] for r in read) / max(1, len(read)), 4),
        }
        show(policy, table[policy])
    return table


def split(args, calls):
    table = {}
    for name, shift in (("fixed split", False), ("shifting split", True)):
        body = real_fleet.document(args.deployment)
        body["pools"] = {"main": {**body["pools"]["main"], "shift": shift}}
        f = play(args.seed, calls, body, args.seconds, args.deployment)
        orders = sum(r["kind"] == "order" and r["taken"] for r in f.ledger)
        table[name] = {**figures(f.rows), "orders": orders}
        show(name, table[name])
    return table


def fairness(args, calls):
    table = {}
    tenants = deployments.DEPLOYMENTS[args.deployment]["tenants"]
    quiet = [c for c in calls if c[1]["tenant"] != tenants[0]]
    own = [c for c in calls if c[1]["tenant"] == tenants[0]]
    rush = callers.traffic(f"{args.seed}-rush", tenants[:1], 10 * args.rate / len(tenants), args.seconds)
    for name, many in (("no rush", calls), (f"{tenants[0]} ten-fold", sorted(quiet + own + rush, key=lambda c: c[0]))):
        f = play(args.seed, many, real_fleet.document(args.deployment), args.seconds, args.deployment)
        for who, test in (
            ("others", lambda r: r["tenant"] != tenants[0]),
            (tenants[0], lambda r: r["tenant"] == tenants[0]),
        ):
            table[f"{name}: {who}"] = figures([r for r in f.rows if test(r)])
            show(f"{name}: {who}", table[f"{name}: {who}"])
    return table


def gap(args, calls):
    """The longest time without a whole answer begun, and bounces, around a death of the leader."""
    table = {}
    for name, hurt in (
        ("no death", None),
        ("leader killed at 5 s", lambda f: f.call_later(5, lambda: f.kill(f.leader()))),
    ):
        f = play(args.seed, calls, real_fleet.document(args.deployment), args.seconds, args.deployment, hurt=hurt)
        first = sorted(r["first"] for r in f.rows if r["end"] == "whole")
        longest_gap = max(later - earlier for earlier, later in itertools.pairwise(first))
        table[name] = {**figures(f.rows), "longest_gap": round(longest_gap, 3)}
        show(name, table[name])
    return table


def scale(args, calls):
    """How long until every router serves, hears of a new document, and how much is sent for it."""
    table = {}
    for routers in (50, 200):
        f = sim.SimFleet(args.seed, "patinetes", routers=routers, replicas=2)
        f.ready(timeout_s=60)
        began = f.loop.time
        parts = [f.processes[n] for n in f.names("route")]
        seen = collections.Counter(a for p in parts for a in p.gossip.view)
        count = f.net.count
        f.run(10)
        rate = (f.net.count - count) / 10 / (routers + 3)
        f.operator(functools.partial(f.apply, "second"))
        while not (len(f.writes) > 1 and all(p.lease.active == 2 for p in parts)):
            f.run(0.005)
            if f.loop.time > began + 60:
                raise RuntimeError("the second document did not reach every router")
        known = sum(len(p.gossip.view) for p in parts) / routers
        table[routers] = {
            "ready_s": round(began - 1000.0, 2),
            "view_mean": round(known, 1),
            "unknown_to_all": sum(f.settings[n]["address"] not in seen for n in f.names("route")),
            "records_per_node_s": round(rate, 1),
            "delivered_after_ack_s": round(f.loop.time - f.writes[-1]["acked"], 3),
        }
        show(f"{routers} routers", table[routers])
    return table


def swing(args):
    half = args.seconds / 2
    tenants = deployments.DEPLOYMENTS[args.deployment]["tenants"]
    one = callers.traffic(f"{args.seed}-long-prompts", tenants, args.rate, half, LONG_PROMPTS)
    two = callers.traffic(f"{args.seed}-long-answers", tenants, args.rate, half, LONG_ANSWERS)
    return one + later(two, half)


def main(argv=None):
    what = {"pairing": pairing, "split": split, "fairness": fairness, "scale": scale, "gap": gap}
    parser = argparse.ArgumentParser(description="measurements on recorded traffic")
    parser.add_argument("what", choices=sorted(what))
    parser.add_argument("--deployment", default="patinetes", choices=sorted(deployments.DEPLOYMENTS))
    parser.add_argument("--seed", default="1")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0: the measurement's own")
    parser.add_argument("--record", help="write the traffic to this file")
    parser.add_argument("--traffic", help="replay this recording")
    args = parser.parse_args(argv)
    args.rate = args.rate or RATES[args.what]
    tenants = deployments.DEPLOYMENTS[args.deployment]["tenants"]
    try:
        if args.traffic:
            calls = [(at, call) for at, call in json.loads(pathlib.Path(args.traffic).read_text())]
        else:
            calls = (
                swing(args)
                if args.what == "split"
                else callers.traffic(
                    args.seed, tenants, args.rate, args.seconds, sites=SITES if args.what == "pairing" else 1
                )
            )
    except (OSError, ValueError, TypeError) as e:
        parser.error(f"--traffic: {args.traffic}: {e}")
    if args.record:
        pathlib.Path(args.record).write_text(json.dumps(calls))
    return what[args.what](args, calls)


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
