"""Measurements, each of two or more variants on the same recorded traffic.

python -m tools.measure pairing      the pairing policies compared
python -m tools.measure split        a split that follows the load, against a fixed split
python -m tools.measure fairness     one tenant sending ten times its traffic, against normal traffic
python -m tools.measure scale        membership and delivery at 50 and 200 nodes
python -m tools.measure gap          service around a failure of the leader

All of them run in the simulator, so that a figure is the same on every machine. Compare the ratios:
the seconds depend on the model of a replica in the stand-ins. --traffic FILE replays a recording
made with --record FILE.
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
PREFIX_SITES = 12  # sites, each with its own shared prefix, for the pairing policies
LONG_PROMPTS = {"summary": (1.0, 6000, 2048, 8, False, True)}
LONG_ANSWERS = {"question": (1.0, 200, 256, 90, False, True)}


def shift_calls(calls, delay_s):
    return [(at + delay_s, call) for at, call in calls]


def run_fleet(seed, calls, body, seconds, deployment="patinetes", routers=3, replicas=5, inject_fault=None):
    """Run a simulated fleet on recorded calls; return the fleet after the load has finished."""
    fleet = sim.SimFleet(seed, deployment, routers=routers, replicas=replicas)
    fleet.ready(body=body)
    zones = collections.defaultdict(list)
    for name in fleet.names("route"):
        zones[fleet.settings[name]["cell"]].append(fleet.settings[name]["http"])
    load = callers.Load(fleet.ops, seed, dict(zones), body["model"], calls)
    load.rows = fleet.rows
    fleet.operator(load.run)
    if inject_fault:
        inject_fault(fleet)
    fleet.run(seconds + 12)
    return fleet


def summarize_rows(rows):
    """Return the outcome figures of the calls; times to the first token count whole answers only."""
    rows_by_id = collections.defaultdict(list)
    for row in rows:
        rows_by_id[row["id"]].append(row)
    in_time_count, first_token_times = 0, []
    for attempts in rows_by_id.values():
        limit = 2.5 if attempts[0]["kind"] == "flag" else 8.0
        if attempts[-1]["end"] == "whole":
            first_token_times.append(attempts[-1]["first"] - attempts[0]["sent"])
            in_time_count += attempts[-1]["done"] - attempts[0]["sent"] <= limit
    return {
        "asked": len(rows_by_id),
        "in_time": round(in_time_count / max(1, len(rows_by_id)), 4),
        "first_p50": round(fleet_run.quantile(first_token_times, 0.5), 4),
        "first_p95": round(fleet_run.quantile(first_token_times, 0.95), 4),
        "bounces": sum(row["status"] == 503 for row in rows),
    }


def print_figures(name, figures):
    print(f"{name:28} " + "  ".join(f"{key} {value}" for key, value in figures.items()), flush=True)


def pairing(args, calls):
    body = real_fleet.document(args.deployment)
    table = {}
    for policy in ("least_usage", "prefix_affinity"):
        body = {**body, "pairings": [{"pool": "main", "policy": policy}]}
        fleet = run_fleet(args.seed, calls, body, args.seconds, args.deployment)
        prefills = [row for row in fleet.ledger if row["kind"] == "prefilled"]
        started_at = {row["run"]: row["at"] for row in fleet.ledger if row["kind"] == "run"}
        table[policy] = {
            **summarize_rows(fleet.rows),
            "prefill_mean": round(
                sum(row["at"] - started_at[row["run"]] for row in prefills) / max(1, len(prefills)), 4
            ),
        }
        print_figures(policy, table[policy])
    return table


def split(args, calls):
    table = {}
    for name, shift in (("fixed split", False), ("shifting split", True)):
        body = real_fleet.document(args.deployment)
        body["pools"] = {"main": {**body["pools"]["main"], "shift": shift}}
        fleet = run_fleet(args.seed, calls, body, args.seconds, args.deployment)
        orders = sum(row["kind"] == "order" and row["taken"] for row in fleet.ledger)
        table[name] = {**summarize_rows(fleet.rows), "orders": orders}
        print_figures(name, table[name])
    return table


def fairness(args, calls):
    table = {}
    tenants = deployments.DEPLOYMENTS[args.deployment]["tenants"]
    other_calls = [call for call in calls if call[1]["tenant"] != tenants[0]]
    rushing_calls = [call for call in calls if call[1]["tenant"] == tenants[0]]
    rush = callers.traffic(f"{args.seed}-rush", tenants[:1], 10 * args.rate / len(tenants), args.seconds)
    for name, run_calls in (
        ("no rush", calls),
        (f"{tenants[0]} ten-fold", sorted(other_calls + rushing_calls + rush, key=lambda call: call[0])),
    ):
        fleet = run_fleet(args.seed, run_calls, real_fleet.document(args.deployment), args.seconds, args.deployment)
        for group, in_group in (
            ("others", lambda row: row["tenant"] != tenants[0]),
            (tenants[0], lambda row: row["tenant"] == tenants[0]),
        ):
            table[f"{name}: {group}"] = summarize_rows([row for row in fleet.rows if in_group(row)])
            print_figures(f"{name}: {group}", table[f"{name}: {group}"])
    return table


def gap(args, calls):
    """Measure the longest time in which no whole answer began, and rejections, around a failure of the leader."""
    table = {}
    for name, inject_fault in (
        ("no death", None),
        ("leader killed at 5 s", lambda fleet: fleet.call_later(5, lambda: fleet.kill(fleet.leader()))),
    ):
        fleet = run_fleet(
            args.seed,
            calls,
            real_fleet.document(args.deployment),
            args.seconds,
            args.deployment,
            inject_fault=inject_fault,
        )
        first_token_times = sorted(row["first"] for row in fleet.rows if row["end"] == "whole")
        longest_gap = max(next_at - previous_at for previous_at, next_at in itertools.pairwise(first_token_times))
        table[name] = {**summarize_rows(fleet.rows), "longest_gap": round(longest_gap, 3)}
        print_figures(name, table[name])
    return table


def scale(args, calls):
    """Measure the time until every router serves and has a new document, and the records sent per node."""
    table = {}
    for routers in (50, 200):
        fleet = sim.SimFleet(args.seed, "patinetes", routers=routers, replicas=2)
        fleet.ready(timeout_s=60)
        started_at = fleet.loop.time
        router_parts = [fleet.processes[name] for name in fleet.names("route")]
        seen_counts = collections.Counter(address for router in router_parts for address in router.gossip.view)
        sent_before = fleet.net.count
        fleet.run(10)
        records_per_node_s = (fleet.net.count - sent_before) / 10 / (routers + 3)
        fleet.operator(functools.partial(fleet.apply, "second"))
        while not (len(fleet.writes) > 1 and all(router.lease.active == 2 for router in router_parts)):
            fleet.run(0.005)
            if fleet.loop.time > started_at + 60:
                raise RuntimeError("the second document did not reach every router")
        mean_view = sum(len(router.gossip.view) for router in router_parts) / routers
        table[routers] = {
            "ready_s": round(started_at - 1000.0, 2),
            "view_mean": round(mean_view, 1),
            "unknown_to_all": sum(fleet.settings[name]["address"] not in seen_counts for name in fleet.names("route")),
            "records_per_node_s": round(records_per_node_s, 1),
            "delivered_after_ack_s": round(fleet.loop.time - fleet.writes[-1]["acked"], 3),
        }
        print_figures(f"{routers} routers", table[routers])
    return table


def changing_traffic(args):
    half = args.seconds / 2
    tenants = deployments.DEPLOYMENTS[args.deployment]["tenants"]
    first_half = callers.traffic(f"{args.seed}-long-prompts", tenants, args.rate, half, LONG_PROMPTS)
    second_half = callers.traffic(f"{args.seed}-long-answers", tenants, args.rate, half, LONG_ANSWERS)
    return first_half + shift_calls(second_half, half)


def main(argv=None):
    measurements = {"pairing": pairing, "split": split, "fairness": fairness, "scale": scale, "gap": gap}
    parser = argparse.ArgumentParser(description="measurements on recorded traffic")
    parser.add_argument("what", choices=sorted(measurements))
    parser.add_argument("--deployment", default="patinetes", choices=sorted(deployments.DEPLOYMENTS))
    parser.add_argument("--seed", default="1")
    parser.add_argument("--seconds", type=float, default=40.0)
    parser.add_argument("--rate", type=float, default=0.0, help="requests a second; 0: the default of the measurement")
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
                changing_traffic(args)
                if args.what == "split"
                else callers.traffic(
                    args.seed, tenants, args.rate, args.seconds, sites=PREFIX_SITES if args.what == "pairing" else 1
                )
            )
    except (OSError, ValueError, TypeError) as error:
        parser.error(f"--traffic: {args.traffic}: {error}")
    if args.record:
        pathlib.Path(args.record).write_text(json.dumps(calls))
    return measurements[args.what](args, calls)


if __name__ == "__main__":
    sys.exit(0 if main() else 1)
