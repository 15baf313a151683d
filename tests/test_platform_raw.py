"""Requests with ambiguous framing, byte for byte: none is smuggled in, and none runs in changed form."""

import socket

import pytest

import mothshed.constants as constants
import tests.bare_http as bare_http
import tests.platform_site as platform_site

INNER = b"POST /p/in HTTP/1.1\r\nHost: %b\r\nTry-Id: smuggled-%b\r\nContent-Length: 0\r\n\r\n"


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def exchange(site, data, timeout_s=0.4):
    """Send bytes and return all bytes received until the end or a silence of `timeout_s` seconds."""
    host, port = site.address.rsplit(":", 1)
    rows = []
    with socket.create_connection((host, int(port)), 2) as conn:
        conn.sendall(data)
        conn.settimeout(timeout_s)
        try:
            while piece := conn.recv(65536):
                rows.append(piece)
        except (TimeoutError, ConnectionResetError):
            pass
    return b"".join(rows)


FRAMINGS = {
    "a length and chunks": lambda n: [b"Content-Length: %d" % (5 + n), b"Transfer-Encoding: chunked"],
    "chunks and a length": lambda n: [b"Transfer-Encoding: chunked", b"Content-Length: %d" % (5 + n)],
    "two lengths, short first": lambda n: [b"Content-Length: 5", b"Content-Length: %d" % (5 + n)],
    "two lengths, long first": lambda n: [b"Content-Length: %d" % (5 + n), b"Content-Length: 5"],
    "two lengths in one": lambda n: [b"Content-Length: 5, %d" % (5 + n)],
    "an unknown coding": lambda n: [b"Transfer-Encoding: xchunked", b"Content-Length: 5"],
    "a coding with a tab": lambda n: [b"Transfer-Encoding:\tchunked", b"Content-Length: %d" % (5 + n)],
    "a coding with a space before the colon": lambda n: [
        b"Transfer-Encoding : chunked",
        b"Content-Length: %d" % (5 + n),
    ],
    "a coding in mixed case": lambda n: [b"transfer-ENCODING: CHUNKED", b"Content-Length: %d" % (5 + n)],
    "two codings": lambda n: [
        b"Transfer-Encoding: chunked",
        b"Transfer-Encoding: identity",
        b"Content-Length: %d" % (5 + n),
    ],
    "a length with a sign": lambda n: [b"Content-Length: +5"],
    "a negative length": lambda n: [b"Content-Length: -5"],
    "a length in non-ASCII digits": lambda n: ["Content-Length: \u0665".encode()],
}


@pytest.mark.parametrize("name", FRAMINGS)
def test_no_request_is_smuggled_inside_another(site, name):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    mark = str(list(FRAMINGS).index(name))
    inner = INNER % (host.encode(), mark.encode())
    rows = [
        b"POST /p/out HTTP/1.1",
        b"Host: " + host.encode(),
        b"Try-Id: outer-" + mark.encode(),
        *FRAMINGS[name](len(inner)),
    ]
    response = exchange(site, b"\r\n".join(rows) + b"\r\n\r\n" + b"0\r\n\r\n" + inner)
    assert site.platform.ran("smuggled-" + mark) == []
    assert len(replica.requests) <= 1 and response.count(b"Postmark") == len(site.platform.ran("outer-" + mark))


@pytest.mark.parametrize(
    "data",
    [
        b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nabc",
        b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabcd\r\n0\r\n\r\n",
        b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
        b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\nContent-Length: 9\r\n\r\nabc",
        b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\nContent-Le",
        b"POST /p/x y HTTP/1.1\r\nHost: %b\r\nTry-Id: odd\r\n\r\n",
        b"\x16\x03\x01%b\r\n\r\n",
        b"GET %b\r\n\r\n",
    ],
    ids=repr,
)
def test_an_incomplete_request_is_sent_to_no_replica(site, data):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    address, port = site.address.rsplit(":", 1)
    with socket.create_connection((address, int(port)), 2) as conn:
        conn.sendall(data % host.encode())
        conn.shutdown(socket.SHUT_WR)
        conn.settimeout(1.0)
        try:
            response = conn.recv(65536)
        except (TimeoutError, ConnectionResetError):
            response = b""
    assert [(r.method, r.target, r.body) for r in replica.requests] == [] and b" 200 " not in response[:20]


def test_a_body_that_stalls_past_its_timeout_is_sent_to_no_replica(site, monkeypatch):
    monkeypatch.setattr(constants, "REQUEST_READ_TIMEOUT_S", 0.3)
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    response = exchange(
        site, b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: slow\r\nContent-Length: 9\r\n\r\nabc" % host.encode(), 1.5
    )
    platform_site.wait_until(lambda: site.router.in_flight == 0)
    assert [r.body for r in replica.requests] == [] and b" 200 " not in response[:20]


def test_pipelined_requests_are_answered_in_order(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    rows = [
        b"POST /p/%d HTTP/1.1\r\nHost: %b\r\nTry-Id: row-%d\r\nContent-Length: 3\r\n\r\nab%d" % (n, host.encode(), n, n)
        for n in range(4)
    ]
    response = exchange(site, b"".join(rows))
    assert [response.count(b"Try-Id: row-%d" % n) for n in range(4)] == [1] * 4
    assert [response.index(b"row-%d" % n) for n in range(4)] == sorted(response.index(b"row-%d" % n) for n in range(4))
    assert [(r.target, r.body) for r in replica.requests] == [(f"/p/{n}", b"ab%d" % n) for n in range(4)]


def test_a_header_name_with_an_underscore_is_not_taken_for_one_with_a_dash(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    request_id, answer = site.ask(host, headers=[("Try_Id", "other"), ("Time_Left", "900")], prompt=False)
    assert answer.status == 200 and [r.get("Try-Id") for r in replica.requests] == [request_id]
    assert int(replica.requests[0].get("Time-Left")) > 1000


@pytest.mark.parametrize("name, value", [("Last-Event-Id", "²"), ("Prompt-Prefix", "a:²"), ("Tokens", "²,²")])
def test_a_number_in_non_ascii_digits_is_forwarded_unchanged(site, name, value):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    replica.run = answer_done
    _own, answer = site.ask(host, headers=[(name, value)], prompt=False)
    assert answer.status == 200 and [request.all(name) for request in replica.requests] == [[value]]


def answer_done(conn, request, fault, more):
    conn.sendall(bare_http.response_bytes(200, [*more, ("Postmark", "stamp.own")], b"done"))
    return True


@pytest.mark.parametrize("odd", [b"X-Odd: 1\r Leg: prefill", b"X-Odd: 1\rLeg: prefill", b"X-Odd: a\0b"], ids=repr)
def test_a_header_with_a_carriage_return_or_a_zero_byte_within_a_line_is_rejected(site, odd):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    rows = [b"POST /p/x HTTP/1.1", b"Host: " + host.encode(), b"Try-Id: odd", odd, b"Content-Length: 0"]
    # the server closes the connection
    response = exchange(site, b"\r\n".join(rows) + b"\r\n\r\n", constants.REQUEST_READ_TIMEOUT_S + 1.0)
    assert response.startswith(b"HTTP/1.1 400 ") and replica.requests == []
