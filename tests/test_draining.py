"""A router that drains completes the responses it has begun, and closes its client connections after them."""

import http.client
import socket
import threading

import pytest

import tests.platform_site as platform_site


@pytest.fixture
def site():
    made = platform_site.Site()
    yield made
    made.stop()


def start_drain(site):
    """Start a drain; the event that is returned is set once it has ended."""
    ended = threading.Event()
    threading.Thread(target=lambda: platform_site.drain(site.router, 8.0) and ended.set(), daemon=True).start()
    platform_site.wait_until(lambda: site.router.stopping)
    return ended


def test_a_drain_waits_until_a_running_stream_is_written_in_full(site):
    host, (replica,) = site.service("d", facts={"events": 6, "gap": 0.1})
    address, port = site.address.rsplit(":", 1)
    conn = http.client.HTTPConnection(address, int(port), timeout=8)
    conn.request("POST", "/p/x", b"prompt", {"Host": host, "Try-Id": "s", **platform_site.PROMPT})
    response = conn.getresponse()
    ended = start_drain(site)
    assert not ended.is_set()
    assert response.read() == platform_site.event_bytes(1, 6, 6)  # http.client raises if the last chunk is missing
    assert ended.wait(8)
    conn.close()


def test_a_drain_waits_for_a_request_that_is_still_arriving_and_rejects_it_as_not_run(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    address, port = site.address.rsplit(":", 1)
    with socket.create_connection((address, int(port)), 8) as conn:
        conn.sendall(b"POST /p/x HTTP/1.1\r\nHost: %b\r\nTry-Id: slow\r\nContent-Le" % host.encode())
        platform_site.wait_until(site.server.has_active_exchange)
        ended = start_drain(site)
        assert not ended.wait(0.2)
        conn.sendall(b"ngth: 3\r\n\r\nabc")
        response = http.client.HTTPResponse(conn)
        response.begin()
        assert response.status == 503 and response.headers["Connection"] == "close" and response.headers["Retry-After"]
        assert b"not_run" in response.read()
        assert ended.wait(8) and replica.requests == []


# Guards against KV memory that stays held because the process ended while its release was on the way.
def test_a_drain_waits_for_a_release_that_was_sent_and_not_yet_answered(site):
    host, replicas = site.service("pd")
    may_release, is_asked = threading.Event(), threading.Event()
    usual = replicas[0].answer

    def answer(conn, request):
        if request.target.startswith("/kv-handle/"):
            is_asked.set()
            may_release.wait(5)
        return usual(conn, request)

    replicas[0].answer = answer
    assert site.ask(host)[1].complete and is_asked.wait(5)
    ended = start_drain(site)
    assert not ended.wait(0.3)
    may_release.set()
    assert ended.wait(8) and len(replicas[0].released) == 1


def test_responses_while_leaving_close_their_connection(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    assert "Connection" not in site.ask(host, prompt=False)[1].headers
    site.router.leaving = True
    request_id, response = site.ask(host, prompt=False)
    assert response.complete and response.headers["Connection"] == "close" and len(site.platform.ran(request_id)) == 1
    assert site.ask("nobody.example", prompt=False)[1].headers["Connection"] == "close"
