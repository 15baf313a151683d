"""A response may take longer than its request may take to arrive."""

import http.client
import threading
import time

import pytest

import mothshed.constants as constants
import mothshed.http.http_server as http_server
import mothshed.http.request_body as request_body

ANSWER_S = 1.0  # longer than both limits on the arrival of a request


@pytest.fixture
def address(monkeypatch):
    monkeypatch.setattr(constants, "REQUEST_READ_TIMEOUT_S", 0.4)
    monkeypatch.setattr(constants, "CROWDED_REQUEST_READ_TIMEOUT_S", 0.2)

    def app(environ, start):
        body = request_body.read_body(environ)
        time.sleep(ANSWER_S)
        return http_server.respond(start, 200, body)

    server = http_server.Server("127.0.0.1:0", app, 1)
    server.prepare()
    threading.Thread(target=server.serve, daemon=True).start()
    yield server.bind_addr
    server.stop()


# Guards against an operator whose connection is closed without an answer because the answer takes seconds.
@pytest.mark.parametrize("body", [b"", b"x" * 100000, iter([b"in", b"chunks"])], ids=["none", "length", "chunks"])
def test_a_response_that_takes_longer_than_a_request_may_is_delivered(address, body):
    conn = http.client.HTTPConnection(*address, timeout=10)
    conn.request("PUT" if body else "GET", "/configuration", body or None)
    response = conn.getresponse()
    assert response.status == 200 and len(response.read()) in (0, 100000, 8)
    conn.close()


# Guards against a request that is closed without an answer because every thread of the server is busy for a while.
def test_a_whole_request_that_waits_for_a_thread_is_answered(address):
    statuses = []

    def ask():
        conn = http.client.HTTPConnection(*address, timeout=10)
        try:
            conn.request("GET", "/configuration")
            statuses.append(conn.getresponse().status)
        except http.client.RemoteDisconnected:
            statuses.append(0)
        finally:
            conn.close()

    threads = [threading.Thread(target=ask) for _ in range(2)]
    for thread in threads:
        thread.start()
    for thread in threads:
        thread.join()
    assert 0 not in statuses
