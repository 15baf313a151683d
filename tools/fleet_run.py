"""`mothshed fleet`: a deployment, a bounded load, faults (fleet_faults.py), a judged report."""

import json
import pathlib
import shutil
import sys
import tempfile
import time

import mothshed.programs.environment as environment_module
import mothshed.runtime.clock as clock
import tools.callers as callers
import tools.deployments as deployments
import tools.fleet as fleet_module
import tools.fleet_faults as fleet_faults
import tools.judge as judge
import tools.judge_traffic as judge_traffic
import tools.read_back as read_back


def share(part, whole):
    return f"{100.0 * part / whole:.1f} %" if whole else "none"


def middle(values, at):
    values = sorted(values)
    return values[min(len(values) - 1, int(at * len(values)))] if values else float("nan")


def figures(rows, ledger, kinds=callers.KINDS):
    """Per kind: asked, whole within the brief's times, first token, what else happened."""
    lines = []
    for kind in kinds:
        by = {}
        for row in (r for r in rows if r["kind"] == kind):
            by.setdefault(row["id"], []).append(row)
        limit = 2.5 if kind == "flag" else 8.0
        good = [rs for rs in by.values() if rs[-1]["end"] == "whole" and rs[-1]["done"] - rs[0]["sent"] <= limit]
        first = [rs[-1]["first"] - rs[0]["sent"] for rs in by.values() if rs[-1]["end"] == "whole"]
        lines.append(
            f"{kind:9} asked {len(by):4}  in time {share(len(good), len(by)):>8}  first token "
            f"p50 {middle(first, 0.5):.3f} s  p95 {middle(first, 0.95):.3f} s"
        )

    def count(test):
        return sum(1 for r in rows if test(r))

    seen, extra = set(), 0
    for row in (r for r in ledger if r["kind"] == "seen"):
        extra += (row["request"], row["role"]) in seen
        seen.add((row["request"], row["role"]))
    lines.append(
        f"bounced {count(lambda r: r['status'] == 503)}  failed may_have_run "
        f"{count(lambda r: r['verdict'] == 'may_have_run')}  broken {count(lambda r: r['end'] == 'broken')}  "
        f"lost {count(lambda r: r['end'] == 'lost')}  refused connections {count(lambda r: r['end'] == 'refused')}"
    )
    lines.append(f"sends seen by replicas {sum(r['kind'] == 'seen' for r in ledger)}  extra {extra}")
    return lines


def run(
    folder,
    deployment,
    seconds,
    rate,
    faults,
    seed,
    kinds=callers.KINDS,
    out=print,
    body=None,
    begun=lambda fleet: None,
    **shape,
):
    """Runs one day; returns (rules, rows, ledger)."""
    relays = any(name in fleet_faults.BY_RELAY for at, name in fleet_faults.parse(faults))
    fleet = fleet_module.Fleet(folder, deployment, relays=relays, **shape)
    writes = []
    try:
        fleet.start()
        body = body or fleet_module.document(deployment)
        code, said = fleet.apply(0, body, "first")
        if code:
            raise RuntimeError(f"the first configuration was not accepted: {said}")
        writes.append({"id": "first", "sequence": said["sequence"], "acked": clock.now()})
        out(f"{deployment}: {len(fleet.procs)} processes, serving after {fleet.wait_serving():.1f} s")
        begun(fleet)
        hurt = fleet_faults.Faults(fleet, writes)
        hurt.plan(faults)
        calls = callers.traffic(seed, fleet.plan["tenants"], rate or fleet.plan["rate"], seconds, kinds)
        load = callers.Load(environment_module.BlockingEnvironment(), seed, fleet.routers(), body["model"], calls)
        rows = load.run()
        for thread in hurt.threads:
            thread.join(60)
        time.sleep(1.5)  # frees and late sends come to rest before the books are read
        final = read_back.read_back(fleet.config, [row["id"] for row in writes] + list(hurt.refused))
        ledger, shown = fleet.ledger(), fleet.shown_leaving()
        rules = judge.all_rules(rows, ledger, writes, shown, final, hurt.refused)
        rules["freed"] = judge_traffic.freed(ledger, clock.now() - 1.0)
        for at, what in hurt.log:
            out(f"  fault at {at:.2f}: {what}")
        for line in figures(rows, ledger, kinds):
            out(line)
        return rules, rows, ledger
    finally:
        fleet.stop()


def main(args):
    try:
        fleet_faults.parse(args.faults)
        if args.deployment not in deployments.DEPLOYMENTS:
            raise ValueError(f"no deployment {args.deployment!r}; there are {', '.join(deployments.DEPLOYMENTS)}")
    except ValueError as e:
        print(e, file=sys.stderr)
        return 2
    folder = args.folder or tempfile.mkdtemp(prefix="mothshed-fleet-")
    rules, rows, ledger = run(folder, args.deployment, args.seconds, args.rate, args.faults, args.seed)
    pathlib.Path(folder, "history.json").write_text(json.dumps(rows))
    breaches = 0
    for rule, found in rules.items():
        print(f"{'kept  ' if not found else 'BROKEN'} {rule}" + "".join(f"\n    {f}" for f in found[:5]))
        breaches += len(found)
    if args.folder:
        print(f"written to {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if breaches else 0
