"""A keeper and a router as real processes among stand-in replicas of two services, for soaks."""

import hashlib
import http.client
import json
import os
import pathlib
import signal
import subprocess
import sys
import time

import tests.bare_http as bare_http
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in
import tools.fleet as fleet

START = pathlib.Path(__file__).parent.parent / "platform" / "start.py"
SERVICES = ("one", "two")
LIST_LAG = 0.4  # s; until the list shows that an address has gone to another life


def answer_to(ask_id, body):
    """The one right body of a request's answer."""
    return hashlib.sha256(ask_id.encode() + b"/" + body).hexdigest().encode()


class Replica(stand_in.Replica):
    """Answers with what follows from the request, and keeps an account of its service.

    Its address may go to another life, of another service, which the list shows later.
    """

    def __init__(self, platform, depot):
        self.lives, self.shown = {}, (0.0, "", "")
        super().__init__(platform, depot, "decode", events=0)
        self.lives[self.name] = depot

    def begin_life(self, name, depot):
        """Serve under another name from now on; the list shows it late."""
        self.shown = (time.monotonic() + LIST_LAG, self.name, self.depot)
        self.lives[name] = depot
        self.depot, self.name = depot, name

    def row(self):
        """Give the list's entry, as old as the list lags."""
        until, name, depot = self.shown
        if time.monotonic() >= until:
            name, depot = self.name, self.lives[self.name]
        return {**super().row(), "replica_id": name, "depot": depot}

    def run(self, conn, request, fault, more):
        """Run one request and answer it, as the fault says."""
        whole = answer_to(request.get("Try-Id"), request.body)
        stamp = f"stamp.{next(stand_in.COUNT)}"
        service = self.lives[request.get("Expect-Replica", self.name)]
        self.platform.runs.append({"id": request.get("Try-Id"), "service": service})
        data = bare_http.response_bytes(200, [*more, ("Postmark", stamp)], whole)
        conn.sendall(data[: len(data) - 2] if "break" in fault else data)
        if "late" in fault:
            conn.sendall(data)
        if "stale" in fault:
            self.stale[request.conn] = data
        return "break" not in fault


class System:
    """A keeper and a router as processes of their own, and the stand-in platform with six replicas."""

    def __init__(self, folder):
        self.platform = stand_in.Platform()
        self.replicas = [Replica(self.platform, SERVICES[n % 2]) for n in range(6)]
        port, self.procs = fleet.free_port("127.0.0.1"), []
        self.control = f"127.0.0.2:{fleet.free_port('127.0.0.2')}"
        self.door = f"127.0.0.3:{fleet.free_port('127.0.0.3')}"
        common = {
            "zone": "a",
            "port_range": [port, port + 9],
            "seed_nodes": [f"127.0.0.2:{port}"],
            "provider": {"address": self.platform.address},
            "guarantees": {"retry_slack": 200, "grace_s": 8},
            "withstand": {"machine_loss": 0},
            "first_run": True,
        }
        keeper = {"own_ip": "127.0.0.2", "gates": {"signal_box": self.control}, "data_path": str(folder / "keep")}
        ready = f"127.0.0.3:{fleet.free_port('127.0.0.3')}"
        router = {"own_ip": "127.0.0.3", "gates": {"counter": self.door, "readiness": ready}}
        (folder / "keep").mkdir()
        self.keeper = self.start(folder, "keep", {**common, **keeper, "station": "keep-1"})
        self.router = self.start(folder, "route", {**common, **router, "station": "route-1"})

    def start(self, folder, program, settings):
        """Start one program on its settings file."""
        path = folder / f"{program}.json"
        path.write_text(json.dumps(settings))
        environ = {**os.environ, "MOTHSHED_SETTINGS": str(path)}
        with open(folder / f"{program}.log", "wb") as log:
            self.procs.append(subprocess.Popen([sys.executable, START, program], env=environ, stdout=log, stderr=log))
        return self.procs[-1]

    def configure(self):
        """The first configuration, sent until it is taken; then until the router serves by it."""
        routes = [
            platform_site.route(f"r-{n}", f"{n}.example", n, kind="once_only", tries=3, deadline_ms=1500)
            for n in SERVICES
        ]
        said = {"edition": 1, "itineraries": routes, "depots": [platform_site.depot(n, False) for n in SERVICES]}
        data, headers = json.dumps(said).encode(), [("Host", "k"), ("If-Match", "0")]
        platform_site.until(lambda: self.answers(self.control, "PUT", "/configuration", data, headers) == 200, 20.0)
        own = [("Host", "one.example"), ("Try-Id", "first")]
        platform_site.until(lambda: self.answers(self.door, "POST", "/p/first", b"", own) == 200, 20.0)

    def answers(self, address, method, target, body, headers):
        """Give the status of one call, 0 after a failure."""
        try:
            return platform_site.ask(address, method, target, body, headers).status
        except (OSError, http.client.HTTPException):
            time.sleep(0.1)
            return 0

    def stop(self):
        """End the processes that were started here."""
        for proc in self.procs:
            proc.send_signal(signal.SIGCONT)
            proc.kill()
            proc.wait()
        for listener in (*self.replicas, self.platform):
            listener.stop()
