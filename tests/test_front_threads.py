"""A front starts threads as connections need them, up to its most, and keeps nobody waiting for long."""

import socket
import threading
import time

import mothshed.constants as constants
import mothshed.http.front as front

MOST = 3 * constants.FRONT_STEP


def test_threads_come_with_the_requests_that_need_them():
    together = threading.Barrier(MOST)  # passed only once so many requests are served at one moment

    def app(environ, start):
        together.wait(20)
        return front.respond(start, 200, b"ok")

    server = front.Server("127.0.0.1:0", app, MOST)
    server.prepare()
    assert len(server.requests._threads) == constants.FRONT_STEP
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


def test_threads_that_rest_end_down_to_the_fewest():
    server = front.Server("127.0.0.1:0", lambda environ, start: front.respond(start, 200, b"ok"), MOST)
    server.prepare()
    try:
        server.requests.grow(MOST - constants.FRONT_STEP)
        began, threads = server.many_idle_since, list(server.requests._threads)
        server.fit_threads(began + constants.FRONT_REST / 2)
        assert all(thread.is_alive() for thread in threads)  # a short rest ends none
        until, now = time.monotonic() + 20, began
        while sum(thread.is_alive() for thread in threads) > constants.FRONT_STEP and time.monotonic() < until:
            now += constants.FRONT_REST + 0.1
            server.fit_threads(now)
            threads[0].join(0.01)
        server.requests.shrink(0)  # takes the ended ones off the library's list
        assert len(server.requests._threads) == constants.FRONT_STEP
    finally:
        server.stop()
