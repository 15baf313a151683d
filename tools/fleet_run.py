"""`mothshed fleet`: runs a deployment under a bounded load with faults (fleet_faults.py) and checks the rules."""

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


def percentage(part, total):
    return f"{100.0 * part / total:.1f} %" if total else "none"


def quantile(values, fraction):
    values = sorted(values)
    return values[min(len(values) - 1, int(fraction * len(values)))] if values else float("nan")


def report_lines(rows, ledger, kinds=callers.KINDS):
    """Per kind: requests, the share completed within the target times, time to first token, and other outcomes."""
    lines = []
    for kind in kinds:
        rows_by_id = {}
        for row in (r for r in rows if r["kind"] == kind):
            rows_by_id.setdefault(row["id"], []).append(row)
        limit = 2.5 if kind == "flag" else 8.0
        in_time = [
            attempts
            for attempts in rows_by_id.values()
            if attempts[-1]["end"] == "whole" and attempts[-1]["done"] - attempts[0]["sent"] <= limit
        ]
        first_token = [
            attempts[-1]["first"] - attempts[0]["sent"]
            for attempts in rows_by_id.values()
            if attempts[-1]["end"] == "whole"
        ]
        lines.append(
            f"{kind:9} asked {len(rows_by_id):4}  in time {percentage(len(in_time), len(rows_by_id)):>8}  first token "
            f"p50 {quantile(first_token, 0.5):.3f} s  p95 {quantile(first_token, 0.95):.3f} s"
        )

    def count(matches):
        return sum(1 for row in rows if matches(row))

    seen, extra_sends = set(), 0
    for row in (r for r in ledger if r["kind"] == "seen"):
        extra_sends += (row["request"], row["role"]) in seen
        seen.add((row["request"], row["role"]))
    lines.append(
        f"bounced {count(lambda r: r['status'] == 503)}  failed may_have_run "
        f"{count(lambda r: r['verdict'] == 'may_have_run')}  broken {count(lambda r: r['end'] == 'broken')}  "
        f"lost {count(lambda r: r['end'] == 'lost')}  refused connections {count(lambda r: r['end'] == 'refused')}"
    )
    lines.append(f"sends seen by replicas {sum(r['kind'] == 'seen' for r in ledger)}  extra {extra_sends}")
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
    on_serving=lambda fleet: None,
    **shape,
):
    """Run one scenario; returns (rules, rows, ledger)."""
    relays = any(name in fleet_faults.RELAY_FAULTS for at, name in fleet_faults.parse(faults))
    fleet = fleet_module.Fleet(folder, deployment, relays=relays, **shape)
    writes = []
    try:
        fleet.start()
        body = body or fleet_module.document(deployment)
        code, response = fleet.apply(0, body, "first")
        if code:
            raise RuntimeError(f"the first configuration was not accepted: {response}")
        writes.append({"id": "first", "sequence": response["sequence"], "acked": clock.now()})
        out(f"{deployment}: {len(fleet.processes)} processes, serving after {fleet.wait_serving():.1f} s")
        on_serving(fleet)
        faults_run = fleet_faults.Faults(fleet, writes)
        faults_run.plan(faults)
        calls = callers.traffic(seed, fleet.plan["tenants"], rate or fleet.plan["rate"], seconds, kinds)
        load = callers.Load(environment_module.BlockingEnvironment(), seed, fleet.routers(), body["model"], calls)
        rows = load.run()
        for thread in faults_run.threads:
            thread.join(60)
        time.sleep(1.5)  # let handle releases and late sends finish before the ledgers are read
        final = read_back.read_back(fleet.config, [row["id"] for row in writes] + list(faults_run.refused))
        ledger, shown = fleet.ledger(), fleet.shown_leaving()
        rules = judge.all_rules(rows, ledger, writes, shown, final, faults_run.refused)
        rules["freed"] = judge_traffic.freed(ledger, clock.now() - 1.0)
        for at, event in faults_run.log:
            out(f"  fault at {at:.2f}: {event}")
        for line in report_lines(rows, ledger, kinds):
            out(line)
        return rules, rows, ledger
    finally:
        fleet.stop()


def main(args):
    try:
        fleet_faults.parse(args.faults)
        if args.deployment not in deployments.DEPLOYMENTS:
            raise ValueError(f"no deployment {args.deployment!r}; there are {', '.join(deployments.DEPLOYMENTS)}")
    except ValueError as error:
        print(error, file=sys.stderr)
        return 2
    folder = args.folder or tempfile.mkdtemp(prefix="mothshed-fleet-")
    rules, rows, ledger = run(folder, args.deployment, args.seconds, args.rate, args.faults, args.seed)
    pathlib.Path(folder, "history.json").write_text(json.dumps(rows))
    violations = 0
    for rule, violations_found in rules.items():
        print(
            f"{'kept  ' if not violations_found else 'BROKEN'} {rule}"
            + "".join(f"\n    {violation}" for violation in violations_found[:5])
        )
        violations += len(violations_found)
    if args.folder:
        print(f"written to {folder}")
    else:
        shutil.rmtree(folder, ignore_errors=True)
    return 1 if violations else 0
