"""Stand-in replicas whose responses are framed in each way and break off at a chosen byte, and raw client exchanges."""

import dataclasses
import enum
import itertools
import socket
import struct

import tests.bare_http as bare_http
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

RESET_ON_CLOSE = struct.pack("ii", 1, 0)  # value of SO_LINGER
LAST_EVENT = 4
RESPONSE_S = 5.0  # how long a client waits for the rest of a response
SURPLUS_S = 0.05  # how long it waits for bytes after one


class Framing(enum.Enum):
    """How a response shows where its body ends."""

    LENGTH = "length"
    CHUNKS = "chunks"
    CONNECTION = "connection"


@dataclasses.dataclass
class Run:
    """What a replica sends for one run: its words, its framing, and where and how it breaks off."""

    framing: Framing = Framing.CHUNKS
    words: str = "word"
    break_after: int | None = None  # bytes of the body that are sent; None: all, and its end
    reset: bool = False  # break off by a reset instead of the end of the connection
    headers: tuple = ()
    status: int = 200
    content_type: str = "text/event-stream"
    split: bool = False  # each event in a write of its own


def events_of(words, first=1, last=LAST_EVENT):
    """Return the events of a run by their ids, as bytes."""
    return [f"id: {n}\ndata: {words} {n}\n\n".encode() for n in range(first, last + 1)]


def body_of(words, first=1, last=LAST_EVENT):
    """Return a range of the events of a run."""
    return b"".join(events_of(words, first, last))


def head_and_body(run, headers, pieces):
    """Return the head of a response and the framed pieces of its whole body."""
    fields = [*headers, ("Content-Type", run.content_type), *run.headers]
    if run.framing is Framing.LENGTH:
        return bare_http.head(run.status, [*fields, ("Content-Length", len(b"".join(pieces)))]), pieces
    if run.framing is Framing.CHUNKS:
        head = bare_http.head(run.status, [*fields, ("Transfer-Encoding", "chunked")])
        return head, [*map(bare_http.chunk, pieces), b"0\r\n\r\n"]
    return bare_http.head(run.status, fields), pieces


def cut(run, pieces):
    """Return the framed pieces that are sent before a run breaks off."""
    left, sent = run.break_after, []
    for piece in pieces:
        body = piece.partition(b"\r\n")[2][:-2] if run.framing is Framing.CHUNKS else piece
        if len(body) > left:
            part = body[:left]
            return [*sent, *([bare_http.chunk(part) if run.framing is Framing.CHUNKS else part] if part else [])]
        sent.append(piece)
        left -= len(body)
    return sent[: len(pieces) - 1] if run.framing is Framing.CHUNKS else sent


def send_run(conn, run, headers, after):
    """Send a run after an event; return whether the connection can be used again."""
    head, pieces = head_and_body(run, headers, events_of(run.words, after + 1))
    if run.break_after is not None:
        pieces = cut(run, pieces)
    for data in [head, *pieces] if run.split else [head + b"".join(pieces)]:
        conn.sendall(data)
    if run.break_after is None:
        return run.framing is not Framing.CONNECTION
    if run.reset:
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET_ON_CLOSE)
        conn.close()
        raise OSError("reset")
    return False


def give_runs(replicas, choose):
    """Have replicas send for each request the runs that choose(request id, number from 0) returns, in turn."""
    counts = {}

    for replica in replicas:

        def run(conn, request, fault, headers, replica=replica):
            request_id, after = request.get("Try-Id"), int(request.get("Last-Event-Id", "0"))
            number = next(counts.setdefault(request_id, itertools.count()))
            stamp = f"stamp.{next(stand_in.COUNT)}"
            replica.platform.runs.append(
                {"id": request_id, "replica": replica.name, "after": after, "stamp": stamp, "number": number}
            )
            return send_run(conn, choose(request_id, number), [*headers, ("Postmark", stamp)], after)

        replica.run = run


def serve_runs(site, *runs, legs="ddd", **more):
    """Serve a resumable stream whose replicas send these runs in turn for each request, the last one again and again.

    Return (host, replicas).
    """
    host, replicas = site.service(legs, engine=False, **{"kind": "stream", "resumable": True, "tries": 3, **more})
    give_runs(replicas, lambda request_id, number: runs[min(number, len(runs) - 1)])
    return host, replicas


@dataclasses.dataclass
class RawResponse:
    """The bytes of one response as a client got them, parsed strictly."""

    head: bytes
    body: bytes
    is_complete: bool
    surplus: bytes  # after its end

    def field(self, name):
        """Return the value of a field, or None."""
        for line in self.head.split(b"\r\n")[1:]:
            key, _colon, value = line.partition(b":")
            if key.lower() == name.lower().encode():
                return value.strip().decode()
        return None


def parse_chunks(data):
    """Return (body, whether its last chunk arrived, the bytes after it)."""
    body = b""
    while True:
        line, end, rest = data.partition(b"\r\n")
        size = int(line, 16) if end else 0
        if not end or len(rest) < size + 2:
            return body + rest[:size], False, b""
        if not size:
            return body, True, rest[2:]
        body, data = body + rest[:size], rest[size + 2 :]


def parse(data, ended_in_order):
    """Parse the bytes that a client got; ended_in_order: whether the connection was closed without a reset."""
    head, _end, rest = data.partition(b"\r\n\r\n")
    found = RawResponse(head, rest, ended_in_order, b"")
    if found.field("transfer-encoding") == "chunked":
        found.body, found.is_complete, found.surplus = parse_chunks(rest)
    elif (length := found.field("content-length")) is not None:
        found.body, found.surplus = rest[: int(length)], rest[int(length) :]
        found.is_complete = len(found.body) == int(length)
    return found


class RawClient:
    """A client connection on which requests follow each other."""

    def __init__(self, address, version="1.1"):
        host, port = address.rsplit(":", 1)
        self.conn = socket.create_connection((host, int(port)), 5)
        self.version, self.is_open = version, True

    def ask(self, host, request_id, headers=(), method="POST", target="/p/x"):
        """Send a request and return the RawResponse."""
        rows = [f"{method} {target} HTTP/{self.version}", f"Host: {host}", f"Try-Id: {request_id}", "Time-Left: 4000"]
        rows += [f"{name}: {value}" for name, value in headers] + ["Content-Length: 0", "", ""]
        self.conn.sendall("\r\n".join(rows).encode())
        return self.read_response(has_body=method != "HEAD")

    def read_response(self, has_body=True, data=b""):
        """Read until the connection ends, or until the response is complete and nothing follows it for a while."""
        ended_in_order = False
        try:
            while True:
                if data.split(b" ", 2)[1:2] in ([b"204"], [b"304"]):
                    has_body = False
                is_complete = b"\r\n\r\n" in data and (not has_body or parse(data, False).is_complete)
                self.conn.settimeout(SURPLUS_S if is_complete else RESPONSE_S)
                piece = self.conn.recv(65536)
                if not piece:
                    ended_in_order, self.is_open = True, False
                    break
                data += piece
        except TimeoutError:
            pass
        except ConnectionResetError:
            self.is_open = False
        return parse(data, ended_in_order)

    def close(self):
        self.conn.close()


def new_request_id():
    """Return an id that no other request has."""
    return f"t{next(stand_in.COUNT):08x}"


def ask(site, host, version="1.1", **more):
    """Send one request on a new connection; return (its id, the RawResponse)."""
    client, request_id = RawClient(site.address, version), new_request_id()
    try:
        return request_id, client.ask(host, request_id, **more)
    finally:
        client.close()
        platform_site.wait_until(lambda: site.router.in_flight == 0)
