"""The load model: hundreds of real routers and keepers in one process.

They are built as the programs build them, with a replica protocol of the model: gossip, lease, replica list,
placement, load, members and leader tasks are real. Sockets, threads and requests are modelled: the running requests
of a router are drawn at random in each interval and stored where the router keeps them. Replicas exist only as rows
of the list; no order is sent to one.
"""

import json

import mothshed.constants as constants
import mothshed.control_plane.keeper as keeper_module
import mothshed.data_plane.router as router_module
import tools.load_model.accounts as accounts_module
import tools.load_model.design as design
import tools.load_model.protocol as protocol
import tools.simulator.environment as environment_module
import tools.simulator.loop as loop_module

REDRAW_INTERVAL_S = 0.2  # interval of drawing the running requests


class ModelFleet:
    def __init__(self, seed, size, shared_regions=False):
        """shared_regions: place all keepers in the first region instead of one in each."""
        self.size, self.accounts = size, accounts_module.Accounts()
        self.loop = accounts_module.AccountingLoop(seed, self.accounts)
        self.net = accounts_module.AccountingNetwork(self.loop, self.accounts)
        self.pages, self.parse = design.list_pages(size), json.loads
        rows = design.rows(size)
        self.writers = [name for name, row in rows.items() if row["role"] == "decode"]
        self.readers = [name for name, row in rows.items() if row["role"] == "prefill"] or self.writers[:1]
        self.chance = design.seeded_random(seed, "running")
        self.parts, self.addresses, self.disks, self.applied = {}, {}, {}, 0
        self.drawing = False
        self.seeds = [f"10.1.0.{at + 1}:70" for at in range(3)]
        for at in range(3):
            self.add_keeper(f"keep-{at + 1}", 0 if shared_regions else at, self.seeds[at])
        for at in range(size.routers):
            self.add_router(f"route-{at + 1}", at)

    def environment(self, machine, address, label=""):
        self.net.machines[address] = machine
        environment = environment_module.SimEnvironment(self.loop, self.net, machine, address, label)
        environment.web = accounts_module.ListClient(self, machine)
        return environment

    def settings(self, name, at, address):
        self.addresses[name], self.net.places[name] = address, design.zone_name(at)
        self.net.handlers[address] = {}
        return {
            "name": name,
            "address": address,
            "http": address.replace(":70", ":80"),
            "cell": design.zone_name(at),
            "seeds": list(self.seeds),
            "first_keepers": list(self.seeds),
            "list_url": "http://10.0.0.2:80",
        }

    def add_keeper(self, name, at, address):
        machine = loop_module.Machine(self.loop, name)
        settings, label = self.settings(name, at, address), iter(range(10**6))
        self.disks[name] = environment_module.SimDisk(self.loop, machine)
        keeper = keeper_module.Keeper(
            self.environment(machine, address, next(label)),
            settings,
            lambda: self.environment(machine, address, next(label)),
            self.disks[name],
            lambda count: f"{self.loop.random.getrandbits(8 * count):x}",
            protocol.ModelProtocol(),
        )
        keeper.run()
        self.parts[name] = keeper

    def add_router(self, name, at):
        machine = loop_module.Machine(self.loop, name)
        address = f"10.2.{at // 200}.{at % 200 + 1}:70"
        router = router_module.Router(
            self.environment(machine, address), self.settings(name, at, address), protocol.ModelProtocol()
        )
        router.run()
        self.parts[name] = router

    def begin_requests(self):
        for router in self.routers():
            self.draw(router)

    def draw(self, router):
        """Set the running requests of this router to a random draw for the fleet's size."""
        router.replicas.own_requests = design.draw_running(self.size, self.chance, self.readers, self.writers)
        for name in list(router.placement.backlog):
            router.placement.backlog[name] = [0] * constants.PREFILL_RANK_COUNT
        for name in self.readers:
            if name in router.replicas.own_requests:
                router.placement.backlog[name] = [
                    4000 * router.replicas.own_requests[name],
                    *[0] * (constants.PREFILL_RANK_COUNT - 1),
                ]
        self.loop.at(REDRAW_INTERVAL_S, None, lambda: self.draw(router))

    def routers(self):
        return [process for name, process in self.parts.items() if name.startswith("route")]

    def keepers(self):
        return [process for name, process in self.parts.items() if name.startswith("keep")]

    def leader(self, part=0):
        return next((keeper for keeper in self.keepers() if keeper.members[part].is_leader), None)

    def run(self, duration_s):
        self.loop.run(self.loop.time + duration_s)

    def apply(self, done=lambda result: None):
        """Propose a new document to the leader of the configuration."""
        self.applied += 1
        machine = self.leader().members[0].machine
        self.leader().members[0].propose(
            {
                "op": "stage",
                "base": machine.latest,
                "by": "capacity",
                "id": f"change-{self.applied}",
                "doc": design.document(self.size, self.applied),
            },
            done,
        )

    def in_force(self, sequence):
        """Return how many routers hold a lease for this sequence or a later one."""
        return sum((router.lease.sequence() or 0) >= sequence for router in self.routers())

    def ready(self, timeout_s=30.0):
        """Run until every router serves under the first document and has the replica list."""
        deadline, proposed = self.loop.time + timeout_s, False
        while self.loop.time < deadline:
            self.run(0.25)
            if self.leader() and not proposed and self.leader().members[0].ready:
                self.apply()
                proposed = True
            if (
                proposed
                and self.in_force(1) == len(self.routers())
                and all(router.ready() for router in self.routers())
            ):
                self.run(2.0)  # gossip views settle and part leaders are found
                return self
        raise RuntimeError("the modelled fleet did not become ready")

    def measure(self, duration_s):
        """Return the accounts of the next duration_s simulated seconds only."""
        if self.size.requests and not self.drawing:
            self.drawing = True
            self.begin_requests()
            self.run(0.6)  # the first load reports have arrived
        self.accounts.clear()
        self.run(duration_s)
        return self.accounts
