"""Runs a whole fleet as processes on one machine and injects faults into it.

Each machine of a deployment has a loopback address of its own. Every machine runs
a router; machines with disks also run a keeper. The replicas, the platform list and
the callers are stand-ins. Only processes started here are signalled, by their id.
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
    with socket.socket() as probe:
        probe.bind((host, 0))
        return probe.getsockname()[1]


def document(deployment, **changes):
    plan = deployments.DEPLOYMENTS[deployment]
    return {
        "model": plan["model"],
        "kinds": configuration.EXAMPLE["kinds"],
        "tenants": {tenant: {"share": 1} for tenant in plan["tenants"]},
        "pools": {
            "main": {"selector": {"app": plan["model"]}, "least_prefill": 1, "least_decode": 1},
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
        self.processes, self.commands, self.settings = {}, {}, {}
        self.replica_addresses, self.lag = {}, lag
        self.relays = relay.Relays() if relays else None
        self.pool = urllib3.PoolManager(retries=False)

    def host(self, number):
        return f"127.{20 + os.getpid() % 200}.{os.getpid() // 200 % 250}.{number + 1}"

    def free_address(self, number):
        host = self.host(number)
        return f"{host}:{free_port(host)}"

    def start(self):
        self.list_address = self.free_address(0)
        self.launch("list", ["tools.stand_in_list", "--address", self.list_address, "--lag", str(self.lag)])
        self.wait_http(self.list_address, "/replicas")
        for number in range(self.plan["replicas"]):
            self.add_replica(f"replica-{number + 1}", number)
        self.add_replica(deployments.PLAIN_REPLICA, self.plan["replicas"], deployments.PLAIN_SERVICE, plain=True)
        zones, disks = self.plan["zones"], self.plan["disks"]
        seeds = [self.free_address(10 + number) for number in range(disks)]
        for number in range(disks):
            self.add_keeper(f"keep-{number + 1}", seeds[number], zones[number % len(zones)], seeds)
        for number in range(self.plan["machines"]):
            self.add_router(f"route-{number + 1}", 10 + number, zones[number % len(zones)], seeds)

    def launch(self, name, command):
        self.commands[name] = command
        output = open(self.folder / f"{name}.out", "a")
        env = {**os.environ, "PYTHONUNBUFFERED": "1"}
        self.processes[name] = subprocess.Popen(
            [sys.executable, "-m", *command],
            stdout=output,
            stderr=output,
            env=env,
            stdin=subprocess.DEVNULL,
            cwd=pathlib.Path(__file__).parent.parent,
        )

    def relaunch(self, name):
        self.launch(name, self.commands[name])

    def add_replica(self, name, number, service=None, plain=False):
        address = self.free_address(100 + number)
        self.replica_addresses[name] = address
        ledger = str(self.folder / f"{name}.ledger")
        self.launch(name, ["tools.stand_in_replica", "--name", name, "--address", address, "--ledger", ledger])
        zones = self.plan["zones"]
        self.set_listed(
            {
                "name": name,
                "address": address,
                "zone": zones[number % len(zones)],
                "service": service or self.plan["model"],
                "labels": {"app": service if plain else self.plan["model"]},
                "state": "ready",
            }
        )

    def set_listed(self, item):
        self.pool.request("POST", f"http://{self.list_address}/set", json=item)

    def add_daemon(self, program, name, address, zone, seeds, **extra):
        host = address.rsplit(":", 1)[0]
        if self.relays:
            extra = {**extra, "listen": f"{host}:{free_port(host)}"}
            self.relays.add(name, address, extra["listen"])
        settings = {
            "name": name,
            "address": address,
            "http": f"{host}:{free_port(host)}",
            "cell": zone,
            "seeds": seeds,
            "list_url": f"http://{self.list_address}/replicas",
            "ring": str(self.folder / f"{name}.ring"),
            "first_keepers": seeds,
            **extra,
        }
        self.settings[name] = settings
        path = self.folder / f"{name}.json"
        path.write_text(json.dumps(settings))
        self.launch(name, [program, "--settings", str(path)])

    def add_keeper(self, name, address, zone, seeds, **extra):
        self.add_daemon(
            "tools.keep_on_bad_disk" if self.relays else "mothshed.programs.keep",
            name,
            address,
            zone,
            seeds,
            data=str(self.folder / f"{name}.data"),
            **extra,
        )

    def add_router(self, name, number, zone, seeds):
        self.add_daemon("mothshed.programs.route", name, self.free_address(number), zone, seeds)

    def keepers(self):
        return [settings["http"] for name, settings in self.settings.items() if name.startswith("keep")]

    def routers(self):
        """Map each zone to its routers' HTTP addresses, as the platform distributes them."""
        routers_by_zone = {}
        for name, settings in self.settings.items():
            if name.startswith("route"):
                routers_by_zone.setdefault(settings["cell"], []).append(settings["http"])
        return routers_by_zone

    def wait_http(self, address, path, is_ready=lambda response: True, timeout=20.0):
        deadline = time.monotonic() + timeout
        while time.monotonic() < deadline:
            try:
                response = self.pool.request("GET", f"http://{address}{path}", timeout=1.0)
                if response.status == 200 and is_ready(response.json()):
                    return response.json()
            except (urllib3.exceptions.HTTPError, OSError, ValueError):
                pass
            time.sleep(0.05)
        raise TimeoutError(f"{address}{path} did not become ready")

    def wait_serving(self, timeout=30.0):
        """Wait until every router serves and both replica roles are assigned; return the seconds it took."""
        started = time.monotonic()
        for name, settings in self.settings.items():
            if name.startswith("route"):
                self.wait_http(
                    settings["http"], "/condition", lambda condition: len(condition["replicas"]) >= 2, timeout
                )
        for address in (
            address for name, address in self.replica_addresses.items() if name != deployments.PLAIN_REPLICA
        ):
            self.wait_http(address, "/condition", lambda condition: condition["role"] != "none", timeout)
        return time.monotonic() - started

    def apply(self, base, body, request_id):
        return operator_client.apply_document(self.keepers(), base, body, "fleet", request_id)

    def config(self, path="/configuration"):
        return operator_client.first_answer(self.keepers(), "GET", path)[1]

    def leader(self, part=0):
        """Return the name of the keeper that leads a part, as its members report it."""
        for name, settings in self.settings.items():
            if name.startswith("keep") and self.processes[name].poll() is None:
                try:
                    condition = self.pool.request("GET", f"http://{settings['http']}/condition", timeout=1.0).json()
                except (urllib3.exceptions.HTTPError, OSError, ValueError):
                    continue
                leader_id = condition["parts"][part]["leader"]
                if leader_id:
                    return leader_id.split("/")[0]
        return None

    def set_replica_fault(self, replica, **body):
        try:
            self.pool.request("POST", f"http://{self.replica_addresses[replica]}/fault", json=body, timeout=2.0)
        except (urllib3.exceptions.HTTPError, OSError):
            pass  # a crashing replica sends no response

    def signal(self, name, signal_number):
        process = self.processes[name]
        if process.poll() is None:
            process.send_signal(signal_number)

    def kill(self, name):
        self.signal(name, signal.SIGKILL)
        self.processes[name].wait(10)

    def ledger(self):
        rows = []
        for path in sorted(self.folder.glob("*.ledger")):
            for line in path.read_text().splitlines():
                try:
                    rows.append(json.loads(line))
                except ValueError:
                    pass  # the last line may be cut short when the process is killed
        return sorted(rows, key=lambda row: row["at"])

    def shown_leaving(self):
        return self.pool.request("GET", f"http://{self.list_address}/shown").json()["leaving"]

    def set_disk_faults(self, name, **faults):
        """Set the faults of a keeper's disk from now on; without arguments the disk works normally again."""
        pathlib.Path(self.settings[name]["data"] + ".faults").write_text(json.dumps(faults))

    def stop(self):
        if self.relays:
            self.relays.stop()
        for process in self.processes.values():
            if process.poll() is None:
                process.send_signal(signal.SIGCONT)
                process.kill()
        for process in self.processes.values():
            process.wait(10)
