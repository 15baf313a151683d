"""A router with the platform's protocol over real sockets, for tests.

Only its lease is a fake that never expires, so that each test can add a route and replicas of its own without delay.
Callers use http.client.
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
import mothshed.runtime.stop_schedule as stop_schedule
import mothshed.runtime.timers as timers
import mothshed.transport.peers as peers
import tests.bare_http as bare_http
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
LIST_TIMEOUT_S = 20.0  # limit for the router's reading of the list; longer than any scheduling pause of the machine
PROMPT = {"Model": "m", "Tokens": "3000,80", "Prompt-Prefix": "5c1e:2000,91bd:1000"}


def wait_until(condition, timeout_s=5.0):
    """Wait until condition() is true; fail after timeout_s."""
    end = time.monotonic() + timeout_s
    while not condition():
        assert time.monotonic() < end, "timed out waiting for the condition"
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


def event_bytes(first=1, last=4, of=4):
    """Return the bytes of a range of events."""
    return b"".join(stand_in.event(n, of) for n in range(first, last + 1))


def drain(router, duration_s):
    """Stop a router that takes no more requests; return whether all its work ended within the duration."""
    return router.drain(stop_schedule.for_drain_time(duration_s), router.environment.now())


def request_count(replicas):
    return sum(len(r.requests) for r in replicas)


def inject_fault_once(replicas, fault):
    """Apply the fault to the first request that any of these replicas receives; later requests are unaffected."""
    for replica in replicas:

        def take_faulty_once(conn, request, usual_fault, take=replica.take):
            return take(conn, request, fault if request_count(replicas) == 1 else usual_fault)

        replica.take = take_faulty_once


class Lease:
    """A lease that never expires, on a document that tests change."""

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
    body: bytes  # received bytes, complete or not
    complete: bool
    duration_s: float


def free_address():
    """Return an address at which nothing listens and no other test process will."""
    return f"{bare_http.OWN_HOST}:{fleet.free_port(bare_http.OWN_HOST)}"


def environment():
    address = free_address()
    return environment_module.Environment(timers.Timers(), peers.Peers(address), address)


def serve(server):
    """Serve in a thread until stop(); return ip:port."""
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    host, port = server.bind_addr[:2]
    return f"{host}:{port}"


def ask(address, method, target, body=None, headers=(), chunked=False):
    """Send one request on a new connection. headers: (name, value) pairs."""
    host, port = address.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=8)
    started_at = time.monotonic()
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
        return Answer(response.status, response.headers, data, complete, time.monotonic() - started_at)
    finally:
        conn.close()


class Site:
    def __init__(self):
        self.platform = stand_in.Platform()
        protocol = replica_protocol.PlatformReplicaProtocol()
        self.environment, self.lease, self.count, self.made = environment(), Lease(), 0, []
        settings = {
            "name": "r",
            "address": self.environment.address,
            "http": f"{bare_http.OWN_HOST}:0",
            "cell": "a",
            "seeds": [self.environment.address],
            "list_url": f"http://{self.platform.address}",
            "slack": 1000,
        }
        self.router = router_module.Router(self.environment, settings, protocol)
        self.router.lease = self.lease
        self.router.retry_budget.started_at -= 100  # so that its share of the slack is available
        self.router.replicas.max_list_age = self.router.replicas.request_interval = 0.02  # it reads the list itself
        self.router.replicas.fresh_at = self.environment.now()  # so that it does not wait for the first list
        self.router.run()
        self.server = self.router.front()
        self.address = serve(self.server)

    def stop(self):
        """Stop everything; a running router would keep polling the list of the stopped platform."""
        self.environment.stop()
        self.server.stop()
        for listener in (*self.platform.replicas.values(), self.platform):
            listener.stop()
        self.environment.peers.stop()

    def service(self, legs, engine=True, facts=None, **more):
        """Add a service and its route; return (host, replicas). legs: "pdd" for one prefill and two decode replicas."""
        self.count += 1
        name = f"s{self.count}"
        found = [
            stand_in.Replica(self.platform, name, {"p": "prefill", "d": "decode"}[leg], **(facts or {})) for leg in legs
        ]
        self.made.append(found)
        for old in self.made.pop(0) if len(self.made) > 3 else ():  # of a finished test
            del self.platform.replicas[old.listed]
            old.stop()
        self.lease.change([route(f"r-{name}", f"{name}.example", name, **more)], [depot(name, engine)])
        wait_until(lambda: all(r.name in self.router.replicas.rows for r in found), LIST_TIMEOUT_S)
        return f"{name}.example", found

    def ask(self, host, target="/p/x", body=b"prompt", method="POST", headers=(), prompt=True, chunked=False):
        """Send a request; return its id and the answer."""
        request_id = f"t{next(stand_in.COUNT):08x}"
        rows = [
            ("Host", host),
            ("Try-Id", request_id),
            ("Time-Left", "4000"),
            *(PROMPT.items() if prompt else ()),
            *headers,
        ]
        return request_id, ask(self.address, method, target, body, rows, chunked)
