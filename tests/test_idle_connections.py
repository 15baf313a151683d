"""Idle client connections are closed after the longest timeout in force, and never while a request arrives."""

import selectors
import socket
import threading
import time
import types

import pytest

import mothshed.constants as constants
import mothshed.http.http_server as http_server
import mothshed.http.idle as idle
import mothshed.runtime.clock as clock_module
import tests.bare_http as bare_http
import tests.platform_site as platform_site

REQUEST = b"GET /x HTTP/1.1\r\nHost: h\r\n\r\n"


@pytest.fixture
def clock(monkeypatch):
    """A clock that advances only when the test sets it."""
    found = types.SimpleNamespace(time=1000.0)
    monkeypatch.setattr(clock_module, "now", lambda: found.time)
    return found


@pytest.fixture
def manager():
    """The server's connection manager, without a thread that selects from it."""
    server = http_server.Server("127.0.0.1:0", lambda environ, start: [], 1)
    server.prepare()
    yield server._connections
    server.stop()


class Conn:
    def __init__(self, manager):
        self.socket, self.other = socket.socketpair()
        self.idle_since, self.closed = clock_module.now(), False
        manager._selector.register(self.socket.fileno(), selectors.EVENT_READ, data=self)

    def close(self):
        self.closed = True
        self.socket.close()


def test_an_idle_connection_is_closed_after_the_timeout_and_a_margin(manager, clock):
    conn = Conn(manager)
    clock.time += constants.DEFAULT_IDLE_TIMEOUT_S + constants.IDLE_CLOSE_MARGIN_S - 0.01
    manager._expire(0)
    assert not conn.closed
    clock.time += 0.02
    manager._expire(0)
    assert conn.closed and len(manager._selector) == 1  # the listening socket


@pytest.mark.parametrize("idle_s", [0.0, 4.0, 11.0])
def test_after_a_shorter_timeout_the_longer_one_stays_valid_for_its_duration(manager, clock, idle_s):
    manager.server.set_idle_limit(15.0)
    clock.time += constants.DEFAULT_IDLE_TIMEOUT_S + 0.01  # the first timeout is no longer valid
    conn = Conn(manager)
    clock.time += idle_s
    manager.server.set_idle_limit(2.0)
    clock.time += 0.8 * 15.0 - idle_s  # a client that knows the old timeout may still reuse it
    manager._expire(0)
    assert not conn.closed
    clock.time += 0.2 * 15.0 + idle_s + constants.IDLE_CLOSE_MARGIN_S
    manager._expire(0)
    assert conn.closed


def test_a_longer_timeout_applies_at_once(manager, clock):
    conn = Conn(manager)
    manager.server.set_idle_limit(60.0)
    clock.time += 0.8 * 60.0
    manager._expire(0)
    assert not conn.closed


@pytest.mark.parametrize("data", [b"G", REQUEST], ids=["first byte", "whole request"])
def test_a_connection_with_input_is_not_closed(manager, clock, data):
    conn = Conn(manager)
    conn.other.sendall(data)
    clock.time += 1000.0
    manager._expire(0)
    assert not conn.closed and len(manager._selector) == 2


def test_a_step_of_the_wall_clock_closes_no_connection(manager, clock, monkeypatch):
    conn = Conn(manager)
    step = time.time() + 5000.0
    monkeypatch.setattr(time, "time", lambda: step)
    manager._expire(step - manager.server.timeout)
    assert not conn.closed


class GatedApp:
    """A served app that sends the second part of its response only after `go` is set."""

    def __init__(self):
        self.go, self.started = threading.Event(), threading.Event()
        self.server = http_server.Server("127.0.0.1:0", self.app, 4)
        self.server.expiration_interval = 0.01
        self.address = platform_site.serve(self.server)

    def app(self, environ, start):
        start("200 OK", [("Content-Type", "text/plain")])
        yield b"first,"
        self.started.set()
        assert self.go.wait(10)
        yield b"last"

    def connect(self):
        host, port = self.address.rsplit(":", 1)
        return socket.create_connection((host, int(port)), 5)


@pytest.fixture
def gated(monkeypatch):
    monkeypatch.setattr(constants, "IDLE_CLOSE_MARGIN_S", 0.0)
    found = GatedApp()
    yield found
    found.go.set()
    found.server.stop()


def read_to_end(conn):
    pieces = []
    while piece := conn.recv(65536):
        pieces.append(piece)
    return b"".join(pieces)


def test_a_timeout_that_passes_during_an_exchange_closes_the_connection_only_after_it(gated):
    with gated.connect() as conn, gated.connect() as idle_connection:
        conn.sendall(REQUEST)
        assert gated.started.wait(5)
        gated.server.idle_limit = idle.IdleLimit(0.0)
        assert idle_connection.recv(1) == b""  # the expiry has run by now
        gated.go.set()
        response = read_to_end(conn)
    assert response.endswith(bare_http.chunk(b"first,") + bare_http.chunk(b"last") + b"0\r\n\r\n")
    assert response.count(b"HTTP/1.1 200") == 1


def test_a_partly_received_request_is_answered_after_the_timeout_has_passed(gated):
    gated.go.set()
    with gated.connect() as conn, gated.connect() as idle_connection:
        conn.sendall(REQUEST[:9])
        platform_site.wait_until(gated.server.has_active_exchange)
        gated.server.idle_limit = idle.IdleLimit(0.0)
        assert idle_connection.recv(1) == b""
        conn.sendall(REQUEST[9:])
        assert read_to_end(conn).endswith(b"0\r\n\r\n")


def test_a_stopping_server_counts_partly_received_requests_as_active(gated):
    gated.go.set()
    with gated.connect() as conn:
        assert not gated.server.has_active_exchange()
        conn.sendall(REQUEST[:9])
        platform_site.wait_until(gated.server.has_active_exchange)
        conn.sendall(REQUEST[9:])
        conn.recv(1)
        platform_site.wait_until(lambda: not gated.server.has_active_exchange())
