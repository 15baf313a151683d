"""Responses that break at each point of the exchange, in each way: what runs, and what the caller gets."""

import socket
import struct

import pytest

import tests.bare_http as bare_http
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

RESET = struct.pack("ii", 1, 0)  # SO_LINGER value that turns a close into a reset
EVENTS = 4


@pytest.fixture(scope="module")
def site():
    created = platform_site.Site()
    yield created
    created.stop()


def end_by(conn, how):
    """End the exchange: by a close, a reset, a half-close, or by sending nothing more."""
    if how == "reset":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        conn.close()
        raise OSError("reset")
    if how == "half-close":
        conn.shutdown(socket.SHUT_WR)
    if how != "close":
        conn.recv(1)  # returns when the router gives up
    return False


def sent_before(moment, head, pieces):
    """The bytes of the response that are sent before it breaks."""
    whole_body = b"".join(bare_http.chunk(piece) for piece in pieces)
    return {
        "before the head": b"",
        "in the head": head[:-9],
        "after the head": head,
        "in the body": head + b"".join(bare_http.chunk(piece) for piece in pieces[:2]) + bare_http.chunk(pieces[2])[:9],
        "before the last chunk": head + whole_body,
        "in the last chunk": head + whole_body + b"0",
    }[moment]


MOMENTS = (
    "before the head",
    "in the head",
    "after the head",
    "in the body",
    "before the last chunk",
    "in the last chunk",
)
ENDS = ("close", "reset", "half-close", "silence")


def break_at(replica, moment, how):
    """Make a replica start each request and break its response at this point."""

    def run(conn, request, fault, headers):
        after = int(request.get("Last-Event-Id", "0"))
        stamp = f"stamp.{next(stand_in.COUNT)}"
        replica.platform.runs.append(
            {"id": request.get("Try-Id"), "replica": replica.name, "after": after, "stamp": stamp}
        )
        kind = "text/event-stream" if replica.facts["events"] else "text/plain"
        head = bare_http.head(
            200, [*headers, ("Postmark", stamp), ("Content-Type", kind), ("Transfer-Encoding", "chunked")]
        )
        conn.sendall(sent_before(moment, head, [stand_in.event(n, EVENTS) for n in range(1, EVENTS + 1)]))
        return end_by(conn, how)

    replica.run = run


def send_request(site, how, moment, **more):
    """Send a request whose first replica breaks its response; return (its runs, the response, requests received)."""
    runs_once = more["kind"] == "once_only" or more["kind"] == "stream" and not more.get("resumable")
    deadline_ms = 900 if how in ("silence", "half-close") and runs_once else 4000
    facts = {"events": 4 if more["kind"] == "stream" else 0}
    host, replicas = site.service("dd", engine=False, tries=2, deadline_ms=deadline_ms, facts=facts, **more)
    requests = []
    for replica in replicas:
        whole = replica.run
        break_at(replica, moment, how)

        def run(conn, request, fault, headers, whole=whole, broken=replica.run):
            requests.append(request)
            return (broken if len(requests) == 1 else whole)(conn, request, fault, headers)

        replica.run = run
    request_id, response = site.ask(host, prompt=False)
    platform_site.wait_until(lambda: site.router.in_flight == 0)
    return site.platform.ran(request_id), response, platform_site.request_count(replicas)


def is_unproven_failure(response):
    return response.status in (502, 504) and b"may_have_run" in response.body and "Postmark" not in response.headers


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_request_that_runs_once_is_never_sent_again(site, moment, how):
    runs, response, count = send_request(site, how, moment, kind="once_only")
    assert len(runs) == count == 1 and is_unproven_failure(response)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_stream_that_runs_once_is_never_sent_again(site, moment, how):
    runs, response, count = send_request(site, how, moment, kind="stream")
    assert len(runs) == count == 1
    if moment in ("before the head", "in the head", "after the head"):
        assert is_unproven_failure(response)
    else:  # only complete events, and not the end of the stream
        last = 2 if moment == "in the body" else EVENTS
        assert response.status == 200 and not response.complete and response.body == platform_site.event_bytes(1, last)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_repeatable_request_is_served_by_another_replica(site, moment, how):
    runs, response, count = send_request(site, how, moment, kind="repeatable")
    assert len(runs) == count == 2 and len({run["replica"] for run in runs}) == 2
    assert (response.status, response.body, response.complete) == (200, b"said", True)
    assert response.headers["Postmark"] == runs[-1]["stamp"]


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_resumable_stream_is_completed_without_duplicate_events(site, moment, how):
    runs, response, count = send_request(site, how, moment, kind="stream", resumable=True)
    assert count == 2 and len(runs) == 2 and len({run["replica"] for run in runs}) == 2
    assert (response.status, response.body, response.complete) == (200, platform_site.event_bytes(), True)
    begun = moment not in ("before the head", "in the head", "after the head")
    assert response.headers.get_all("Postmark") == [runs[0 if begun else 1]["stamp"]]


def test_an_idle_connection_that_was_closed_is_detected_and_replaced_before_the_write(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    site.ask(host, prompt=False)
    replica.conns[-1].shutdown(socket.SHUT_RDWR)
    request_id, response = site.ask(host, prompt=False)
    assert response.status == 200 and len(site.platform.ran(request_id)) == 1
    assert [request.conn for request in replica.requests] == [1, 2]


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_connection_closed_after_the_last_check_is_no_proof_that_nothing_ran(site, how, monkeypatch):
    """The kernel accepts the bytes although the other end is closed: they count as written."""
    host, replicas = site.service("dd", engine=False, kind="once_only", tries=2, facts={"events": 0})
    for _ in range(60):  # until each has a kept connection, as ties between them are broken at random
        if not all(replica.requests for replica in replicas):
            site.ask(host, prompt=False)
    before, reused = platform_site.request_count(replicas), site.environment.kept.reused_count
    former_take = site.environment.kept.acquire

    def take_and_close(*args):
        conn = former_take(*args)
        assert conn  # an idle connection that was kept
        for replica in replicas:
            for connection in replica.conns:
                if connection.fileno() >= 0 and how == "reset":
                    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                if connection.fileno() >= 0:
                    connection.shutdown(socket.SHUT_RDWR)
        return conn

    monkeypatch.setattr(site.environment.kept, "acquire", take_and_close)
    request_id, response = site.ask(host, prompt=False)
    assert site.environment.kept.reused_count == reused + 1
    assert (
        is_unproven_failure(response)
        and site.platform.ran(request_id) == []
        and platform_site.request_count(replicas) == before
    )


def test_a_refused_connection_proves_not_run_and_the_request_goes_to_another_replica(site):
    host, replicas = site.service("dd", engine=False, kind="once_only", tries=2, facts={"events": 0})
    replicas[0].stop()
    for _ in range(4):
        request_id, response = site.ask(host, prompt=False)
        assert response.status == 200 and [run["replica"] for run in site.platform.ran(request_id)] == [
            replicas[1].name
        ]
