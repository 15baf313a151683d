"""A fake platform: its replica list, and replicas that implement its protocol.

Plain sockets on ephemeral loopback ports, one thread per connection. Replicas answer prefills, hold and consume
handles, run requests as streams of numbered events or as one body, and record everything they receive. `faults` holds
faults for the next requests, `always` one for every request:

close: close before the head; garbage: send these bytes and close; silent: send no head; id: echo another id; stamp:
False, send no stamp; bounce: this status with proof that nothing ran; own: this status from the execution itself;
break: close after this many events; stale: send an unrelated response before the connection's next one; late: send it
right after this response; forget: the handle is lost; run: a prefill executes the request; after: continue after this
event, whatever was requested; cut: close this many bytes before the end of the head; headers: additional fields.
"""

import collections
import itertools
import json
import secrets
import socket
import urllib.parse

import tests.bare_http as bare_http

COUNT = itertools.count(1)


def event(number, last):
    return f"id: {number}\ndata: piece {number} of {last}\n\n".encode()


class Platform(bare_http.Listener):
    """The paged replica list, and the record of all executions."""

    def __init__(self, page=20):
        self.replicas, self.runs, self.page, self.status, self.calls = {}, [], page, 200, 0
        super().__init__()

    def answer(self, conn, request):
        self.calls += 1
        at = urllib.parse.parse_qs(urllib.parse.urlsplit(request.target).query).get("page_token", ["0"])[0]
        rows = [r.row() for r in list(self.replicas.values())]
        some, after = rows[int(at) : int(at) + self.page], int(at) + self.page
        body = json.dumps({"replicas": some, "next_token": str(after) if after < len(rows) else None}).encode()
        conn.sendall(bare_http.response_bytes(self.status, [("Content-Type", "application/json")], body))
        return True

    def ran(self, ask_id):
        return [row for row in list(self.runs) if row["id"] == ask_id]


class Replica(bare_http.Listener):
    def __init__(self, platform, depot, leg, **facts):
        """Facts: zone, berths, condition; events: length of a stream, 0 for one body; body; gap: s between events."""
        self.name, self.platform, self.depot, self.leg = f"i-{secrets.token_hex(4)}", platform, depot, leg
        self.facts = {
            "zone": "a",
            "berths": 8,
            "condition": "in_service",
            "events": 4,
            "body": b"said",
            "gap": 0.0,
            **facts,
        }
        self.faults, self.always = collections.deque(), {}
        self.requests, self.orders, self.released, self.left = [], [], [], 0
        self.order_status = 202
        self.held, self.stale = {}, {}  # handle -> id of its request; connection -> bytes
        super().__init__()
        self.listed = self.name  # the list may lag behind: a new incarnation can already answer at this address
        platform.replicas[self.name] = self

    def row(self):
        return {
            "replica_id": self.listed,
            "depot": self.depot,
            "address": self.address,
            "zone": self.facts["zone"],
            "edition": "v1",
            "berths": self.facts["berths"],
            "condition": self.facts["condition"],
            "cold_left_ms": 0,
            "leg": self.leg,
            "models": [{"name": "m", "edition": 1, "adapters": []}],
        }

    def answer(self, conn, request):
        if request.target == "/order" and request.get("Expect-Replica", self.name) != self.name:
            conn.sendall(bare_http.response_bytes(421, []))
            return True
        if request.target == "/order":
            self.orders.append(json.loads(request.body))
            conn.sendall(bare_http.response_bytes(self.order_status, []))  # without a body
            return True
        if request.target.startswith("/kv-handle/") and request.method == "DELETE":
            name = urllib.parse.unquote(request.target.rpartition("/")[2])
            self.released.append(name)
            conn.sendall(bare_http.response_bytes(200 if self.held.pop(name, None) else 404, []))
            return True
        fault = self.faults.popleft() if self.faults else self.always
        self.requests.append(request)
        return self.take(conn, request, fault or {})

    def take(self, conn, request, fault):
        request_id = request.get("Try-Id")
        conn.sendall(self.stale.pop(request.conn, b""))
        if "close" in fault or "garbage" in fault:
            conn.sendall(fault.get("garbage", b""))
            return False
        if "silent" in fault:
            conn.recv(1)  # until the caller disconnects
            self.left += 1
            return False
        headers = [("Try-Id", fault.get("id", request_id)), *fault.get("headers", ())]
        status = self.rejection_status(request, fault)
        if status:
            conn.sendall(bare_http.response_bytes(status, [*headers, ("Not-Run", "1")], b"not run"))
            return True
        is_prefill = request.get("Leg") == "prefill"
        if is_prefill and "run" not in fault and "own" not in fault:
            name = f"h/{next(COUNT)}"  # contains a character that must be quoted in a path
            self.held[name] = request_id
            body = json.dumps({"consignment": name, "tokens": 1, "edition": 1}).encode()
            conn.sendall(bare_http.response_bytes(200, [*headers, ("Content-Type", "application/json")], body))
            return True
        return self.run(conn, request, fault, headers)

    def rejection_status(self, request, fault):
        if "bounce" in fault:
            return fault["bounce"]
        if request.get("Expect-Replica", self.name) != self.name:
            return 421
        if not request.get("Try-Id"):
            return 400
        if (request.get("Leg") == "prefill") != (self.leg == "prefill"):
            return 421
        source = request.get("Cache-From")
        if source:
            address, slash, name = source.partition("/")
            prefill_replica = next((r for r in list(self.platform.replicas.values()) if r.address == address), None)
            request_id = prefill_replica.held.pop(name, None) if prefill_replica and "forget" not in fault else None
            if request_id != request.get("Try-Id"):
                return 503
        return 0

    def run(self, conn, request, fault, headers):
        stamp, request_id, after = f"stamp.{next(COUNT)}", request.get("Try-Id"), int(request.get("Last-Event-Id", "0"))
        self.platform.runs.append({"id": request_id, "replica": self.name, "after": after, "stamp": stamp})
        if fault.get("stamp", True):
            headers = [*headers, ("Postmark", stamp), ("Weight-Versions", "m=1")]
        if "own" in fault:
            conn.sendall(bare_http.response_bytes(fault["own"], headers, b"own failure"))
            return True
        if "cut" in fault:
            headers = [*headers, ("X-Last", "12345678"), ("Content-Length", 100)]
            conn.sendall(bare_http.head(200, headers)[: -fault["cut"]])
            return False
        if not self.facts["events"]:
            data = bare_http.response_bytes(200, [*headers, ("Content-Type", "text/x-own")], self.facts["body"])
            conn.sendall(data[: len(data) - 2] if "break" in fault else data)
            return "break" not in fault
        return self.stream(conn, request, fault, headers, fault.get("after", after))

    def stream(self, conn, request, fault, headers, after):
        last = self.facts["events"]
        conn.sendall(
            bare_http.head(200, [*headers, ("Content-Type", "text/event-stream"), ("Transfer-Encoding", "chunked")])
        )
        for count, number in enumerate(range(after + 1, last + 1)):
            data = event(number, last)
            if count == fault.get("break"):
                conn.sendall(bare_http.chunk(data[:-5]))  # within an event
                return False
            try:
                conn.sendall(bare_http.chunk(data))
                conn.settimeout(self.facts["gap"] or None)
                if self.facts["gap"] and conn.recv(1, socket.MSG_PEEK) == b"":
                    raise ConnectionResetError
            except TimeoutError:
                pass
            except OSError:
                self.left += 1
                return False
            finally:
                conn.settimeout(None)
        conn.sendall(b"0\r\n\r\n")
        surplus = bare_http.response_bytes(
            200, [("Try-Id", "long-gone"), ("Postmark", "stamp.0")], b"id: 1\ndata: surplus\n\n"
        )
        if "late" in fault:
            conn.sendall(surplus)
        if "stale" in fault:
            self.stale[request.conn] = surplus
        return True
