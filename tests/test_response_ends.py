"""Ends of responses to clients: an incomplete one never looks complete, and a complete one leaves nothing behind."""

import http.client
import pathlib
import signal
import socket
import subprocess
import sys

import pytest

import mothshed.http.http_server as http_server
import tests.framed_replicas as framed
import tests.platform_site as platform_site

ROOT = pathlib.Path(__file__).parent.parent
Framing, Run = framed.Framing, framed.Run
BROKEN_RUN = {"break_after": len(framed.events_of("word")[0])}
DECLARED = (Framing.LENGTH, Framing.CHUNKS)


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


# HTTP/1.0 knows no chunks: only a reset tells its client that a stream without a length is not complete.
@pytest.mark.parametrize("framing", DECLARED)
@pytest.mark.parametrize("replica_count", [1, 2])
def test_a_client_of_http_1_0_sees_whether_a_stream_is_complete(site, framing, replica_count):
    host, _replicas = framed.serve_runs(site, Run(framing, **BROKEN_RUN), Run(words="more"), legs="d" * replica_count)
    _id, response = framed.ask(site, host, version="1.0")
    assert response.is_complete == (replica_count == 2) and response.field("transfer-encoding") is None
    if replica_count == 2:
        assert response.body == framed.body_of("word", last=1) + framed.body_of("more", first=2)


def test_a_response_to_head_leaves_nothing_on_its_connection(site):
    host, _replicas = framed.serve_runs(site, Run(Framing.LENGTH))
    client = framed.RawClient(site.address)
    response = client.ask("unknown.example", framed.new_request_id(), method="HEAD")
    assert response.head.startswith(b"HTTP/1.1 404 ") and response.body == b""
    assert client.ask(host, framed.new_request_id()).head.startswith(b"HTTP/1.1 200 ")
    client.close()


@pytest.fixture(scope="module")
def application():
    """A server whose application sends the pieces of `bodies` under a head with a length of 4."""
    bodies = {"/short": [b"ab"], "/long": [b"ab", b"cde"], "/long-at-once": [b"abcde"], "/whole": [b"ab", b"cd"]}

    def app(environ, start_response):
        start_response("200 OK", [("Content-Length", "4")])
        return bodies[environ["PATH_INFO"]]

    server = http_server.Server("127.0.0.1:0", app, 4)
    yield platform_site.serve(server)
    server.stop()


@pytest.mark.parametrize("path, sent", [("/short", b"ab"), ("/long", b"ab"), ("/long-at-once", b"")])
def test_a_body_of_another_length_than_declared_does_not_look_complete(application, path, sent):
    host, port = application.rsplit(":", 1)
    conn = http.client.HTTPConnection(host, int(port), timeout=5)
    conn.request("GET", path)
    with pytest.raises(http.client.IncompleteRead) as failure:
        conn.getresponse().read()
    assert failure.value.partial == sent
    conn.close()


def test_a_body_of_the_declared_length_keeps_its_connection(application):
    host, port = application.rsplit(":", 1)
    with socket.create_connection((host, int(port)), 5) as conn:
        for _request in range(2):
            conn.sendall(b"GET /whole HTTP/1.1\r\nHost: h\r\n\r\n")
            data = b""
            while not data.endswith(b"abcd"):
                data += conn.recv(4096)


SERVER_PROGRAM = """
import sys, time
import mothshed.http.http_server as http_server

def app(environ, start_response):
    start_response("200 OK", [("Content-Type", "text/event-stream")])
    def events():
        yield b"id: 1\\n\\n"
        time.sleep(30)
    return events()

server = http_server.Server("127.0.0.1:0", app, 4)
server.prepare()
print(server.bind_addr[1], flush=True)
server.serve()
"""


# Guards against a stream that looks complete because the process that sends it has ended.
@pytest.mark.parametrize("version", ["1.0", "1.1"])
@pytest.mark.parametrize("number", [signal.SIGTERM, signal.SIGKILL])
def test_a_stream_whose_router_ends_is_not_complete(version, number):
    process = subprocess.Popen([sys.executable, "-c", SERVER_PROGRAM], stdout=subprocess.PIPE, cwd=ROOT)
    try:
        client = framed.RawClient(f"127.0.0.1:{int(process.stdout.readline())}", version)
        client.conn.sendall(f"GET / HTTP/{version}\r\nHost: h\r\n\r\n".encode())
        client.conn.settimeout(5)
        data = b""
        while b"id: 1\n\n" not in data:
            data += client.conn.recv(4096)
        process.send_signal(number)
        response = client.read_response(data=data)
        assert not response.is_complete and response.body == b"id: 1\n\n" and not client.is_open
        client.close()
    finally:
        process.kill()
        process.wait()
        process.stdout.close()
