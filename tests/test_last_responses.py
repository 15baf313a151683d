"""The last response of a connection, a replica's or our own, reaches its caller whole."""

import pytest

import mothshed.http.kept as kept
import tests.bare_http as bare_http
import tests.platform_site as platform_site

CLOSE = ("Connection", "close")


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def with_length(headers, pieces):
    return bare_http.whole(200, headers, b"".join(pieces))


def in_chunks(headers, pieces):
    data = b"".join(bare_http.chunk(piece) for piece in pieces)
    return bare_http.head(200, [*headers, ("Transfer-Encoding", "chunked")]) + data + b"0\r\n\r\n"


def answer_with(replica, frame, pieces, *more_headers):
    """The replica runs each request and answers at once with these pieces."""

    def run(conn, request, fault, headers):
        replica.platform.runs.append({"id": request.get("Try-Id"), "replica": replica.name})
        conn.sendall(frame([*headers, ("Postmark", "stamp"), *more_headers], pieces))
        return CLOSE not in more_headers

    replica.run = run


FRAMES = pytest.mark.parametrize("frame", [with_length, in_chunks])


@FRAMES
@pytest.mark.parametrize("kind", ["once_only", "repeatable", "stream"])
@pytest.mark.parametrize("headers", [(), (CLOSE,)], ids=["kept", "closing"])
def test_a_whole_answer_is_passed_on_whole_whether_its_replica_closes_or_not(site, frame, kind, headers):
    host, (replica,) = site.service("d", engine=False, kind=kind, facts={"events": 0})
    pieces = [b"id: 1\ndata: a\n\n", b"id: 2\ndata: b\n\n", b"id: 3\ndata: no empty line after it\n"]
    answer_with(replica, frame, pieces, *headers)
    for _ in range(3):  # a replica whose answers came whole is not passed over afterwards
        own, answer = site.ask(host, prompt=False)
        assert (answer.status, answer.body, answer.complete) == (200, b"".join(pieces), True)
        assert len(site.platform.ran(own)) == 1


def test_a_finished_exchange_no_longer_sets_the_patience_of_its_connection():
    """Its connection may carry another exchange by then."""
    server = bare_http.Listener()
    server.answer = lambda conn, request: conn.sendall(bare_http.whole(200, [], b"one")) or True
    idle = kept.Kept(lambda: 0.0)
    first = idle.exchange("GET", server.address, "/", {}, None, 5.0)
    assert first.all() == b"one"
    second = idle.exchange("GET", server.address, "/", {}, None, 5.0)
    assert second.sock is first.sock and idle.reused == 1
    first.patience(0.01)
    assert second.sock.gettimeout() == 5.0 and second.all() == b"one"
    server.stop()
