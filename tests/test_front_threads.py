"""The HTTP server starts threads on demand, up to its maximum, and ends idle ones."""

import socket
import threading
import time

import mothshed.constants as constants
import mothshed.http.http_server as http_server

MAX_THREADS = 3 * constants.SERVER_STEP_THREADS


def test_threads_are_started_as_concurrent_requests_need_them():
    barrier = threading.Barrier(MAX_THREADS)  # passed only while this many requests are served

    def app(environ, start):
        barrier.wait(20)
        return http_server.respond(start, 200, b"ok")

    server = http_server.Server("127.0.0.1:0", app, MAX_THREADS)
    server.prepare()
    assert len(server.requests._threads) == constants.SERVER_STEP_THREADS
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        address = ("127.0.0.1", server.bind_addr[1])
        connections = [socket.create_connection(address, 20) for _ in range(MAX_THREADS)]
        for connection in connections:
            connection.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        responses = [connection.makefile("rb").read() for connection in connections]
        assert all(response.startswith(b"HTTP/1.1 200") for response in responses)
        assert len(server.requests._threads) == MAX_THREADS
    finally:
        server.stop()


def wait_until_alive(threads, count):
    """Wait until only this many of the threads are alive."""
    deadline = time.monotonic() + 20
    while sum(thread.is_alive() for thread in threads) > count and time.monotonic() < deadline:
        threads[0].join(0.01)
    assert sum(thread.is_alive() for thread in threads) == count


def test_idle_threads_are_ended_in_steps_until_few_are_idle(monkeypatch):
    monkeypatch.setattr(http_server.Server, "monitor_connections", lambda server: None)  # the test does its checks
    server = http_server.Server(
        "127.0.0.1:0", lambda environ, start: http_server.respond(start, 200, b"ok"), MAX_THREADS
    )
    server.prepare()
    try:
        server.requests.grow(MAX_THREADS - constants.SERVER_STEP_THREADS)
        now, threads = server.many_idle_since, list(server.requests._threads)
        server.adjust_thread_count(now + constants.SERVER_THREAD_IDLE_S / 2)
        wait_until_alive(threads, MAX_THREADS)  # a short idle time ends no thread
        for expected in (MAX_THREADS - constants.SERVER_STEP_THREADS, MAX_THREADS - 2 * constants.SERVER_STEP_THREADS):
            now += constants.SERVER_THREAD_IDLE_S + 0.1
            server.adjust_thread_count(now)
            wait_until_alive(threads, expected)
            server.requests.shrink(0)  # removes the ended threads from the library's list
        server.adjust_thread_count(now + 10 * constants.SERVER_THREAD_IDLE_S)
        assert (
            len(server.requests._threads)
            == MAX_THREADS - 2 * constants.SERVER_STEP_THREADS
            == constants.SERVER_STEP_THREADS
        )
    finally:
        server.stop()
