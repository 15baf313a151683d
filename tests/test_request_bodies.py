"""Bodies of requests: their framing is read strictly and to its end, and no answer is lost to a reset."""

import io
import socket

import pytest

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import tests.platform_site as platform_site


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def head(host, name, *more):
    rows = [b"POST /p/x HTTP/1.1", b"Host: " + host.encode(), b"Try-Id: " + name, *more]
    return b"\r\n".join(rows) + b"\r\n\r\n"


def connect(site):
    address, port = site.address.rsplit(":", 1)
    return socket.create_connection((address, int(port)), 5)


def answers(conn):
    """All that comes until the end."""
    rows = []
    conn.settimeout(5)
    while piece := conn.recv(65536):
        rows.append(piece)
    return b"".join(rows)


CODED = b"Transfer-Encoding: chunked"


def service(site):
    return site.service("d", engine=False, kind="once_only", facts={"events": 0})


@pytest.mark.parametrize("trailer", [b"", b"X: y\r\n", b"X: y\r\nPOST /p/x HTTP/1.1: z\r\n"])
def test_a_trailer_is_no_request_and_the_connection_goes_on(site, trailer):
    host, (replica,) = service(site)
    with connect(site) as conn:
        conn.sendall(head(host, b"one", CODED) + b"3\r\nabc\r\n0\r\n" + trailer + b"\r\n")
        assert conn.recv(1) == b"H"
        platform_site.until(lambda: not site.server.exchanging())  # it holds no thread while it rests
        conn.sendall(head(host, b"two", b"Content-Length: 2", b"Connection: close") + b"de")
        said = answers(conn)
    assert said.count(b"HTTP/1.1 ") == 1 + (said[:4] == b"HTTP") and said.count(b"TTP/1.1 200") == 2
    assert [(r.get("Try-Id"), r.body) for r in replica.asked] == [("one", b"abc"), ("two", b"de")]


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
def test_a_doubtful_chunk_is_answered_400_and_ends_its_connection(site, data):
    host, (replica,) = service(site)
    with connect(site) as conn:
        conn.sendall(head(host, b"bad", CODED) + data + head(host, b"inner", b"Content-Length: 0"))
        said = answers(conn)
    assert said.startswith(b"HTTP/1.1 400 ") and said.count(b"HTTP/1.1 ") == 1
    assert b"Connection: close" in said and replica.asked == []


def test_a_refusal_before_the_chunks_were_read_leaves_none_to_be_taken_for_a_request(site):
    host, (replica,) = service(site)
    site.router.stopping = True
    try:
        with connect(site) as conn:
            inner = head(host, b"inner", b"Content-Length: 0")
            conn.sendall(head(host, b"outer", CODED) + b"%x\r\n%b\r\n0\r\n\r\n" % (len(inner), inner))
            said = answers(conn)
    finally:
        site.router.stopping = False
    assert said.startswith(b"HTTP/1.1 503 ") and said.count(b"HTTP/1.1 ") == 1 and replica.asked == []


@pytest.mark.parametrize("coded", [False, True], ids=["length", "chunks"])
def test_the_answer_to_a_body_that_is_too_long_is_not_lost_to_a_reset(site, coded):
    host, (replica,) = service(site)
    size = constants.MAX_BODY_BYTES + 2000000
    with connect(site) as conn:
        if coded:
            conn.sendall(head(host, b"long", CODED) + b"%x\r\n" % size)
        else:
            conn.sendall(head(host, b"long", b"Content-Length: %d" % size))
        conn.sendall(b"x" * size)
        said = answers(conn)
    assert said.startswith(b"HTTP/1.1 413 ") and said.endswith(b"}") and replica.asked == []


def test_a_chunk_of_any_size_is_read_only_as_far_as_was_asked():
    file = io.BytesIO(b"fffffff\r\n" + b"x" * 1000)
    assert chunked.ChunkedBody(file).read(100) == b"x" * 100 and file.tell() == 109
