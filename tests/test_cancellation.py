"""A cancellation ends the current and every later wait, and never touches a released socket."""

import socket
import threading

import pytest

import mothshed.http.caller as caller
import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import mothshed.runtime.cancellation as cancellation_module
import mothshed.runtime.clock as clock
import tests.bare_http as bare_http


@pytest.fixture
def pair():
    left, right = socket.socketpair()
    yield left, right
    left.close()
    right.close()


def is_closed(sock):
    sock.settimeout(0)
    try:
        return sock.recv(1) == b""
    except BlockingIOError:
        return False


def test_a_cancellation_ends_the_current_wait_and_later_ones(pair):
    cancellation, waited = cancellation_module.Cancellation(), []
    cancellation.hold(pair[0])
    waiter = threading.Thread(target=lambda: waited.append(pair[0].recv(1)))
    waiter.start()
    cancellation.cancel()
    waiter.join(10)
    assert waited == [b""] and is_closed(pair[1])
    others = socket.socketpair()
    cancellation.hold(others[0])
    assert is_closed(others[1])
    for sock in others:
        sock.close()


def test_a_released_socket_is_not_shut_down(pair):
    cancellation = cancellation_module.Cancellation()
    cancellation.hold(pair[0])
    cancellation.release()
    cancellation.cancel()
    assert not is_closed(pair[1]) and cancellation.cancelled


def test_cancelling_with_a_closed_socket_is_no_error(pair):
    cancellation = cancellation_module.Cancellation()
    cancellation.hold(pair[0])
    pair[0].close()
    cancellation.cancel()
    assert cancellation.cancelled


class Server(bare_http.Listener):
    """Responds at once, or never to /silent."""

    def __init__(self):
        self.requested, self.disconnected = threading.Event(), threading.Event()
        super().__init__()

    def answer(self, conn, request):
        if request.target == "/silent":
            self.requested.set()
            if conn.recv(1) == b"":
                self.disconnected.set()
            return False
        conn.sendall(bare_http.response_bytes(200, [("Keep-Alive", "timeout=9")], b"body"))
        return True


@pytest.fixture
def server():
    found = Server()
    yield found
    found.stop()


def exchange(connections, server, target, cancellation):
    return connections.exchange("POST", server.address, target, {}, b"", 60.0, cancellation=cancellation)


def test_a_cancelled_exchange_without_response_headers_may_have_run(server):
    cancellation, errors = cancellation_module.Cancellation(), []

    def send():
        with pytest.raises(http_client.ExchangeError) as error_info:
            exchange(connection_pool.ConnectionPool(clock.now), server, "/silent", cancellation)
        errors.append(error_info.value)

    sender = threading.Thread(target=send)
    sender.start()
    assert server.requested.wait(10)
    cancellation.cancel()
    sender.join(10)
    assert errors[0].sent and server.disconnected.wait(10)


@pytest.mark.parametrize("complete_first", [True, False], ids=["after the body", "before its end"])
def test_a_connection_is_reused_only_if_it_was_released_before_the_cancellation(server, complete_first):
    connections, cancellation = connection_pool.ConnectionPool(clock.now), cancellation_module.Cancellation()
    reply = exchange(connections, server, "/", cancellation)
    if complete_first:
        assert reply.all() == b"body"
        cancellation.cancel()
    else:
        cancellation.cancel()
        try:
            reply.all()  # bytes that have already arrived may still be read
        except http_client.ExchangeError:
            reply.close()
    assert exchange(connections, server, "/", None).all() == b"body"
    assert (connections.reused_count, connections.opened_count) == ((1, 1) if complete_first else (0, 2))


class Connection:
    """The attributes of a server connection that Caller uses."""

    arrived, disconnected_at, caller = 3.0, None, None

    def __init__(self, sock):
        self.socket = sock


@pytest.mark.parametrize("sent", [b"", b"more than was asked"])
def test_a_caller_that_closed_is_disconnected_whatever_it_sent_before(pair, sent):
    found = caller.Caller(Connection(pair[0]))
    pair[1].sendall(sent)
    assert not found.has_disconnected()
    pair[1].close()
    assert found.has_disconnected()


def test_a_caller_that_reset_its_connection_is_disconnected():
    with socket.create_server(("127.0.0.1", 0)) as listener:
        far = socket.create_connection(listener.getsockname())
        near = listener.accept()[0]
        far.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, b"\x01\x00\x00\x00\x00\x00\x00\x00")
        far.close()
        with near:
            assert caller.Caller(Connection(near)).has_disconnected()


def test_a_request_read_after_its_caller_disconnected_is_cancelled_from_the_start(pair):
    connection = Connection(pair[0])
    connection.disconnected_at = 5.0
    found = caller.Caller(connection)
    assert found.has_disconnected() and found.cancellation.cancelled and found.disconnected_at() == 5.0
    assert connection.caller is found


def test_a_request_without_a_connection_has_a_caller_that_never_disconnects():
    found = caller.Caller()
    found.close_after(1.0)
    assert not found.has_disconnected() and found.disconnected_at() is None
