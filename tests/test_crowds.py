"""Many connections on real sockets: silent, half-sent, slow, and closed by the caller."""

import contextlib
import json
import socket
import threading

import pytest

import mothshed.http.http_server as http_server
import mothshed.programs.environment as environment_module
import mothshed.runtime.clock as clock
import tests.fleets as fleets
import tools.callers as callers


@pytest.fixture(scope="module")
def fleet(tmp_path_factory):
    with fleets.serving(tmp_path_factory.mktemp("crowds"), 1, 2) as found:
        yield found


def connect(router, count, data=b""):
    """Open `count` connections to a router that each send these bytes and nothing more."""
    host, port = router.rsplit(":", 1)
    found = []
    for _ in range(count):
        connection = socket.create_connection((host, int(port)), 10)
        connection.sendall(data)
        found.append(connection)
    return found


HEAD = (
    "POST /v1/completions HTTP/1.1\r\nHost: x\r\nContent-Type: application/json\r\nX-Request-Id: {}\r\n"
    "X-Tenant: dispatch\r\nX-Kind: question\r\nContent-Length: {}\r\n\r\n"
)
HALF = HEAD.format("half", 4000).encode() + b'{"model": "shift'


@pytest.mark.parametrize("data", [b"", b"POST /v1/comp", HALF], ids=["silent", "half a head", "half a body"])
def test_more_stalled_connections_than_threads_block_no_request(fleet, data):
    router = fleet.settings["route-1"]["http"]
    with contextlib.ExitStack() as stack:
        for connection in connect(router, 400, data):
            stack.enter_context(connection)
        rows = [
            callers.send_call(
                environment_module.BlockingEnvironment(),
                router,
                "shift-notes",
                callers.make_call("crowd", n, ["dispatch"]) | {"id": f"c{n}"},
            )
            for n in range(3)
        ]
        assert [r["end"] for r in rows] == ["whole"] * 3


def request_bytes(name, tokens, stream=True):
    body = json.dumps({"model": "shift-notes", "prompt": "x" * 3000, "max_tokens": tokens, "stream": stream}).encode()
    return HEAD.format(name, len(body)).encode() + body


def ledger_of(fleet, name):
    return [r for r in fleet.ledger() if r.get("request") == name]


def test_a_disconnect_before_the_response_prevents_the_decode_and_releases_the_handles(fleet):
    router = fleet.settings["route-1"]["http"]
    connect(router, 1, request_bytes("left-early", 50))[0].close()
    fleet.wait_http(router, "/condition", lambda c: c["flight"] == 0 and c["frees_left"] == 0)
    kinds = [r["kind"] for r in ledger_of(fleet, "left-early")]
    assert "decoded" not in kinds and kinds.count("export") == kinds.count("free")


@pytest.mark.parametrize("stream", [True, False])
def test_a_disconnect_during_the_response_ends_the_decode(fleet, stream):
    router, name = fleet.settings["route-1"]["http"], f"left-{stream}"
    connection = connect(router, 1, request_bytes(name, 400, stream))[0]
    for at in fleet.replica_addresses.values():  # until one of them decodes
        with contextlib.suppress(TimeoutError):
            fleet.wait_http(at, "/condition", lambda c: c["role"] == "decode" and c["running"], 3)
            break
    connection.close()
    fleet.wait_http(router, "/condition", lambda c: c["flight"] == 0 and c["frees_left"] == 0)
    for at in fleet.replica_addresses.values():
        fleet.wait_http(at, "/condition", lambda c: c["running"] == 0)
    kinds = [r["kind"] for r in ledger_of(fleet, name)]
    assert "pull" in kinds and "decoded" not in kinds and kinds.count("export") == kinds.count("free")


def test_a_response_that_is_not_read_is_closed_at_its_cutoff():
    closed = threading.Event()

    class Endless:
        def __iter__(self):
            return iter(lambda: b"x" * 65536, None)

        def close(self):
            closed.set()

    def app(environ, start):
        environ["mothshed.caller"].close_after(clock.now() + 0.5)
        start("200 OK", [("Content-Type", "text/plain")])
        return Endless()

    server = http_server.Server("127.0.0.1:0", app, 2)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        connection = socket.create_connection(server.bind_addr[:2])
        connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\n\r\n")
        assert closed.wait(10)  # cheroot's own limit is twenty seconds
        connection.close()
    finally:
        server.stop()
