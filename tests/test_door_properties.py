"""Property tests of the HTTP server.

However the bytes are split, joined, duplicated or followed by others, each complete request
reaches the app once, as it was sent, and gets its own response.
"""

import itertools
import os
import socket
import threading

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body
import tests.platform_site as platform_site

EXAMPLES = int(os.environ.get("MOTHSHED_EXAMPLES", "60"))
BOUNDED = hypothesis.settings(derandomize=True, max_examples=EXAMPLES, deadline=None, database=None)


class Echo:
    """A served app that responds with the name and body of each request and records them."""

    def __init__(self):
        self.seen, self.lock = [], threading.Lock()
        self.server = http_server.Server("127.0.0.1:0", self, 8)
        host, port = platform_site.serve(self.server).rsplit(":", 1)
        self.address = host, int(port)

    def __call__(self, environ, start):
        name = environ["mothshed.headers"].get("Try-Id", "")
        try:
            body = request_body.read_body(environ)
        except request_body.BodyError as e:
            return http_server.error_response(start, e.status, e.reason, headers=[("Connection", "close")])
        with self.lock:
            self.seen.append((name, body))
        return http_server.respond(start, 200, b"%b=%b;" % (name.encode(), body))

    def exchange(self, pieces, shut=True):
        """Send the pieces one by one and return all bytes received until the end."""
        self.seen.clear()
        with socket.create_connection(self.address, 5) as conn:
            conn.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
            rows = []
            try:
                for piece in pieces:
                    conn.sendall(piece)
                if shut:
                    conn.shutdown(socket.SHUT_WR)
                while data := conn.recv(65536):
                    rows.append(data)
            except ConnectionError:
                pass
            return b"".join(rows)


@pytest.fixture(scope="module")
def echo():
    found = Echo()
    yield found
    found.server.stop()


@strategies.composite
def requests(draw, number):
    """(name, body, bytes) of one valid request, with a Content-Length or chunked."""
    name, body = b"n%d" % number, draw(strategies.binary(max_size=40))
    head = b"POST /p HTTP/1.1\r\nHost: h\r\nTry-Id: " + name + b"\r\n"
    if draw(strategies.booleans()):
        return name, body, head + b"Content-Length: %d\r\n\r\n" % len(body) + body
    rows, at = [], 0
    while at < len(body):
        size = draw(strategies.integers(1, len(body) - at))
        rows.append(b"%x\r\n%b\r\n" % (size, body[at : at + size]))
        at += size
    trailer = draw(strategies.sampled_from([b"", b"X-Sum: 1\r\n", b"A: b\r\nC: d\r\n"]))
    return name, body, head + b"Transfer-Encoding: chunked\r\n\r\n" + b"".join(rows) + b"0\r\n" + trailer + b"\r\n"


@strategies.composite
def conversations(draw):
    return [draw(requests(n)) for n in range(draw(strategies.integers(1, 4)))]


def split(data, places):
    """Split the bytes at these positions."""
    at = sorted({p % (len(data) + 1) for p in places} | {0, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(at)]


CUTS = strategies.lists(strategies.integers(0, 10000), max_size=6)


@BOUNDED
@hypothesis.given(rows=conversations(), places=CUTS)
def test_requests_split_anywhere_are_each_answered_once_and_in_order(echo, rows, places):
    response = echo.exchange(split(b"".join(data for name, body, data in rows), places))
    assert echo.seen == [(name.decode(), body) for name, body, data in rows]
    assert response.count(b"HTTP/1.1 200 OK\r\n") == len(rows)
    at = 0
    for name, body, _data in rows:
        at = response.index(b"\r\n\r\n%b=%b;" % (name, body), at) + 1


def test_a_request_split_at_any_byte_is_unchanged(echo):
    data = (
        b"POST /p HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n"
    )
    for at in range(1, len(data)):
        response = echo.exchange([data[:at], data[at:]])
        assert echo.seen == [("a", b"abc")] and response.endswith(b"a=abc;"), at


def test_a_truncated_request_never_reaches_the_app(echo):
    for body in (b"Content-Length: 3\r\n\r\nabc", b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX: y\r\n\r\n"):
        data = b"POST /p HTTP/1.1\r\nHost: h\r\nTry-Id: a\r\n" + body
        for at in range(len(data)):
            response = echo.exchange([data[:at]])
            assert echo.seen == [] and b" 200 " not in response, (at, response)


@BOUNDED
@hypothesis.given(rows=conversations(), surplus=strategies.binary(min_size=1, max_size=60), places=CUTS)
def test_surplus_bytes_after_complete_requests_change_none_of_them(echo, rows, surplus, places):
    """Surplus bytes may be rejected; they reach the app only if they are a request, which these never are."""
    hypothesis.assume(b"HTTP/1." not in surplus)
    response = echo.exchange(split(b"".join(data for name, body, data in rows) + surplus, places))
    assert echo.seen == [(name.decode(), body) for name, body, data in rows]
    assert response.count(b"HTTP/1.1 200 OK\r\n") == len(rows)


@BOUNDED
@hypothesis.given(rows=conversations(), order=strategies.randoms(use_true_random=False))
def test_duplicate_and_reordered_requests_are_answered_as_often_as_they_were_sent(echo, rows, order):
    rows = rows + rows
    order.shuffle(rows)
    response = echo.exchange([data for name, body, data in rows])
    assert echo.seen == [(name.decode(), body) for name, body, data in rows]
    assert response.count(b"HTTP/1.1 200 OK\r\n") == len(rows)


@BOUNDED
@hypothesis.given(
    at=strategies.integers(0, 10000), byte=strategies.binary(min_size=1, max_size=2), rows=conversations()
)
def test_a_body_reaches_the_app_only_as_its_framing_says(echo, at, byte, rows):
    """Replaced bytes never yield more requests than were sent, nor a request from the body of another."""
    data = b"".join(data for name, body, data in rows)
    at %= len(data)
    echo.exchange([data[:at] + byte + data[at + len(byte) :]])
    assert len(echo.seen) <= len(rows)
