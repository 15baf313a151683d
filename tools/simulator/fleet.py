"""A simulated fleet: the product's keepers, routers and fronts, with stand-ins for replicas and the platform.

Machines are named; `kill`, `start`, `wipe` and the network's cuts take these names. Callers, the platform's list
and operators run on separate machines without faults. All that the judge reads is recorded here.
"""

import random

import mothshed.control_plane.keeper as keeper_module
import mothshed.control_plane.operator_api as operator_api
import mothshed.data_plane.router as router_module
import mothshed.data_plane.router_front as router_front
import mothshed.runtime.log_buffer as log_buffer
import tools.callers as callers
import tools.deployments as deployments
import tools.replica_memory as replica_memory
import tools.simulator.environment as environment_module
import tools.simulator.loop as loop_module
import tools.simulator.network as network
import tools.simulator.operator_client as operator_client
import tools.stand_in_list as stand_in_list
import tools.stand_in_replica as stand_in_replica


class SimFleet:
    def __init__(self, seed, deployment="patinetes", routers=3, keepers=3, replicas=4, lag=0.7, losses=1):
        self.loop = loop_module.Loop(seed)
        self.net = network.Network(self.loop)
        self.random = random.Random(f"{seed}/faults")
        self.plan, self.deployment, self.seed = deployments.DEPLOYMENTS[deployment], deployment, seed
        self.machines, self.disks, self.processes, self.settings = {}, {}, {}, {}
        self.ledger, self.rows, self.writes, self.refused, self.unknown = [], [], [], [], []
        self.router_deaths = []
        self.id_suffix = ""  # distinguishes the writes when a scenario is run again
        self.excluded_replicas = []  # replicas that only the scenario's own faults may remove
        self.pool_samples = []  # (time, whether the pool had both roles)
        self.memory_may_expire = False  # whether exported memory may expire without a release
        self.outside = self.machine("outside")
        self.ops = self.environment(self.outside, "10.0.0.1:1")
        self.operator_client = operator_client.OperatorClient(self, self.ops)
        self.list = stand_in_list.PlatformList(lag, lambda: self.loop.time)
        self.net.apps["10.0.0.2:80"] = (self.machine("list"), self.list)
        self.losses = losses
        addresses = [f"10.1.0.{index + 1}:70" for index in range(keepers)]
        self.seeds = addresses[:3]  # a process gets three seeds at most
        for index in range(replicas):
            self.add_replica(f"replica-{index + 1}", index)
        if replicas:
            self.add_replica(deployments.PLAIN_REPLICA, replicas, deployments.PLAIN_SERVICE, plain=True)
        for index in range(keepers):
            self.add_keeper(f"keep-{index + 1}", index, addresses[index])
        for index in range(routers):
            self.add_router(f"route-{index + 1}", index)

    def machine(self, name):
        self.machines[name] = loop_module.Machine(self.loop, name)
        return self.machines[name]

    def environment(self, machine, address, label=""):
        self.net.machines[address] = machine
        return environment_module.SimEnvironment(self.loop, self.net, machine, address, label)

    def zone_of(self, index):
        return self.plan["zones"][index % len(self.plan["zones"])]

    def add_replica(self, name, index, service=None, plain=False):
        machine = self.machine(name)
        self.settings[name] = {"http": f"10.3.0.{index + 1}:80"}
        self.list.change(
            name,
            {
                "name": name,
                "address": f"10.3.0.{index + 1}:80",
                "zone": self.zone_of(index),
                "service": service or self.plan["model"],
                "labels": {"app": service if plain else self.plan["model"]},
                "state": "ready",
            },
        )
        self.start_replica(name, machine)

    def ledger_of(self, name):
        """Return a ledger for this replica; all write to one list, which survives their crashes."""
        return replica_memory.Ledger(None, name, lambda: self.loop.time, self.ledger)

    def start_replica(self, name, machine):
        at = self.settings[name]["http"]
        environment = self.environment(machine, at)
        memory = replica_memory.Memory(environment, name, ledger=self.ledger_of(name))
        memory.fault = environment_module.ReplicaFaults(machine)
        self.processes[name] = memory
        self.net.apps[at] = (machine, stand_in_replica.Replica(memory, at, lambda: self.kill(name)))

    def define_settings(self, name, address, index, **more):
        host = address.rsplit(":", 1)[0]
        self.settings[name] = {
            "name": name,
            "address": address,
            "http": f"{host}:80",
            "cell": self.zone_of(index),
            "seeds": list(self.seeds),
            "first_keepers": list(self.seeds),
            "list_url": "http://10.0.0.2:80/replicas",
            "losses": self.losses,
            **more,
        }

    def add_keeper(self, name, index, address):
        self.disks[name] = environment_module.SimDisk(self.loop, self.machine(name))
        self.define_settings(name, address, index)
        self.start_keeper(name)

    def start_keeper(self, name):
        machine, settings, disk = self.machines[name], self.settings[name], self.disks[name]
        self.net.handlers[settings["address"]] = {}
        label = [0]

        def make():
            label[0] += 1
            return self.environment(machine, settings["address"], label[0])

        def token_hex(length):
            return f"{self.loop.random.getrandbits(8 * length):x}"

        keeper = keeper_module.Keeper(make(), settings, make, disk, token_hex)
        keeper.run()
        self.processes[name] = keeper
        self.net.apps[settings["http"]] = (machine, operator_api.OperatorApi(keeper))

    def add_router(self, name, index):
        self.machine(name)
        self.define_settings(name, f"10.2.{index // 200}.{index % 200 + 1}:70", index)
        self.start_router(name)

    def start_router(self, name):
        machine, settings = self.machines[name], self.settings[name]
        self.net.handlers[settings["address"]] = {}
        router = router_module.Router(self.environment(machine, settings["address"]), settings)
        router.run()
        self.processes[name] = router
        self.net.apps[settings["http"]] = (machine, router_front.CompletionsFront(router))

    # --- faults and restarts of machines ---
    def kill(self, name, planned=False):
        machine = self.machines[name]
        if machine.alive:
            machine.kill(planned)
            if name in self.disks:
                self.disks[name].crash()
            elif name.startswith("route"):
                # one neighbour backs up its pending releases; if both die, memory may expire unreleased
                self.memory_may_expire = self.memory_may_expire or any(
                    self.loop.time - at < 15 for at in self.router_deaths
                )
                self.router_deaths.append(self.loop.time)
            else:
                self.ledger_of(name).add("gone")

    def start(self, name):
        machine = self.machines[name]
        if machine.alive:
            return
        machine.revive()
        if name in self.disks:
            self.start_keeper(name)
        elif name.startswith("route"):
            self.start_router(name)
        else:
            self.start_replica(name, machine)

    def move(self, name, address):
        """Give a stopped machine a new address."""
        old = self.settings[name]
        self.net.apps.pop(old["http"], None)
        self.net.machines.pop(old["address"], None)
        host = address.rsplit(":", 1)[0]
        self.settings[name] = {**old, "address": address, "http": f"{host}:80"}

    def set_rate(self, name, rate):
        """Run the machine's clock at this rate from now on; 1.0 is true time."""
        self.machines[name].set_rate(rate)

    def wipe(self, name):
        self.disks[name].wipe()

    def call_later(self, delay, call):
        self.loop.at(delay, None, call)

    def names(self, stem):
        return [n for n in self.machines if n.startswith(stem)]

    def leader(self, part=0):
        for name in self.names("keep"):
            if self.machines[name].alive and self.processes[name].members[part].is_leader:
                return name
        return None

    def run(self, span):
        self.loop.run(self.loop.time + span)

    # --- callers and operators ---
    def http(self, stem):
        return [s["http"] for n, s in self.settings.items() if n.startswith(stem)]

    def operator(self, call):
        self.loop.spawn(self.outside, call)

    def ask(self, method, path, body=None, attempts=8):
        """Send an operator's request to the keepers, with retries until one answers."""
        return self.operator_client.ask(method, path, body, attempts)

    def apply(self, order_id, base=None, body=None, attempts=8):
        """Write a configuration document; the outcome is recorded for the judge."""
        self.operator_client.apply(order_id, base, body, attempts)

    def ready(self, timeout_s=20.0, body=None):
        """Run until the first document is active and every replica has a role."""
        self.operator(lambda: self.apply("first", 0, body, attempts=30))
        until = self.loop.time + timeout_s
        while self.loop.time < until:
            self.run(0.25)
            routers = [self.processes[n] for n in self.names("route")]
            roles = [self.processes[n].role for n in self.names("replica")]
            if all(r.lease.sequence() for r in routers) and (not routers or "none" not in roles):
                if not routers and self.writes:
                    return
                if routers and all(len(r.replicas.usable({}, "decode")) > 0 for r in routers):
                    return
        raise RuntimeError("the fleet was not ready in time")

    def load(self, rate, seconds, seed=None, kinds=callers.KINDS, tenants=None):
        routers = {}
        for name in self.names("route"):
            routers.setdefault(self.settings[name]["cell"], []).append(self.settings[name]["http"])
        calls = callers.traffic(seed or self.seed, tenants or self.plan["tenants"], rate, seconds, kinds)
        load = callers.Load(self.ops, seed or self.seed, routers, self.plan["model"], calls)
        load.rows = self.rows
        self.operator(load.run)
        return load


log_buffer.start("simulator", "/dev/null")
