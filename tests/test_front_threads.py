"""A front starts threads as connections need them, up to its most, and keeps nobody waiting for long."""

import socket
import threading
import time

import mothshed.constants as constants
import mothshed.http.http_server as http_server

MOST = 3 * constants.SERVER_STEP_THREADS


def test_threads_come_with_the_requests_that_need_them():
    together = threading.Barrier(MOST)  # passed only once so many requests are served at one moment

    def app(environ, start):
        together.wait(20)
        return http_server.respond(start, 200, b"ok")

    server = http_server.Server("127.0.0.1:0", app, MOST)
    server.prepare()
    assert len(server.requests._threads) == constants.SERVER_STEP_THREADS
    threading.Thread(target=server.serve, daemon=True).start()
    try:
        address = ("127.0.0.1", server.bind_addr[1])
        lines = [socket.create_connection(address, 20) for _ in range(MOST)]
        for line in lines:
            line.sendall(b"GET / HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n")
        answers = [line.makefile("rb").read() for line in lines]
        assert all(answer.startswith(b"HTTP/1.1 200") for answer in answers)
        assert len(server.requests._threads) == MOST
    finally:
        server.stop()


def wait_until_alive(threads, count):
    """Wait until so many of these threads are left."""
    until = time.monotonic() + 20
    while sum(thread.is_alive() for thread in threads) > count and time.monotonic() < until:
        threads[0].join(0.01)
    assert sum(thread.is_alive() for thread in threads) == count


def test_threads_that_rest_end_a_step_at_a_time_until_few_are_idle(monkeypatch):
    monkeypatch.setattr(http_server.Server, "monitor_connections", lambda server: None)  # the test looks in its place
    server = http_server.Server("127.0.0.1:0", lambda environ, start: http_server.respond(start, 200, b"ok"), MOST)
    server.prepare()
    try:
        server.requests.grow(MOST - constants.SERVER_STEP_THREADS)
        now, threads = server.many_idle_since, list(server.requests._threads)
        server.adjust_thread_count(now + constants.SERVER_THREAD_IDLE_S / 2)
        wait_until_alive(threads, MOST)  # a short rest ends none
        for left in (MOST - constants.SERVER_STEP_THREADS, MOST - 2 * constants.SERVER_STEP_THREADS):
            now += constants.SERVER_THREAD_IDLE_S + 0.1
            server.adjust_thread_count(now)
            wait_until_alive(threads, left)
            server.requests.shrink(0)  # takes the ended ones off the library's list
        server.adjust_thread_count(now + 10 * constants.SERVER_THREAD_IDLE_S)
        assert (
            len(server.requests._threads) == MOST - 2 * constants.SERVER_STEP_THREADS == constants.SERVER_STEP_THREADS
        )
    finally:
        server.stop()
