"""A real router that speaks as the platform does, over real sockets, for tests.

Its lease is one that always runs, so that each test may have a route and replicas of
its own at once; everything else is the product's. Callers use http.client.
"""

import dataclasses
import http.client
import pathlib
import sys
import threading
import time

import mothshed.configuration.document as configuration
import mothshed.data_plane.router as router_module
import mothshed.programs.environment as environment_module
import mothshed.runtime.timers as timers
import mothshed.transport.peers as peers
import tests.platform_stand_in as stand_in
import tools.fleet as fleet

FOLDER = pathlib.Path(__file__).parent.parent / "platform"
sys.path.append(str(FOLDER))

import operator_front  # noqa: E402 (found only through the folder added above)
import replica_protocol  # noqa: E402 (found only through the folder added above)

ENGINE = {
    "berths": 8,
    "cache_tokens": 400000,
    "cache_token_bytes": 1,
    "link_mbps": 1.0,
    "stride": 12,
    "consignment_s": 5.0,
    "changeover_s": 1.8,
    "models": [{"name": "m"}],
}
LIST_WAIT = 20.0  # s; longest wait for the router's reading of the list; none of the machine's pauses is as long
PROMPT = {"Model": "m", "Tokens": "3000,80", "Prompt-Prefix": "5c1e:2000,91bd:1000"}


def until(true, span=5.0):
    """Waits for what must come soon."""
    end = time.monotonic() + span
    while not true():
        assert time.monotonic() < end, "it never came"
        time.sleep(0.005)


def route(name, host, depot, **more):
    return {
        "name": name,
        "host": host,
        "prefix": "/p/",
        "kind": "stream",
        "deadline_ms": 4000,
        "target_ms": 1000,
        "urgency": 1,
        "depot": depot,
        "tries": 1,
        "pinned": True,
        "resumable": False,
        "headway_ms": 300,
        **more,
    }


def depot(name, engine=True):
    found = {"name": name, "health_path": "/health", "max_conns": 60, "transport": "h1", "tls": False}
    return {**found, "engine": ENGINE} if engine else found


def pieces(first=1, last=4, of=4):
    """The bytes of these events."""
    return b"".join(stand_in.event(n, of) for n in range(first, last + 1))


def asked(replicas):
    return sum(len(r.asked) for r in replicas)


def let(replicas, fault):
    """The first request that any of these gets meets the fault; the others go as they do."""
    for replica in replicas:

        def once(conn, request, own, take=replica.take):
            return take(conn, request, fault if asked(replicas) == 1 else own)

        replica.take = once


class Lease:
    """One that runs, over a document that tests change."""

    def __init__(self):
        self.said, self.number, self.form = {"itineraries": [], "depots": [depot("none")]}, 0, None

    def change(self, routes=(), depots=(), without=(), **more):
        rows = [r for r in self.said["itineraries"] if r["name"] not in without]
        self.said = {
            **self.said,
            "itineraries": rows + list(routes),
            "depots": self.said["depots"] + list(depots),
            **more,
        }
        document = operator_front.document_of(self.said)
        assert configuration.validation_errors(document) == []
        self.form = (self.number + 1, configuration.with_defaults(document))
        self.number += 1

    def sequence(self):
        return self.form and self.form[0]

    def current(self):
        return self.sequence(), self.document()

    def document(self):
        return self.form and self.form[1]


@dataclasses.dataclass
class Answer:
    status: int
    headers: object  # http.client.HTTPMessage
    body: bytes  # what came, whole or not
    complete: bool
    span: float


def environment():
    host = f"127.0.0.1:{fleet.free_port('127.0.0.1')}"
    return environment_module.Environment(timers.Timers(), peers.Peers(host), host)


def serve(server):
    """Serves until its stop(); returns ip:port."""
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def ask(address, method, target, body=None, headers=(), chunked=False):
    """One request on a connection of its own. headers: (name, value) rows."""
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=8)
    began = time.monotonic()
    try:
        conn.putrequest(method, target, skip_host=True, skip_accept_encoding=True)
        for name, value in headers:
            conn.putheader(name, value)
        if chunked:
            conn.putheader("Transfer-Encoding", "chunked")
        elif body is not None:
            conn.putheader("Content-Length", str(len(body)))
        conn.endheaders(body, encode_chunked=chunked)
        response = conn.getresponse()
        try:
            data, complete = response.read(), True
        except http.client.IncompleteRead as e:
            data, complete = e.partial, False
        return Answer(response.status, response.headers, data, complete, time.monotonic() - began)
    finally:
        conn.close()


class Site:
    def __init__(self):
        self.platform = stand_in.Platform()
        speech = replica_protocol.PlatformReplicaProtocol()
        self.environment, self.lease, self.count, self.made = environment(), Lease(), 0, []
        settings = {
            "name": "r",
            "address": self.environment.address,
            "http": "127.0.0.1:0",
            "cell": "a",
            "seeds": [self.environment.address],
            "list_url": f"http://{self.platform.address}",
            "slack": 1000,
        }
        self.router = router_module.Router(self.environment, settings, speech)
        self.router.lease = self.lease
        self.router.retry_budget.started_at -= 100  # old enough to use its part of the slack
        self.router.replicas.max_list_age = self.router.replicas.request_interval = 0.02  # nobody reads the list for it
        self.router.replicas.fresh_at = self.environment.now()  # and it does not wait for that first
        self.router.run()
        self.server = self.router.front()
        self.address = serve(self.server)

    def stop(self):
        """Stop everything: a router that went on would read the list of a platform that is gone."""
        self.environment.stop()
        self.server.stop()
        for listener in (*self.platform.replicas.values(), self.platform):
            listener.stop()
        self.environment.peers.stop()

    def service(self, legs, engine=True, facts=None, **more):
        """A new service and its route; legs: "pdd" for one reader and two writers. (host, replicas)."""
        self.count += 1
        name = f"s{self.count}"
        found = [
            stand_in.Replica(self.platform, name, {"p": "prefill", "d": "decode"}[leg], **(facts or {})) for leg in legs
        ]
        self.made.append(found)
        for old in self.made.pop(0) if len(self.made) > 3 else ():  # of a test that is over
            del self.platform.replicas[old.listed]
            old.stop()
        self.lease.change([route(f"r-{name}", f"{name}.example", name, **more)], [depot(name, engine)])
        until(lambda: all(r.name in self.router.replicas.rows for r in found), LIST_WAIT)
        return f"{name}.example", found

    def ask(self, host, target="/p/x", body=b"prompt", method="POST", headers=(), prompt=True, chunked=False):
        """Send a request; give its id and the answer."""
        own = f"t{next(stand_in.COUNT):08x}"
        rows = [("Host", host), ("Try-Id", own), ("Time-Left", "4000"), *(PROMPT.items() if prompt else ()), *headers]
        return own, ask(self.address, method, target, body, rows, chunked)
