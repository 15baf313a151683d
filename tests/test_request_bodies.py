"""Request bodies: their framing is parsed strictly and read to its end, and no response is lost to a reset."""

import io
import socket

import pytest

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    created = platform_site.Site()
    yield created
    created.stop()


def head(host, name, *more):
    lines = [b"POST /p/x HTTP/1.1", b"Host: " + host.encode(), b"Try-Id: " + name, *more]
    return b"\r\n".join(lines) + b"\r\n\r\n"


def connect(site):
    address, port = site.address.rsplit(":", 1)
    return socket.create_connection((address, int(port)), 5)


def read_until_closed(conn):
    """All bytes received until the connection is closed."""
    pieces = []
    conn.settimeout(5)
    while piece := conn.recv(65536):
        pieces.append(piece)
    return b"".join(pieces)


CHUNKED = b"Transfer-Encoding: chunked"


def service(site):
    return site.service("d", engine=False, kind="once_only", facts={"events": 0})


@pytest.mark.parametrize("trailer", [b"", b"X: y\r\n", b"X: y\r\nPOST /p/x HTTP/1.1: z\r\n"])
def test_a_trailer_is_not_read_as_a_request_and_the_connection_stays_usable(site, trailer):
    host, (replica,) = service(site)
    with connect(site) as conn:
        conn.sendall(head(host, b"one", CHUNKED) + b"3\r\nabc\r\n0\r\n" + trailer + b"\r\n")
        assert conn.recv(1) == b"H"
        platform_site.wait_until(lambda: not site.server.has_active_exchange())  # an idle connection holds no thread
        conn.sendall(head(host, b"two", b"Content-Length: 2", b"Connection: close") + b"de")
        received = read_until_closed(conn)
    assert received.count(b"HTTP/1.1 ") == 1 + (received[:4] == b"HTTP") and received.count(b"TTP/1.1 200") == 2
    assert [(r.get("Try-Id"), r.body) for r in replica.requests] == [("one", b"abc"), ("two", b"de")]


@pytest.mark.parametrize(
    "data",
    [
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"0_3\r\nabc\r\n0\r\n\r\n",
        b" 3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
        b"\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabcd\r\n0\r\n\r\n",
        b"3;" + b"x" * 300 + b"\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabc\r\n0\r\nno end of line\n\r\n",
    ],
    ids=repr,
)
def test_a_malformed_chunk_gets_status_400_and_closes_its_connection(site, data):
    host, (replica,) = service(site)
    with connect(site) as conn:
        conn.sendall(head(host, b"bad", CHUNKED) + data + head(host, b"inner", b"Content-Length: 0"))
        received = read_until_closed(conn)
    assert received.startswith(b"HTTP/1.1 400 ") and received.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in received and replica.requests == []


def test_chunks_unread_after_a_rejection_are_not_read_as_a_request(site):
    host, (replica,) = service(site)
    site.router.stopping = True
    try:
        with connect(site) as conn:
            inner = head(host, b"inner", b"Content-Length: 0")
            conn.sendall(head(host, b"outer", CHUNKED) + b"%x\r\n%b\r\n0\r\n\r\n" % (len(inner), inner))
            received = read_until_closed(conn)
    finally:
        site.router.stopping = False
    assert received.startswith(b"HTTP/1.1 503 ") and received.count(b"HTTP/1.1 ") == 1 and replica.requests == []


@pytest.mark.parametrize("is_chunked", [False, True], ids=["length", "chunks"])
def test_the_response_to_a_body_that_is_too_long_is_not_lost_to_a_reset(site, is_chunked):
    host, (replica,) = service(site)
    size = constants.MAX_BODY_BYTES + 2000000
    with connect(site) as conn:
        if is_chunked:
            conn.sendall(head(host, b"long", CHUNKED) + b"%x\r\n" % size)
        else:
            conn.sendall(head(host, b"long", b"Content-Length: %d" % size))
        conn.sendall(b"x" * size)
        received = read_until_closed(conn)
    assert received.startswith(b"HTTP/1.1 413 ") and received.endswith(b"}") and replica.requests == []


def test_a_read_returns_no_more_than_asked_however_long_the_chunk_is():
    file = io.BytesIO(b"fffffff\r\n" + b"x" * 1000)
    assert chunked.ChunkedBody(file).read(100) == b"x" * 100 and file.tell() == 109
