"""Keepers and routers as real processes of the platform, with stand-in replicas, for tests of stops.

Each replica records until when it worked on a request. The programs may come from another tree, so that two versions of
the code can be compared.
"""

import dataclasses
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import threading
import time
import typing

import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in
import tests.stop_replicas as stop_replicas
import tools.fleet as fleet

ROOT = pathlib.Path(__file__).parent.parent
HOST = "one.example"
START_TIMEOUT_S = 60.0


@dataclasses.dataclass
class Node:
    """One program on an address of its own, and its current process."""

    name: str
    role: str
    host: str
    settings: pathlib.Path
    log: pathlib.Path
    process: subprocess.Popen[bytes] | None = None
    log_text: str = ""  # all that was logged, once the fleet is closed


@dataclasses.dataclass
class Stop:
    """One process that was told to stop. Times are seconds of the steady clock."""

    node: str
    grace_s: float
    signals: list[tuple[str, float]]  # (name, when it was sent)
    ended_at: float
    code: int
    was_killed: bool  # at the end of its grace time

    @property
    def first_at(self) -> float:
        """When the first signal that asks for a stop was sent."""
        return next(at for name, at in self.signals if name != "SIGHUP")

    @property
    def has_sigterm(self) -> bool:
        """Whether the platform's signal was among those that were sent."""
        return any(name == "SIGTERM" for name, _at in self.signals)


class Fleet:
    """Keepers and routers as processes, two prefill replicas and three decode replicas."""

    def __init__(self, folder: pathlib.Path, keepers: int, routers: int, grace_s: float, tree: pathlib.Path) -> None:
        self.folder, self.grace_s, self.tree = folder, grace_s, tree
        self.platform = stand_in.Platform(page=50)
        self.replicas = [
            stop_replicas.Replica(self.platform, leg) for leg in ("prefill", "prefill", "decode", "decode", "decode")
        ]
        base = f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}"
        hosts = [f"{base}.{number + 1}" for number in range(keepers + routers)]
        self.port = fleet.free_port(hosts[0])
        self.gates = {name: fleet.free_port(hosts[0]) for name in ("signal_box", "counter", "readiness")}
        self.edition, seeds = 0, hosts[: min(3, keepers)]
        self.stops: list[Stop] = []
        self.keepers = [self.node(f"keep-{n + 1}", "keep", host, seeds) for n, host in enumerate(hosts[:keepers])]
        self.routers = [self.node(f"route-{n + 1}", "route", host, seeds) for n, host in enumerate(hosts[keepers:])]

    def node(self, name: str, role: str, host: str, seeds: list[str]) -> Node:
        """Write the settings of one program."""
        keeps = role == "keep"
        data = self.folder / f"data-{name}"
        if keeps:
            data.mkdir()
        gates = ("signal_box",) if keeps else ("counter", "readiness")
        settings = {
            "station": name,
            "own_ip": host,
            "zone": "a",
            "gates": {gate: f"{host}:{self.gates[gate]}" for gate in gates},
            "port_range": [self.port, self.port + 9],
            "seed_nodes": [f"{other}:{self.gates['signal_box']}" for other in seeds],
            "first_run": True,
            "data_path": str(data) if keeps else None,
            "withstand": {"machine_loss": 1},
            "guarantees": {"grace_s": self.grace_s, "retry_slack": 200, "edition_ms": 2000, "catch_up_s": 4},
            "provider": {"address": self.platform.address},
        }
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        return Node(name, role, host, path, self.folder / f"{name}.log")

    def start(self) -> None:
        """Start all programs, send the first configuration, and wait until every router is ready."""
        for node in (*self.keepers, *self.routers):
            self.launch(node)
        platform_site.wait_until(lambda: self.configure(START_TIMEOUT_S) == 200, START_TIMEOUT_S)
        for node in self.routers:
            platform_site.wait_until(lambda node=node: self.is_ready(node), START_TIMEOUT_S)
        for node in (*self.keepers, *self.routers):
            settings = json.loads(node.settings.read_text())
            node.settings.write_text(json.dumps({**settings, "first_run": False}))

    def launch(self, node: Node, log: int | None = None) -> None:
        """Start the process of one program. log: descriptor that it logs to instead of its file."""
        environ = {**os.environ, "MOTHSHED_SETTINGS": str(node.settings)}
        program = [sys.executable, str(self.tree / "platform" / "start.py"), node.role]
        with open(node.log, "ab") as file:
            output = file if log is None else log
            node.process = subprocess.Popen(
                program, env=environ, stdin=subprocess.DEVNULL, stdout=output, stderr=output
            )

    def configure(self, timeout_s: float = 5.0) -> int:
        """Send the next configuration to the keepers in turn; return the status of the last response, 0 without one."""
        route = platform_site.route("r-one", HOST, stop_replicas.SERVICE, deadline_ms=20000, tries=3, resumable=True)
        body = {
            "edition": self.edition + 1,
            "itineraries": [route],
            "depots": [platform_site.depot(stop_replicas.SERVICE)],
        }
        body["depots"][0]["engine"] = {**platform_site.ENGINE, "berths": 64}
        headers = [("Host", "k"), ("If-Match", str(self.edition)), ("Content-Type", "application/json")]
        status, until = 0, time.monotonic() + timeout_s
        while time.monotonic() < until and status != 200:
            for node in self.keepers:
                status = self.status(node, "signal_box", "PUT", "/configuration", json.dumps(body).encode(), headers)
                if status == 200:
                    break
            time.sleep(0.1)
        self.edition += status == 200
        return status

    def status(self, node: Node, gate: str, method: str, target: str, body: typing.Any = None, headers=()) -> int:
        """Return the status of one request, 0 after a failure."""
        try:
            return platform_site.ask(f"{node.host}:{self.gates[gate]}", method, target, body, headers).status
        except (OSError, http.client.HTTPException):
            return 0

    def is_ready(self, node: Node) -> bool:
        """Return whether a router says that it is ready."""
        return self.status(node, "readiness", "GET", "/ready") == 200

    def stop_node(self, node: Node, series: typing.Sequence[tuple[float, str]]) -> Stop:
        """Send signals, each at its time in seconds from now, and SIGKILL after the grace time; wait for the end.

        The grace time counts from the first SIGTERM or SIGINT.
        """
        process = node.process
        assert process is not None
        began_at, sent = time.monotonic(), []
        for at, name in series:
            time.sleep(max(0.0, began_at + at - time.monotonic()))
            if process.poll() is not None:
                break
            sent.append((name, time.monotonic()))
            process.send_signal(getattr(signal, name))
        first_at = next((at for name, at in sent if name != "SIGHUP"), began_at)
        was_killed = False
        try:
            process.wait(max(0.0, first_at + self.grace_s - time.monotonic()))
        except subprocess.TimeoutExpired:
            was_killed = True
            process.kill()
            process.wait()
        stop = Stop(node.name, self.grace_s, sent, time.monotonic(), process.returncode, was_killed)
        if any(name != "SIGHUP" for name, _at in sent):
            self.stops.append(stop)
        return stop

    def handles_left(self) -> int:
        """Return how many handles the replicas still hold."""
        return sum(len(replica.held) for replica in self.replicas)

    def close(self) -> None:
        """Kill the processes that still run, and stop the stand-ins."""
        for node in (*self.keepers, *self.routers):
            if node.process is not None and node.process.poll() is None:
                node.process.kill()
            if node.process is not None:
                node.process.wait()
            node.log_text = node.log.read_text() if node.log.exists() else ""
        for listener in (*self.replicas, self.platform):
            listener.stop()


class BusyProcesses:
    """Processes that keep processors busy for the duration of a with block."""

    def __init__(self, count: int) -> None:
        self.count, self.processes = count, []

    def __enter__(self) -> "BusyProcesses":
        program = [sys.executable, "-c", "while True: pass"]
        self.processes = [subprocess.Popen(program) for _ in range(self.count)]
        return self

    def __exit__(self, *_error: object) -> None:
        for process in self.processes:
            process.kill()
            process.wait()


def in_thread(call: typing.Callable[[], typing.Any]) -> threading.Thread:
    """Run a call in a thread of its own."""
    thread = threading.Thread(target=call, daemon=True)
    thread.start()
    return thread
