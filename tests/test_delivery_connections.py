"""Kept connections towards replicas: which are used again, which never, and what a fault on one proves."""

import contextlib
import socket
import types

import pytest

import mothshed.constants as constants
import mothshed.http.kept as kept
import mothshed.http.web as web
import tests.bare_http as bare_http


class Held:
    """An idle connection whose other end the test holds."""

    def __init__(self):
        self.sock, self.other = socket.socketpair()
        self.closed = False

    def close(self):
        self.closed = True
        self.sock.close()


class Server(bare_http.Listener):
    """Says the next of its replies to each request; None: ends without a word."""

    def __init__(self, *replies):
        self.replies, self.asked = list(replies), []
        super().__init__()

    def answer(self, conn, request):
        self.asked.append(request)
        reply = self.replies.pop(0)
        conn.sendall(reply or b"")
        return reply is not None and b"\r\n\r\n" in reply and b"end-here" not in reply


@pytest.fixture
def clock():
    return types.SimpleNamespace(time=100.0)


@pytest.fixture
def idle(clock):
    return kept.Kept(lambda: clock.time)


@pytest.fixture
def serve():
    made = []

    def make(*replies):
        made.append(Server(*replies))
        return made[-1]

    yield make
    for server in made:
        server.stop()


def ask(one, server, **more):
    return one.exchange("POST", server.address, "/x", {"A": "b"}, b"body", 1.0, **more)


def test_a_quiet_connection_is_used_again_the_latest_first(idle):
    one, two = Held(), Held()
    idle.give("r:1", one, {})
    idle.give("r:1", two, {})
    assert idle.take("r:2", False) is None
    assert [idle.take("r:1", False) for _ in range(3)] == [two, one, None] and idle.reused == 2


@pytest.mark.parametrize(
    "end", [lambda c: c.other.sendall(b"x"), lambda c: c.other.close(), lambda c: c.other.shutdown(socket.SHUT_WR)]
)
def test_a_connection_with_something_to_read_is_closed_and_not_used(idle, end):
    good, bad = Held(), Held()
    idle.give("r:1", good, {})
    idle.give("r:1", bad, {})
    end(bad)
    assert idle.take("r:1", False) is good and bad.closed


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
def test_a_connection_that_is_to_close_is_not_kept(idle, headers):
    one = Held()
    idle.give("r:1", one, headers)
    assert one.closed and idle.take("r:1", False) is None


@pytest.mark.parametrize(
    "text, span",
    [("timeout=5", 5), ("timeout=2, max=100", 2), ("max=7, Timeout = 3", 3), (None, None), ("max=7", None)],
)
def test_a_connection_is_used_no_longer_than_its_replica_keeps_it(idle, clock, text, span):
    most = span - constants.KEEP_ALIVE_MARGIN_S if span else constants.DEFAULT_KEEP_ALIVE_S
    for wait, used in ((most - 0.01, True), (most + 0.01, False)):
        one = Held()
        idle.give("r:1", one, {"keep-alive": text} if text else {})
        clock.time += wait
        assert (idle.take("r:1", False) is one) == used == (not one.closed)


def test_what_must_not_run_twice_uses_only_connections_used_lately(idle, clock):
    one = Held()
    idle.give("r:1", one, {"keep-alive": "timeout=5"})
    clock.time += (5 - constants.KEEP_ALIVE_MARGIN_S) / 2 + 0.01
    assert idle.take("r:1", True) is None and one.closed


def test_only_so_many_are_kept_and_old_ones_end(idle, clock):
    rows = [Held() for _ in range(constants.MAX_IDLE_REPLICA_CONNECTIONS + 2)]
    for row in rows:
        idle.give("r:1", row, {})
    assert [r.closed for r in rows] == [True] * 2 + [False] * constants.MAX_IDLE_REPLICA_CONNECTIONS
    clock.time += constants.DEFAULT_KEEP_ALIVE_S + 0.01
    idle.give("r:1", Held(), {})
    assert all(r.closed for r in rows)
    for row in rows:
        row.other.close()


def test_a_whole_answer_leaves_its_connection_for_the_next(idle, serve):
    server = serve(
        bare_http.whole(200, [], b"one"),
        bare_http.head(200, [("Transfer-Encoding", "chunked")]) + bare_http.chunk(b"two") + b"0\r\n\r\n",
        bare_http.whole(204, []),
        bare_http.whole(200, [("Connection", "close")], b"end-here"),
        bare_http.whole(200, [], b"new"),
    )
    assert [ask(idle, server).all() for _ in range(5)] == [b"one", b"two", b"", b"end-here", b"new"]
    assert [r.conn for r in server.asked] == [1, 1, 1, 1, 2] and (idle.made, idle.reused) == (2, 3)
    assert all((r.method, r.target, r.body, r.get("A")) == ("POST", "/x", b"body", "b") for r in server.asked)


def test_an_answer_not_read_to_its_end_is_closed(idle, serve):
    server = serve(bare_http.whole(200, [], b"x" * 100), bare_http.whole(200, [], b"y"))
    ask(idle, server).close()
    assert ask(idle, server).all() == b"y" and [r.conn for r in server.asked] == [1, 2]


CUT = [
    b"HTTP/1.1 200 OK\r\nContent-Length: 9\r\nX: end-here\r\n\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\n3\r\nabc\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\n9\r\nabc",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
    b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX: end-here\r\n\r\n",
]


@pytest.mark.parametrize("data", CUT, ids=repr)
def test_a_body_that_is_cut_off_is_a_fault_and_its_connection_ends(idle, serve, data):
    server = serve(data, bare_http.whole(200, [], b"y"))
    with pytest.raises(web.WebFault) as fault:
        ask(idle, server).all()
    assert fault.value.sent
    assert ask(idle, server).all() == b"y" and [r.conn for r in server.asked] == [1, 2]


def test_a_body_that_ends_with_its_connection_leaves_none(idle, serve):
    server = serve(b"HTTP/1.1 200 OK\r\nX: end-here\r\n\r\nall of it", bare_http.whole(200, [], b"y"))
    with contextlib.suppress(web.WebFault):  # whether it is whole nobody can say
        ask(idle, server).all()
    assert ask(idle, server).all() == b"y" and [r.conn for r in server.asked] == [1, 2]


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
@pytest.mark.parametrize("used", [False, True])
def test_a_fault_after_the_writing_proves_nothing_and_nothing_is_sent_again(idle, serve, reply, used):
    server = serve(*[bare_http.whole(200, [], b"one")] * used, reply, bare_http.whole(200, [], b"never"))
    if used:
        ask(idle, server).all()
    with pytest.raises(web.WebFault) as fault:
        ask(idle, server).all()
    assert fault.value.sent and len(server.asked) == 1 + used


def test_a_refused_connection_and_a_check_that_fails_prove_that_nothing_was_sent(idle, serve):
    server = serve(bare_http.whole(200, [], b"one"))
    with pytest.raises(web.WebFault) as fault:
        ask(idle, server, ready=lambda: False)
    assert not fault.value.sent and str(fault.value) == web.NOT_READY
    assert ask(idle, server).all() == b"one" and idle.made == 1  # the connection was kept meanwhile
    server.stop()
    with pytest.raises(web.WebFault) as fault:
        ask(kept.Kept(lambda: 0.0), server)
    assert not fault.value.sent


def test_a_silent_replica_is_a_fault_after_the_time_it_was_given(idle):
    with socket.create_server(("127.0.0.1", 0)) as silent:
        address = f"127.0.0.1:{silent.getsockname()[1]}"
        with pytest.raises(web.WebFault) as fault:
            idle.exchange("GET", address, "/", {}, None, 0.05)
        assert fault.value.sent and "Timeout" in str(fault.value)
        idle.look(address)  # it still takes connections
    with pytest.raises(web.WebFault):
        kept.Kept(lambda: 0.0).look(address)


def test_idle_connections_to_a_replica_that_is_gone_are_closed(idle, clock):
    gone, other = Held(), Held()
    idle.give("gone:1", gone, {})
    clock.time += constants.DEFAULT_KEEP_ALIVE_S + constants.IDLE_SWEEP_INTERVAL_S + 0.1
    idle.give("other:1", other, {})
    assert gone.closed and not other.closed and list(idle.idle) == ["other:1"]
