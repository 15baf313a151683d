"""Soak test: stops of routers and keepers, as real processes, while clients use their connections until the end.

python -m tests.soak_stops --seeds 1-50 [--tree FOLDER] [--busy 8]

Signals come in series, in any order and twice, also while a process starts, drains or takes a configuration; replicas
rest meanwhile. Every request is judged by the platform's rules (tests/stop_judge.py).
"""

import argparse
import functools
import pathlib
import random
import sys
import tempfile
import time

import tests.stop_callers as stop_callers
import tests.stop_fleet as stop_fleet
import tests.stop_judge as stop_judge

SIGNALS = ("SIGTERM", "SIGINT", "SIGHUP")
CALM_S = 0.7  # from the start of the clients to the first signal
HANDLES_FREED_S = 2.0  # from the end of a run until the replicas are asked for handles


class Soak:
    """One run: its fleet, its clients, and what is done to them."""

    def __init__(self, folder: pathlib.Path, seed: int, grace_s: float, callers: int, tree: pathlib.Path) -> None:
        self.random = random.Random(f"stops.{seed}")
        self.fleet = stop_fleet.Fleet(folder, 3, 2, grace_s, tree)
        self.callers = [
            stop_callers.Caller(node, self.fleet.gates["counter"], f"{seed}.{node.name}.{number}")
            for node in self.fleet.routers
            for number in range(callers)
        ]

    def run(self, rounds: int) -> stop_judge.Verdict:
        """Start the fleet, stop its processes in several rounds, and judge all requests."""
        try:
            self.fleet.start()
            for caller in self.callers:
                caller.start()
            for _ in range(rounds):
                time.sleep(CALM_S)
                self.play_round()
            for caller in self.callers:
                caller.ended.set()
            for caller in self.callers:
                caller.join(stop_callers.DEADLINE_S + 5)
            time.sleep(HANDLES_FREED_S)
            attempts = [attempt for caller in self.callers for attempt in caller.attempts]
            return stop_judge.Judge(self.fleet).judge(attempts)
        finally:
            self.fleet.close()

    def play_round(self) -> None:
        """Stop one router, sometimes a keeper and the other router with it, and start them again."""
        nodes = [self.random.choice(self.fleet.routers)]
        if self.random.random() < 0.3:
            nodes = list(self.fleet.routers)
        if self.random.random() < 0.4:
            nodes.append(self.random.choice(self.fleet.keepers))
        plans = [(node, self.series(), self.restart()) for node in nodes]
        stops = [stop_fleet.in_thread(functools.partial(self.cycle, *plan)) for plan in plans]
        if self.random.random() < 0.4:
            replica = self.fleet.replicas[self.random.choice((2, 3, 4))]
            replica.rest_s = self.random.uniform(1.4, 2.5)
            replica.rests_from = time.monotonic() + self.random.uniform(0.0, 2.0)
        if self.random.random() < 0.4:
            time.sleep(self.random.uniform(0.0, 3.0))
            self.fleet.configure()
        for stop in stops:
            stop.join()

    def series(self) -> list[tuple[float, str]]:
        """Return a series of signals with a SIGTERM in it: (seconds from its begin, name)."""
        names = [self.random.choice(SIGNALS) for _ in range(self.random.randrange(4))]
        names.insert(self.random.randrange(len(names) + 1), "SIGTERM")
        if names.count("SIGINT") > 1 and "SIGTERM" in names[names.index("SIGINT") :]:
            names.sort(key=lambda name: name != "SIGTERM")  # two SIGINT first would end the process at once
        at, series = 0.0, []
        for name in names:
            series.append((at, name))
            at += self.random.choice((0.0, 0.02, self.random.uniform(0.1, 3.5)))
        return series

    def restart(self) -> list[tuple[float, str]]:
        """Return the signals that meet the next process while it starts; often none."""
        if self.random.random() < 0.6:
            return []
        return [(self.random.uniform(0.0, 2.0), self.random.choice(SIGNALS)) for _ in range(1)]

    def cycle(self, node: stop_fleet.Node, series: list[tuple[float, str]], early: list[tuple[float, str]]) -> None:
        """Stop a process, start the next one, which early signals may end, and leave one that serves."""
        self.fleet.stop_node(node, series)
        self.fleet.launch(node)
        if early:
            time.sleep(early[0][0])
            assert node.process is not None
            if early[0][1] == "SIGHUP":
                node.process.send_signal(1)
            else:
                self.fleet.stop_node(node, [(0.0, early[0][1])])
                self.fleet.launch(node)
        if node.role == "route":
            stop_fleet.platform_site.wait_until(lambda: self.fleet.is_ready(node), stop_fleet.START_TIMEOUT_S)


def run(seed: int, grace_s: float, callers: int = 12, rounds: int = 3, busy: int = 0, tree=stop_fleet.ROOT):
    """Play one seed; return its verdict and the number of handles that were left."""
    with tempfile.TemporaryDirectory(prefix="mothshed-stops-") as folder, stop_fleet.BusyProcesses(busy):
        soak = Soak(pathlib.Path(folder), seed, grace_s, callers, tree)
        verdict = soak.run(rounds)
        return verdict, soak.fleet


def main() -> None:
    """Play the seeds one after the other; exit with 1 if a rule was broken."""
    parser = argparse.ArgumentParser(
        description="stops of routers and keepers under clients that keep their connections"
    )
    parser.add_argument("--seeds", default="1-5", help="first-last")
    parser.add_argument("--grace", type=float, default=8.0, help="seconds from a stop to the SIGKILL")
    parser.add_argument("--callers", type=int, default=12, help="clients of each router")
    parser.add_argument("--rounds", type=int, default=3)
    parser.add_argument("--busy", type=int, default=0, help="processes that keep a processor busy")
    parser.add_argument("--tree", type=pathlib.Path, default=stop_fleet.ROOT, help="the code to run")
    args = parser.parse_args()
    first, _, last = args.seeds.partition("-")
    failed = 0
    for seed in range(int(first), int(last or first) + 1):
        verdict, fleet = run(seed, args.grace, args.callers, args.rounds, args.busy, args.tree)
        print(f"seed {seed}: {len(fleet.stops)} stops, {dict(sorted(verdict.outcomes.items()))}", flush=True)
        for rule, rows in verdict.violations.items():
            print(f"    BROKEN {rule}: {len(rows)}", *rows[:3], sep="\n        ", flush=True)
        failed += bool(verdict.violations)
    print(f"{failed} seeds with a violation")
    sys.exit(1 if failed else 0)


if __name__ == "__main__":
    main()
