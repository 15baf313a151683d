"""A keeper and a router on the platform in one process, over real sockets, for tests of the operator's API."""

import json

import pytest

import mothshed.control_plane.keeper as keeper_module
import mothshed.data_plane.router as router_module
import mothshed.storage.disk as disk
import tests.bare_http as bare_http
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in


class Nodes:
    """One keeper, one router with a lease from it, and one replica."""

    def __init__(self, folder):
        self.platform = stand_in.Platform()
        self.replica = stand_in.Replica(self.platform, "one", "decode", events=0)
        environment, made = platform_site.environment(), []
        place, list_url = environment.address, f"http://{self.platform.address}"

        def new_environment():
            made.append(platform_site.environment_module.Environment(environment.timers, environment.peers, place))
            return made[-1]

        replica_protocol = platform_site.replica_protocol.PlatformReplicaProtocol()
        replica_protocol.list_beat = 0.1
        settings = {
            "name": "k",
            "address": place,
            "http": platform_site.free_address(),
            "cell": "a",
            "seeds": [place],
            "first_keepers": [place],
            "list_url": list_url,
            "data": str(folder),
        }
        self.keeper = keeper_module.Keeper(
            environment, settings, new_environment, disk.Disk(folder), replica_protocol=replica_protocol
        )
        self.keeper.run()
        self.keeper_server = self.keeper.front(platform_site.operator_front.OperatorFront)
        self.address = platform_site.serve(self.keeper_server)
        other = platform_site.environment()
        self.router = router_module.Router(
            other,
            {
                "name": "r",
                "address": other.address,
                "http": f"{bare_http.OWN_HOST}:0",
                "cell": "a",
                "seeds": [place],
                "list_url": list_url,
            },
            replica_protocol,
        )
        self.router.run()
        self.router_server = self.router.front()
        self.counter = platform_site.serve(self.router_server)
        self.environments, self.part_environments = [environment, other], made
        platform_site.wait_until(lambda: self.get()[0] == 200, 8.0)

    def stop(self):
        """Stop everything; a running keeper or router would keep polling the list of the stopped platform."""
        for environment in (*self.environments, *self.part_environments):
            environment.stop()
        for task in self.keeper.leader_tasks:  # the list's has a thread of its own
            task.stop()
        for server in (self.keeper_server, self.router_server):
            server.stop()
        for listener in (self.replica, self.platform, *(d.peers for d in self.environments)):
            listener.stop()

    def get(self):
        answer = platform_site.ask(self.address, "GET", "/configuration", None, [("Host", "k")])
        return answer.status, json.loads(answer.body)

    def latest(self):
        return self.get()[1].get("edition", 0)

    def put(self, body, base):
        data = body if isinstance(body, bytes) else json.dumps(body).encode()
        for _attempt in range(3):  # operators repeat a request unchanged if its outcome is unknown
            answer = platform_site.ask(
                self.address,
                "PUT",
                "/configuration",
                data,
                [("Host", "k"), ("If-Match", str(base)), ("Content-Type", "application/json")],
            )
            if answer.status not in (503, 504):
                break
        return answer

    def call(self, host, target="/p/x"):
        return platform_site.ask(
            self.counter, "POST", target, b"b", [("Host", host), ("Try-Id", f"t{next(stand_in.COUNT)}")]
        )


def document(edition, *routes, **more):
    rows = routes or [platform_site.route("r-one", "one.example", "one", kind="once_only")]
    return {
        "edition": edition,
        "itineraries": list(rows),
        "depots": [platform_site.depot("one")],
        "caps": {"head_bytes": 16384, "parcel_bytes": 4194304, "head_ms": 3000, "quiet_ms": 15000},
        **more,
    }


@pytest.fixture(scope="module")
def nodes(tmp_path_factory):
    found = Nodes(tmp_path_factory.mktemp("data"))
    yield found
    found.stop()


@pytest.fixture
def base(nodes):
    """Return the edition in force; put a first one if there is none."""
    if not nodes.latest():
        assert nodes.put(document(3), 0).status == 200
    return nodes.latest()
