"""Each moment at which an answer may break, by way and kind of request: what runs, what the caller is told."""

import socket
import struct

import pytest

import tests.bare_http as bare_http
import tests.platform_site as platform_site
import tests.platform_stand_in as stand_in

RESET = struct.pack("ii", 1, 0)  # SO_LINGER that makes a close a reset
EVENTS = 4


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def end_by(conn, how):
    """Ends the exchange: by a close, a reset, a half-close that says nothing more, or by silence."""
    if how == "reset":
        conn.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
        conn.close()
        raise OSError("reset")
    if how == "half-close":
        conn.shutdown(socket.SHUT_WR)
    if how != "close":
        conn.recv(1)  # until the router gives up
    return False


def sent_before(moment, head, pieces):
    """The bytes of the answer that go out before it breaks."""
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
    """The replica begins to run each request, and its answer breaks there."""

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


def served(site, how, moment, **more):
    """One request whose first replica breaks off: (its runs, answer, replicas asked)."""
    once = more["kind"] == "once_only" or more["kind"] == "stream" and not more.get("resumable")
    patience = 900 if how in ("silence", "half-close") and once else 4000
    facts = {"events": 4 if more["kind"] == "stream" else 0}
    host, replicas = site.service("dd", engine=False, tries=2, deadline_ms=patience, facts=facts, **more)
    taken = []
    for replica in replicas:
        whole = replica.run
        break_at(replica, moment, how)

        def run(conn, request, fault, headers, whole=whole, broken=replica.run):
            taken.append(request)
            return (broken if len(taken) == 1 else whole)(conn, request, fault, headers)

        replica.run = run
    own, answer = site.ask(host, prompt=False)
    platform_site.until(lambda: site.router.in_flight == 0)
    return site.platform.ran(own), answer, platform_site.asked(replicas)


def is_unproven_failure(answer):
    return answer.status in (502, 504) and b"may_have_run" in answer.body and "Postmark" not in answer.headers


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_request_that_runs_once_is_never_sent_again(site, moment, how):
    runs, answer, count = served(site, how, moment, kind="once_only")
    assert len(runs) == count == 1 and is_unproven_failure(answer)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_stream_that_runs_once_is_never_sent_again(site, moment, how):
    runs, answer, count = served(site, how, moment, kind="stream")
    assert len(runs) == count == 1
    if moment in ("before the head", "in the head", "after the head"):
        assert is_unproven_failure(answer)
    else:  # whole events only, and never an answer that looks complete
        last = 2 if moment == "in the body" else EVENTS
        assert answer.status == 200 and not answer.complete and answer.body == platform_site.pieces(1, last)


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_repeatable_request_is_served_by_another_replica(site, moment, how):
    runs, answer, count = served(site, how, moment, kind="repeatable")
    assert len(runs) == count == 2 and len({run["replica"] for run in runs}) == 2
    assert (answer.status, answer.body, answer.complete) == (200, b"said", True)
    assert answer.headers["Postmark"] == runs[-1]["stamp"]


@pytest.mark.parametrize("how", ENDS)
@pytest.mark.parametrize("moment", MOMENTS)
def test_a_resumable_stream_is_whole_with_no_piece_twice(site, moment, how):
    runs, answer, count = served(site, how, moment, kind="stream", resumable=True)
    assert count == 2 and len(runs) == 2 and len({run["replica"] for run in runs}) == 2
    assert (answer.status, answer.body, answer.complete) == (200, platform_site.pieces(), True)
    begun = moment not in ("before the head", "in the head", "after the head")
    assert answer.headers.get_all("Postmark") == [runs[0 if begun else 1]["stamp"]]


def test_a_connection_that_died_idle_is_seen_before_the_write_and_another_one_made(site):
    host, (replica,) = site.service("d", engine=False, kind="once_only", facts={"events": 0})
    site.ask(host, prompt=False)
    replica.conns[-1].shutdown(socket.SHUT_RDWR)
    own, answer = site.ask(host, prompt=False)
    assert answer.status == 200 and len(site.platform.ran(own)) == 1
    assert [request.conn for request in replica.asked] == [1, 2]


@pytest.mark.parametrize("how", ["close", "reset"])
def test_a_connection_that_dies_after_the_last_look_at_it_proves_nothing(site, how, monkeypatch):
    """The kernel takes the bytes although the other end is gone: they count as written."""
    host, replicas = site.service("dd", engine=False, kind="once_only", tries=2, facts={"events": 0})
    for _ in range(6):
        site.ask(host, prompt=False)
    before, reused = platform_site.asked(replicas), site.environment.kept.reused
    take = site.environment.kept.take

    def taken(*words):
        conn = take(*words)
        assert conn  # a kept one
        for replica in replicas:
            for other in replica.conns:
                if other.fileno() >= 0 and how == "reset":
                    other.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, RESET)
                if other.fileno() >= 0:
                    other.shutdown(socket.SHUT_RDWR)
        return conn

    monkeypatch.setattr(site.environment.kept, "take", taken)
    own, answer = site.ask(host, prompt=False)
    assert site.environment.kept.reused == reused + 1
    assert is_unproven_failure(answer) and site.platform.ran(own) == [] and platform_site.asked(replicas) == before


def test_a_refused_connection_is_a_proof_and_the_request_goes_elsewhere(site):
    host, replicas = site.service("dd", engine=False, kind="once_only", tries=2, facts={"events": 0})
    replicas[0].stop()
    for _ in range(4):
        own, answer = site.ask(host, prompt=False)
        assert answer.status == 200 and [run["replica"] for run in site.platform.ran(own)] == [replicas[1].name]
