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
LIST_LAG_S = 0.4  # s until the list shows that an address belongs to another instance


def expected_response(request_id, body):
    """Return the only correct response body for a request."""
    return hashlib.sha256(request_id.encode() + b"/" + body).hexdigest().encode()


class Replica(stand_in.Replica):
    """Responds with a body derived from the request and records the service that ran it.

    Its address may pass to another instance, of another service; the list shows this late.
    """

    def __init__(self, platform, depot):
        self.instances, self.previous_listing = {}, (0.0, "", "")
        super().__init__(platform, depot, "decode", events=0)
        self.instances[self.name] = depot

    def start_instance(self, name, depot):
        """Serve under another name from now on; the list shows this late."""
        self.previous_listing = (time.monotonic() + LIST_LAG_S, self.name, self.depot)
        self.instances[name] = depot
        self.depot, self.name = depot, name

    def row(self):
        """Return the entry of the list, which lags by LIST_LAG_S."""
        until, name, depot = self.previous_listing
        if time.monotonic() >= until:
            name, depot = self.name, self.instances[self.name]
        return {**super().row(), "replica_id": name, "depot": depot}

    def run(self, conn, request, fault, more):
        """Run one request and send its response, with the injected fault."""
        body = expected_response(request.get("Try-Id"), request.body)
        stamp = f"stamp.{next(stand_in.COUNT)}"
        service = self.instances[request.get("Expect-Replica", self.name)]
        self.platform.runs.append({"id": request.get("Try-Id"), "service": service})
        data = bare_http.response_bytes(200, [*more, ("Postmark", stamp)], body)
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
        self.control_address = f"127.0.0.2:{fleet.free_port('127.0.0.2')}"
        self.front_address = f"127.0.0.3:{fleet.free_port('127.0.0.3')}"
        common = {
            "zone": "a",
            "port_range": [port, port + 9],
            "seed_nodes": [f"127.0.0.2:{port}"],
            "provider": {"address": self.platform.address},
            "guarantees": {"retry_slack": 200, "grace_s": 8},
            "withstand": {"machine_loss": 0},
            "first_run": True,
        }
        keeper = {
            "own_ip": "127.0.0.2",
            "gates": {"signal_box": self.control_address},
            "data_path": str(folder / "keep"),
        }
        ready = f"127.0.0.3:{fleet.free_port('127.0.0.3')}"
        router = {"own_ip": "127.0.0.3", "gates": {"counter": self.front_address, "readiness": ready}}
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
        """Send the first configuration until it is accepted, and wait until the router uses it."""
        routes = [
            platform_site.route(f"r-{n}", f"{n}.example", n, kind="once_only", tries=3, deadline_ms=1500)
            for n in SERVICES
        ]
        document = {"edition": 1, "itineraries": routes, "depots": [platform_site.depot(n, False) for n in SERVICES]}
        data, headers = json.dumps(document).encode(), [("Host", "k"), ("If-Match", "0")]
        platform_site.wait_until(
            lambda: self.request_status(self.control_address, "PUT", "/configuration", data, headers) == 200, 20.0
        )
        own = [("Host", "one.example"), ("Try-Id", "first")]
        platform_site.wait_until(
            lambda: self.request_status(self.front_address, "POST", "/p/first", b"", own) == 200, 20.0
        )

    def request_status(self, address, method, target, body, headers):
        """Return the status of one request, 0 after a failure."""
        try:
            return platform_site.ask(address, method, target, body, headers).status
        except (OSError, http.client.HTTPException):
            time.sleep(0.1)
            return 0

    def stop(self):
        """Kill the started processes and stop the stand-ins."""
        for proc in self.procs:
            proc.send_signal(signal.SIGCONT)
            proc.kill()
            proc.wait()
        for listener in (*self.replicas, self.platform):
            listener.stop()
