"""Persistent connections to replicas: which are reused, which are not, and what an error on one proves."""

import contextlib
import socket
import types

import pytest

import mothshed.constants as constants
import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import tests.bare_http as bare_http


class FakeConnection:
    """An idle connection; the test controls its peer."""

    def __init__(self):
        self.sock, self.peer = socket.socketpair()
        self.closed = False

    def close(self):
        self.closed = True
        self.sock.close()


class Server(bare_http.Listener):
    """Sends the next of its replies to each request; None closes the connection without a reply."""

    def __init__(self, *replies):
        self.replies, self.requests = list(replies), []
        super().__init__()

    def answer(self, conn, request):
        self.requests.append(request)
        reply = self.replies.pop(0)
        conn.sendall(reply or b"")
        return reply is not None and b"\r\n\r\n" in reply and b"end-here" not in reply


@pytest.fixture
def clock():
    return types.SimpleNamespace(time=100.0)


@pytest.fixture
def pool(clock):
    return connection_pool.ConnectionPool(lambda: clock.time)


@pytest.fixture
def serve():
    servers = []

    def make_server(*replies):
        servers.append(Server(*replies))
        return servers[-1]

    yield make_server
    for server in servers:
        server.stop()


def exchange(pool, server, **options):
    return pool.exchange("POST", server.address, "/x", {"A": "b"}, b"body", 1.0, **options)


def test_idle_connections_are_reused_most_recent_first(pool):
    connection, newer = FakeConnection(), FakeConnection()
    pool.give_back("r:1", connection, {})
    pool.give_back("r:1", newer, {})
    assert pool.acquire("r:2", False) is None
    assert [pool.acquire("r:1", False) for _ in range(3)] == [newer, connection, None] and pool.reused_count == 2


@pytest.mark.parametrize(
    "disturb", [lambda c: c.peer.sendall(b"x"), lambda c: c.peer.close(), lambda c: c.peer.shutdown(socket.SHUT_WR)]
)
def test_a_connection_with_pending_input_is_closed_and_not_reused(pool, disturb):
    good, bad = FakeConnection(), FakeConnection()
    pool.give_back("r:1", good, {})
    pool.give_back("r:1", bad, {})
    disturb(bad)
    assert pool.acquire("r:1", False) is good and bad.closed


@pytest.mark.parametrize(
    "headers",
    [
        {"connection": "close"},
        {"connection": "Close"},
        {"connection": "keep-alive, close"},
        {"keep-alive": "timeout=0"},
        {"connection": "close", "keep-alive": "timeout=60"},
    ],
)
def test_a_connection_that_the_replica_will_close_is_not_kept(pool, headers):
    connection = FakeConnection()
    pool.give_back("r:1", connection, headers)
    assert connection.closed and pool.acquire("r:1", False) is None


@pytest.mark.parametrize(
    "header, keep_alive_s",
    [("timeout=5", 5), ("timeout=2, max=100", 2), ("max=7, Timeout = 3", 3), (None, None), ("max=7", None)],
)
def test_a_connection_is_reused_only_within_the_keep_alive_time_of_its_replica(pool, clock, header, keep_alive_s):
    max_idle_s = keep_alive_s - constants.KEEP_ALIVE_MARGIN_S if keep_alive_s else constants.DEFAULT_KEEP_ALIVE_S
    for idle_s, reused in ((max_idle_s - 0.01, True), (max_idle_s + 0.01, False)):
        connection = FakeConnection()
        pool.give_back("r:1", connection, {"keep-alive": header} if header else {})
        clock.time += idle_s
        assert (pool.acquire("r:1", False) is connection) == reused == (not connection.closed)


def test_a_request_that_must_not_run_twice_uses_only_recently_used_connections(pool, clock):
    connection = FakeConnection()
    pool.give_back("r:1", connection, {"keep-alive": "timeout=5"})
    clock.time += (5 - constants.KEEP_ALIVE_MARGIN_S) / 2 + 0.01
    assert pool.acquire("r:1", True) is None and connection.closed


def test_the_number_of_idle_connections_is_limited_and_old_ones_are_closed(pool, clock):
    connections = [FakeConnection() for _ in range(constants.MAX_IDLE_REPLICA_CONNECTIONS + 2)]
    for connection in connections:
        pool.give_back("r:1", connection, {})
    assert [row.closed for row in connections] == [True] * 2 + [False] * constants.MAX_IDLE_REPLICA_CONNECTIONS
    clock.time += constants.DEFAULT_KEEP_ALIVE_S + 0.01
    pool.give_back("r:1", FakeConnection(), {})
    assert all(connection.closed for connection in connections)
    for connection in connections:
        connection.peer.close()


def test_a_complete_response_leaves_its_connection_for_the_next_request(pool, serve):
    server = serve(
        bare_http.response_bytes(200, [], b"one"),
        bare_http.head(200, [("Transfer-Encoding", "chunked")]) + bare_http.chunk(b"two") + b"0\r\n\r\n",
        bare_http.response_bytes(204, []),
        bare_http.response_bytes(200, [("Connection", "close")], b"end-here"),
        bare_http.response_bytes(200, [], b"new"),
    )
    assert [exchange(pool, server).all() for _ in range(5)] == [b"one", b"two", b"", b"end-here", b"new"]
    assert [r.conn for r in server.requests] == [1, 1, 1, 1, 2] and (pool.opened_count, pool.reused_count) == (2, 3)
    assert all((r.method, r.target, r.body, r.get("A")) == ("POST", "/x", b"body", "b") for r in server.requests)


def test_the_connection_of_a_response_that_is_not_read_to_its_end_is_closed(pool, serve):
    server = serve(bare_http.response_bytes(200, [], b"x" * 100), bare_http.response_bytes(200, [], b"y"))
    exchange(pool, server).close()
    assert exchange(pool, server).all() == b"y" and [r.conn for r in server.requests] == [1, 2]


CUT = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX: end-here\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\n3\r\nabc\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\n9\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\n",
]


@pytest.mark.parametrize("data", CUT, ids=repr)
def test_a_truncated_body_is_an_error_and_its_connection_is_closed(pool, serve, data):
    server = serve(data, bare_http.response_bytes(200, [], b"y"))
    with pytest.raises(http_client.ExchangeError) as error:
        exchange(pool, server).all()
    assert error.value.sent
    assert exchange(pool, server).all() == b"y" and [r.conn for r in server.requests] == [1, 2]


def test_the_connection_of_a_body_delimited_by_close_is_not_kept(pool, serve):
    server = serve(b"HTTP/1.1 200 OK\r\nX: end-here\r\n\r\nall of it", bare_http.response_bytes(200, [], b"y"))
    with contextlib.suppress(http_client.ExchangeError):  # whether it is complete is unknown
        exchange(pool, server).all()
    assert exchange(pool, server).all() == b"y" and [r.conn for r in server.requests] == [1, 2]


@pytest.mark.parametrize(
    "reply",
    [
        None,
        b"HTTP/1.1 200 OK\r\nConte",
        b"HTTP/1.1 200 OK\r\nX: y\r\n",
        b"\x00\xff garbage\r\n\r\nend-here",
        b"HTTP/1.1 999999 X\r\n\r\nend-here",
    ],
    ids=repr,
)
@pytest.mark.parametrize("reused", [False, True])
def test_an_error_after_the_request_was_written_proves_nothing_and_is_not_retried(pool, serve, reply, reused):
    server = serve(
        *[bare_http.response_bytes(200, [], b"one")] * reused, reply, bare_http.response_bytes(200, [], b"never")
    )
    if reused:
        exchange(pool, server).all()
    with pytest.raises(http_client.ExchangeError) as error:
        exchange(pool, server).all()
    assert error.value.sent and len(server.requests) == 1 + reused


def test_a_refused_connection_or_a_failed_last_check_proves_that_nothing_was_sent(pool, serve):
    server = serve(bare_http.response_bytes(200, [], b"one"))
    with pytest.raises(http_client.ExchangeError) as error:
        exchange(pool, server, ready=lambda: False)
    assert not error.value.sent and str(error.value) == http_client.NOT_READY
    assert exchange(pool, server).all() == b"one" and pool.opened_count == 1  # the connection was kept
    server.stop()
    with pytest.raises(http_client.ExchangeError) as error:
        exchange(connection_pool.ConnectionPool(lambda: 0.0), server)
    assert not error.value.sent


def test_a_silent_replica_is_an_error_after_the_read_timeout(pool):
    with socket.create_server(("127.0.0.1", 0)) as listener:
        address = f"127.0.0.1:{listener.getsockname()[1]}"
        with pytest.raises(http_client.ExchangeError) as error:
            pool.exchange("GET", address, "/", {}, None, 0.05)
        assert error.value.sent and "Timeout" in str(error.value)
        pool.check_connects(address)  # it still accepts connections
    with pytest.raises(http_client.ExchangeError):
        connection_pool.ConnectionPool(lambda: 0.0).check_connects(address)


def test_idle_connections_to_a_removed_replica_are_closed(pool, clock):
    gone, other = FakeConnection(), FakeConnection()
    pool.give_back("gone:1", gone, {})
    clock.time += constants.DEFAULT_KEEP_ALIVE_S + constants.IDLE_SWEEP_INTERVAL_S + 0.1
    pool.give_back("other:1", other, {})
    assert gone.closed and not other.closed and list(pool.idle) == ["other:1"]
