"""A whole fleet on one machine: processes, their places, and ways to hurt them.

Each machine of a deployment is a loopback address of its own; every machine runs
a router, those with disks also a keeper. The replicas, the list and the callers
are stand-ins. Only processes started here are ever signalled, by their id.
"""

import json
import os
import pathlib
import signal
import socket
import subprocess
import sys
import time

import urllib3

import mothshed.configuration.document as configuration
import mothshed.programs.operator_client as operator_client
import tools.deployments as deployments
import tools.relay as relay


def free_port(host):
    with socket.socket() as s:
        s.bind((host, 0))
        return s.getsockname()[1]


def document(deployment, **changes):
    d = deployments.DEPLOYMENTS[deployment]
    return {
        "model": d["model"],
        "kinds": configuration.EXAMPLE["kinds"],
        "tenants": {t: {"share": 1} for t in d["tenants"]},
        "pools": {
            "main": {"selector": {"app": d["model"]}, "least_prefill": 1, "least_decode": 1},
            deployments.PLAIN_SERVICE: deployments.PLAIN_POOL,
        },
        "pairings": [{"pool": "main", "policy": "prefix_affinity"}],
        **changes,
    }


class Fleet:
    def __init__(self, folder, deployment="patinetes", machines=None, replicas=None, lag=0.7, relays=False):
        self.folder = pathlib.Path(folder)
        self.folder.mkdir(parents=True, exist_ok=True)
        self.plan = {**deployments.DEPLOYMENTS[deployment]}
        self.deployment = deployment
        self.plan["machines"] = machines or self.plan["machines"]
        self.plan["replicas"] = replicas or self.plan["replicas"]
        self.procs, self.commands, self.settings = {}, {}, {}
        self.replica_at, self.lag = {}, lag
        self.relays = relay.Relays() if relays else None
        self.pool = urllib3.PoolManager(retries=False)

    def host(self, number):
        return f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number + 1}"

    def spot(self, number):
        host = self.host(number)
        return f"{host}:{free_port(host)}"

    def start(self):
        self.list_at = self.spot(0)
        self.launch("list", ["tools.stand_in_list", "--address", self.list_at, "--lag", str(self.lag)])
        self.wait_http(self.list_at, "/replicas")
        for at in range(self.plan["replicas"]):
            self.add_replica(f"replica-{at + 1}", at)
        self.add_replica(deployments.PLAIN_REPLICA, self.plan["replicas"], deployments.PLAIN_SERVICE, plain=True)
        zones, disks = self.plan["zones"], self.plan["disks"]
        seeds = [self.spot(10 + at) for at in range(disks)]
        for at in range(disks):
            self.add_keeper(f"keep-{at + 1}", seeds[at], zones[at % len(zones)], seeds)
        for at in range(self.plan["machines"]):
            self.add_router(f"route-{at + 1}", 10 + at, zones[at % len(zones)], seeds)

    def launch(self, name, command):
        self.commands[name] = command
        out = open(self.folder / f"{name}.out", "a")
        env = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.procs[name] = subprocess.Popen(
            [sys.executable, "-m", *command],
            stdout=out,
            stderr=out,
            env=env,
            stdin=subprocess.DEVNULL,
            cwd=pathlib.Path(__file__).parent.parent,
        )

    def relaunch(self, name):
        self.launch(name, self.commands[name])

    def add_replica(self, name, number, service=None, plain=False):
        at = self.spot(100 + number)
        self.replica_at[name] = at
        ledger = str(self.folder / f"{name}.ledger")
        self.launch(name, ["tools.stand_in_replica", "--name", name, "--address", at, "--ledger", ledger])
        zones = self.plan["zones"]
        self.set_listed(
            {
                "name": name,
                "address": at,
                "zone": zones[number % len(zones)],
                "service": service or self.plan["model"],
                "labels": {"app": service if plain else self.plan["model"]},
                "state": "ready",
            }
        )

    def set_listed(self, item):
        self.pool.request("POST", f"http://{self.list_at}/set", json=item)

    def add_daemon(self, program, name, address, cell, seeds, **more):
        host = address.rsplit(":", 1)[0]
        if self.relays:
            more = {**more, "listen": f"{host}:{free_port(host)}"}
            self.relays.add(name, address, more["listen"])
        settings = {
            "name": name,
            "address": address,
            "http": f"{host}:{free_port(host)}",
            "cell": cell,
            "seeds": seeds,
            "list_url": f"http://{self.list_at}/replicas",
            "ring": str(self.folder / f"{name}.ring"),
            "first_keepers": seeds,
            **more,
        }
        self.settings[name] = settings
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.launch(name, [program, "--settings", str(path)])

    def add_keeper(self, name, address, cell, seeds, **more):
        self.add_daemon(
            "tools.keep_on_bad_disk" if self.relays else "mothshed.programs.keep",
            name,
            address,
            cell,
            seeds,
            data=str(self.folder / f"{name}.data"),
            **more,
        )

    def add_router(self, name, number, cell, seeds):
        self.add_daemon("mothshed.programs.route", name, self.spot(number), cell, seeds)

    def keepers(self):
        return [s["http"] for n, s in self.settings.items() if n.startswith("keep")]

    def routers(self):
        """Map each zone to its routers' HTTP addresses, as the platform hands them out."""
        found = {}
        for name, s in self.settings.items():
            if name.startswith("route"):
                found.setdefault(s["cell"], []).append(s["http"])
        return found

    def wait_http(self, address, path, good=lambda said: True, most=20.0):
        until = time.monotonic() + most
        while time.monotonic() < until:
            try:
                response = self.pool.request("GET", f"http://{address}{path}", timeout=1.0)
                if response.status == 200 and good(response.json()):
                    return response.json()
            except (urllib3.exceptions.HTTPError, OSError, ValueError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{address}{path} did not become ready")

    def wait_serving(self, most=30.0):
        """Until every router serves and sees both roles among the replicas."""
        began = time.monotonic()
        for name, s in self.settings.items():
            if name.startswith("route"):
                self.wait_http(s["http"], "/condition", lambda c: len(c["replicas"]) >= 2, most)
        for at in (at for name, at in self.replica_at.items() if name != deployments.PLAIN_REPLICA):
            self.wait_http(at, "/condition", lambda c: c["role"] != "none", most)
        return time.monotonic() - began

    def apply(self, base, body, mark):
        return operator_client.apply_document(self.keepers(), base, body, "fleet", mark)

    def config(self, path="/configuration"):
        return operator_client.first_answer(self.keepers(), "GET", path)[1]

    def leader(self, part=0):
        """The name of the keeper that leads a part, as its members say."""
        for name, s in self.settings.items():
            if name.startswith("keep") and self.procs[name].poll() is None:
                try:
                    said = self.pool.request("GET", f"http://{s['http']}/condition", timeout=1.0).json()
                except (urllib3.exceptions.HTTPError, OSError, ValueError):
                    continue
                who = said["parts"][part]["leader"]
                if who:
                    return who.split("/")[0]
        return None

    def fault(self, replica, **body):
        try:
            self.pool.request("POST", f"http://{self.replica_at[replica]}/fault", json=body, timeout=2.0)
        except (urllib3.exceptions.HTTPError, OSError):
            pass  # a crash answers nothing

    def signal(self, name, number):
        proc = self.procs[name]
        if proc.poll() is None:
            proc.send_signal(number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.procs[name].wait(10)

    def ledger(self):
        rows = []
        for path in sorted(self.folder.glob("*.ledger")):
            for line in path.read_text().splitlines():
                try:
                    rows.append(json.loads(line))
                except ValueError:
                    pass  # the last line of a killed stand-in
        return sorted(rows, key=lambda r: r["at"])

    def shown_leaving(self):
        return self.pool.request("GET", f"http://{self.list_at}/shown").json()["leaving"]

    def disk(self, name, **faults):
        """Makes a keeper's disk do so from now on; nothing given: a plain disk again."""
        pathlib.Path(self.settings[name]["data"] + ".faults").write_text(json.dumps(faults))

    def stop(self):
        if self.relays:
            self.relays.stop()
        for proc in self.procs.values():
            if proc.poll() is None:
                proc.send_signal(signal.SIGCONT)
                proc.kill()
        for proc in self.procs.values():
            proc.wait(10)
