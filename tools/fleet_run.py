"""`mothshed fleet`: a deployment, a bounded load, faults, a judged report.

Faults are given as "seconds:name" pairs, counted from the start of the load:
kill_router, term_router, kill_owner, term_owner, crash_replica, leave_replica,
freeze_router, freeze_owner, wipe_keeper, config, race. What was killed comes
back two seconds later, as the platform would bring it.
"""

import json
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import time

import mothshed.common.world as world
import tools.callers as callers
import tools.fleet as fleet_module
import tools.judge as judge

BACK = 2.0      # s until something killed is started again
FREEZE = 2.5    # s a frozen process stays so


class Faults:
    def __init__(self, fleet, writes):
        self.fleet, self.writes, self.refused = fleet, writes, []
        self.threads, self.log = [], []
        self.lock = threading.Lock()

    def later(self, span, call):
        thread = threading.Timer(span, call)
        thread.daemon = True
        thread.start()
        self.threads.append(thread)

    def plan(self, text):
        for item in filter(None, text.split(",")):
            at, name = item.split(":")
            self.later(float(at), lambda name=name: self.run(name))

    def run(self, name):
        self.log.append((round(world.now(), 2), name))
        getattr(self, name)()

    def back(self, name):
        self.later(BACK, lambda: self.fleet.relaunch(name))

    def kill_router(self):
        self.fleet.kill("route-2")
        self.back("route-2")

    def term_router(self):
        self.fleet.signal("route-3", signal.SIGTERM)
        self.fleet.procs["route-3"].wait(30)
        self.back("route-3")

    def kill_owner(self):
        name = self.fleet.owner() or "keep-1"
        self.fleet.kill(name)
        self.back(name)

    def term_owner(self):
        name = self.fleet.owner() or "keep-1"
        self.fleet.signal(name, signal.SIGTERM)
        self.fleet.procs[name].wait(30)
        self.back(name)

    def wipe_keeper(self):
        name = self.fleet.owner() or "keep-1"
        self.fleet.kill(name)
        shutil.rmtree(self.fleet.settings[name]["data"])
        self.back(name)

    def crash_replica(self):
        self.fleet.fault("replica-2", crash=True)
        self.fleet.procs["replica-2"].wait(10)
        self.back("replica-2")

    def leave_replica(self):
        self.fleet.set_listed({"name": "replica-3", "state": "leaving"})

    def freeze(self, name):
        self.fleet.signal(name, signal.SIGSTOP)
        self.later(FREEZE, lambda: self.fleet.signal(name, signal.SIGCONT))

    def freeze_router(self):
        self.freeze("route-4")

    def freeze_owner(self):
        self.freeze(self.fleet.owner() or "keep-1")

    def config(self):
        with self.lock:
            base = self.fleet.config()["latest"]
            number = len(self.writes) + len(self.refused)
            self.write(base, f"change-{number}", fleet_module.document(self.fleet.deployment, note=str(number)))

    def write(self, base, mark, body):
        code, said = self.fleet.apply(base, body, mark)
        if code == 0:
            self.writes.append({"id": mark, "sequence": said["sequence"], "acked": world.now(), "base": base})
        elif code == 5:
            self.refused.append(mark)
        self.log.append((round(world.now(), 2), f"{mark}: exit {code}"))

    def race(self):
        base = self.fleet.config()["latest"]
        both = [threading.Thread(target=self.write, args=(
            base, f"race-{base}-{n}", fleet_module.document(self.fleet.deployment, note=f"race {n}"))) for n in (1, 2)]
        for thread in both:
            thread.start()
        for thread in both:
            thread.join()


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
        lines.append(f"{kind:9} asked {len(by):4}  in time {share(len(good), len(by)):>8}  first token "
                     f"p50 {middle(first, .5):.3f} s  p95 {middle(first, .95):.3f} s")
    count = lambda test: sum(1 for r in rows if test(r))
    seen, extra = set(), 0
    for row in (r for r in ledger if r["kind"] == "seen"):
        extra += (row["request"], row["role"]) in seen
        seen.add((row["request"], row["role"]))
    lines.append(f"bounced {count(lambda r: r['status'] == 503)}  failed may_have_run "
                 f"{count(lambda r: r['verdict'] == 'may_have_run')}  broken {count(lambda r: r['end'] == 'broken')}  "
                 f"lost {count(lambda r: r['end'] == 'lost')}  refused connections {count(lambda r: r['end'] == 'refused')}")
    lines.append(f"sends seen by replicas {sum(r['kind'] == 'seen' for r in ledger)}  extra {extra}")
    return lines


def run(folder, deployment, seconds, rate, faults, seed, kinds=callers.KINDS, out=print, body=None, **shape):
    """Runs one day; returns (rules, rows, ledger)."""
    fleet = fleet_module.Fleet(folder, deployment, **shape)
    writes = []
    try:
        fleet.start()
        body = body or fleet_module.document(deployment)
        code, said = fleet.apply(0, body, "first")
        if code:
            raise RuntimeError(f"the first configuration was not accepted: {said}")
        writes.append({"id": "first", "sequence": said["sequence"], "acked": world.now()})
        out(f"{deployment}: {len(fleet.procs)} processes, serving after {fleet.wait_serving():.1f} s")
        hurt = Faults(fleet, writes)
        hurt.plan(faults)
        calls = callers.traffic(seed, fleet.plan["tenants"], rate or fleet.plan["rate"], seconds, kinds)
        load = callers.Load(world.Tasks(), seed, fleet.routers(), body["model"], calls)
        rows = load.run()
        for thread in hurt.threads:
            thread.join(60)
        time.sleep(1.5)     # frees and late sends come to rest before the books are read
        final = fleet.config("/configuration/history")
        ledger, shown = fleet.ledger(), fleet.shown_leaving()
        rules = judge.all_rules(rows, ledger, writes, shown, final, hurt.refused)
        rules["freed"] = judge.freed(ledger, world.now() - 1.0)
        for at, what in hurt.log:
            out(f"  fault at {at:.2f}: {what}")
        for line in figures(rows, ledger, kinds):
            out(line)
        return rules, rows, ledger
    finally:
        fleet.stop()


def main(args):
    known = [n for n in dir(Faults) if not n.startswith("_")]
    bad = [f for f in filter(None, args.faults.split(",")) if f.count(":") != 1 or f.split(":")[1] not in known
           or not f.split(":")[0].replace(".", "", 1).isdigit()]
    if bad or args.deployment not in fleet_module.DEPLOYMENTS:
        print(f"not understood: {', '.join(bad) or args.deployment}", file=sys.stderr)
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
