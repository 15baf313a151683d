"""Exchanges with replicas: a response that belongs to another exchange, or is ambiguous, is never accepted."""

import pytest

import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import tests.bare_http as bare_http
import tests.platform_site as platform_site

PLAIN = {"events": 0}


@pytest.fixture(scope="module")
def site():
    created = platform_site.Site()
    yield created
    created.stop()


class Scripted(bare_http.Listener):
    """Sends the next of its replies to each request, and keeps its connections open."""

    def __init__(self, *replies):
        self.replies, self.requests = list(replies), []
        super().__init__()

    def answer(self, conn, request):
        self.requests.append(request)
        conn.sendall(self.replies.pop(0))
        return True


@pytest.fixture
def serve():
    servers = []

    def make(*replies):
        servers.append(Scripted(*replies))
        return servers[-1]

    yield make
    for server in servers:
        server.stop()


def ask(idle, server, name=None):
    return idle.exchange("POST", server.address, "/x", {}, b"body", 2.0, name=name)


ONE, TWO = bare_http.response_bytes(200, [], b"one"), bare_http.response_bytes(200, [], b"two")
CHUNKED = bare_http.head(200, [("Transfer-Encoding", "chunked")])


@pytest.mark.parametrize("first", [ONE, CHUNKED + bare_http.chunk(b"one") + b"0\r\n\r\n"], ids=["length", "chunks"])
@pytest.mark.parametrize("surplus", [b"H", ONE, b"\r\n"], ids=repr)
def test_surplus_bytes_after_a_complete_response_close_its_connection(serve, first, surplus):
    """Also bytes that arrived together with it and stand in the read buffer."""
    idle, server = connection_pool.ConnectionPool(lambda: 0.0), serve(first + surplus, TWO)
    assert ask(idle, server).all() == b"one"
    assert idle.idle.get(server.address, []) == []
    assert ask(idle, server).all() == b"two" and [r.conn for r in server.requests] == [1, 2]


def test_two_sends_of_one_request_never_share_a_connection(serve):
    idle, server = connection_pool.ConnectionPool(lambda: 0.0), serve(ONE, TWO, ONE, TWO)
    for name in ("a", "a", "b", "a"):
        ask(idle, server, name).all()
    assert [r.conn for r in server.requests] == [1, 2, 2, 3] and idle.reused_count == 1


def test_a_duplicate_rejection_is_not_taken_for_the_response_to_the_next_send_of_its_request(site):
    """The duplicate has the id of the second send, which runs: it must not be reported as not run."""
    host, (replica,) = site.service("d", engine=False, kind="once_only", tries=2, facts=PLAIN)
    first_send = []

    def take(conn, request, fault, normal_take=replica.take):
        request_id = request.get("Try-Id")
        refusal = bare_http.response_bytes(503, [("Try-Id", request_id), ("Not-Run", "1")])
        if not first_send:
            first_send.append((conn, request.conn))
            conn.sendall(refusal)
            return True
        earlier_connection = first_send[0][0]
        earlier_connection.sendall(refusal)  # while the second send is being processed
        return normal_take(conn, request, fault)

    replica.take = take
    request_id, response = site.ask(host, prompt=False)
    assert len(site.platform.ran(request_id)) == 1 and response.status == 200 and response.body == b"said"
    assert replica.requests[0].conn != replica.requests[1].conn


@pytest.mark.parametrize(
    "head",
    [
        [("Content-Length", 3), ("Content-Length", 5)],
        [("Content-Length", 3), ("Transfer-Encoding", "chunked")],
        [("Content-Length", "3, 5")],
        [("Content-Length", "+3")],
        [("Content-Length", "-3")],
        [("Transfer-Encoding", "gzip, chunked")],
        [("Transfer-Encoding", "chunked"), ("Transfer-Encoding", "chunked")],
    ],
    ids=repr,
)
def test_a_response_with_ambiguous_framing_is_an_error(serve, head):
    idle, server = (
        connection_pool.ConnectionPool(lambda: 0.0),
        serve(bare_http.head(200, head) + b"3\r\nabc\r\n0\r\n\r\n", TWO),
    )
    with pytest.raises(http_client.ExchangeError) as fault:
        ask(idle, server).all()
    assert fault.value.sent and ask(idle, server).all() == b"two" and [r.conn for r in server.requests] == [1, 2]


def test_a_status_that_is_not_final_is_an_error(serve):
    idle, server = connection_pool.ConnectionPool(lambda: 0.0), serve(b"HTTP/1.1 102 Processing\r\n\r\n" + ONE)
    with pytest.raises(http_client.ExchangeError):
        ask(idle, server)


@pytest.mark.parametrize(
    "data",
    [
        b"0x3\r\nabc\r\n0\r\n\r\n",
        b"+3\r\nabc\r\n0\r\n\r\n",
        b"3\r\nabcXY0\r\n\r\n",
        b"-3\r\nabc\r\n0\r\n\r\n",
        b"3\nabc\r\n0\r\n\r\n",
    ],
    ids=repr,
)
def test_a_response_with_malformed_chunks_is_an_error(serve, data):
    idle, server = connection_pool.ConnectionPool(lambda: 0.0), serve(CHUNKED + data, TWO)
    with pytest.raises(http_client.ExchangeError) as fault:
        ask(idle, server).all()
    assert fault.value.sent and ask(idle, server).all() == b"two" and [r.conn for r in server.requests] == [1, 2]


@pytest.mark.parametrize("status", [408, 429, 503])
@pytest.mark.parametrize("kind", ["once_only", "repeatable", "stream"])
def test_a_replicas_refusal_without_a_not_run_header_is_forwarded_as_may_have_run(site, status, kind):
    host, replicas = site.service("dd", engine=False, kind=kind, tries=2, facts=PLAIN)
    for replica in replicas:
        replica.always = {"own": status}
    request_id, response = site.ask(host, prompt=False)
    assert response.status in (502, 504) and b"may_have_run" in response.body and "Postmark" not in response.headers
    assert len(site.platform.ran(request_id)) == (2 if kind == "repeatable" else 1)


def test_a_send_whose_connection_is_made_after_the_cutoff_is_not_written(site, monkeypatch):
    """This happens if the process is paused between planning and write."""
    host, (replica,) = site.service("d", engine=False, kind="once_only", deadline_ms=300, facts=PLAIN)
    connect, now = site.environment.kept.connect, site.environment.now

    def connect_late(address):
        conn = connect(address)
        monkeypatch.setattr(site.environment, "now", lambda: now() + 1.0)
        return conn

    monkeypatch.setattr(site.environment.kept, "connect", connect_late)
    request_id, response = site.ask(host, prompt=False)
    assert response.status == 503 and b"not_run" in response.body and replica.requests == []
