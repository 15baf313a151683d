"""The last response of a connection, of a replica or of the router, reaches its caller complete."""

import pytest

import mothshed.http.connection_pool as connection_pool
import tests.bare_http as bare_http
import tests.platform_site as platform_site

CLOSE = ("Connection", "close")


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def with_length(headers, pieces):
    return bare_http.response_bytes(200, headers, b"".join(pieces))


def in_chunks(headers, pieces):
    data = b"".join(bare_http.chunk(piece) for piece in pieces)
    return bare_http.head(200, [*headers, ("Transfer-Encoding", "chunked")]) + data + b"0\r\n\r\n"


def respond_with(replica, encode, pieces, *extra_headers):
    """Make the replica run each request and respond immediately with these pieces."""

    def run(conn, request, fault, headers):
        replica.platform.runs.append({"id": request.get("Try-Id"), "replica": replica.name})
        conn.sendall(encode([*headers, ("Postmark", "stamp"), *extra_headers], pieces))
        return CLOSE not in extra_headers

    replica.run = run


ENCODINGS = pytest.mark.parametrize("encode", [with_length, in_chunks])


@ENCODINGS
@pytest.mark.parametrize("kind", ["once_only", "repeatable", "stream"])
@pytest.mark.parametrize("headers", [(), (CLOSE,)], ids=["kept", "closing"])
def test_a_complete_response_is_forwarded_completely_whether_or_not_the_replica_closes(site, encode, kind, headers):
    host, (replica,) = site.service("d", engine=False, kind=kind, facts={"events": 0})
    pieces = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: no empty line after it\n"]
    respond_with(replica, encode, pieces, *headers)
    for _ in range(3):  # the replica is not excluded after complete responses
        request_id, response = site.ask(host, prompt=False)
        assert (response.status, response.body, response.complete) == (200, b"".join(pieces), True)
        assert len(site.platform.ran(request_id)) == 1


def test_a_finished_exchange_no_longer_changes_the_timeout_of_its_connection():
    """The connection may be in use by another exchange by then."""
    server = bare_http.Listener()
    server.answer = lambda conn, request: conn.sendall(bare_http.response_bytes(200, [], b"one")) or True
    pool = connection_pool.ConnectionPool(lambda: 0.0)
    first = pool.exchange("GET", server.address, "/", {}, None, 5.0)
    assert first.all() == b"one"
    second = pool.exchange("GET", server.address, "/", {}, None, 5.0)
    assert second.sock is first.sock and pool.reused_count == 1
    first.set_timeout(0.01)
    assert second.sock.gettimeout() == 5.0 and second.all() == b"one"
    server.stop()
