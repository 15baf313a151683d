"""Responses of replicas without a length or chunks, which end with their connection, and heads that are cut off."""

import pytest

import tests.bare_http as bare_http
import tests.framed_replicas as framed
import tests.platform_site as platform_site

Framing, Run = framed.Framing, framed.Run
UNFRAMED = Run(Framing.CONNECTION)
EVENT_BYTES = len(framed.events_of("word")[0])
BODY_BYTES = len(framed.body_of("word"))
HEAD = bare_http.head(200, [("Try-Id", "t"), ("Postmark", "stamp.0"), ("Content-Type", "text/event-stream")])


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


# Guards against the refusal (502, and a replica kept away from new requests) of an answer that NEWS-18 allows.
@pytest.mark.parametrize("version", ["1.1", "1.0"])
@pytest.mark.parametrize("split", [True, False])
@pytest.mark.parametrize("more", [{}, {"resumable": False}, {"kind": "repeatable"}, {"kind": "once_only"}], ids=str)
def test_a_response_that_ends_with_its_connection_is_delivered_whole(site, more, split, version):
    host, replicas = framed.serve_runs(site, Run(Framing.CONNECTION, split=split), legs="d", **more)
    for _request in range(3):
        request_id, response = framed.ask(site, host, version)
        assert response.head.split()[1] == b"200" and response.is_complete
        assert response.body == framed.body_of("word") and response.surplus == b""
        assert len(site.platform.ran(request_id)) == 1
    assert len({request.conn for request in replicas[0].requests}) == 3  # no connection is used again


def test_a_response_without_a_length_leaves_the_client_its_connection(site):
    host, _replicas = framed.serve_runs(site, UNFRAMED)
    client = framed.RawClient(site.address)
    bodies = [client.ask(host, framed.new_request_id()).body for _request in range(3)]
    assert bodies == [framed.body_of("word")] * 3 and client.is_open
    client.close()


def test_an_error_without_a_length_is_passed_on_whole(site):
    host, _replicas = framed.serve_runs(site, Run(Framing.CONNECTION, status=500, words="own failure"), legs="d")
    _id, response = framed.ask(site, host)
    assert response.head.split()[1] == b"500" and response.body == framed.body_of("own failure")
    assert response.is_complete


@pytest.mark.parametrize("events", range(1, framed.LAST_EVENT))
def test_a_stream_that_is_reset_continues_elsewhere(site, events):
    broken = Run(Framing.CONNECTION, break_after=events * EVENT_BYTES, reset=True, split=True)
    host, replicas = framed.serve_runs(site, broken, Run(words="more"))
    _id, response = framed.ask(site, host)
    assert response.is_complete
    # a reset may also lose events that were sent before it
    whole = [framed.body_of("word", last=n) + framed.body_of("more", first=n + 1) for n in range(1, events + 1)]
    assert response.body in [*whole, framed.body_of("more")]


@pytest.mark.parametrize("resumable", [True, False])
@pytest.mark.parametrize("short_bytes", range(1, EVENT_BYTES))
def test_a_stream_that_ends_within_its_last_event_is_not_complete(site, short_bytes, resumable):
    broken = Run(Framing.CONNECTION, break_after=BODY_BYTES - short_bytes)
    host, _replicas = framed.serve_runs(site, broken, Run(words="more"), resumable=resumable, legs="dd")
    _id, response = framed.ask(site, host)
    received = framed.body_of("word", last=framed.LAST_EVENT - 1)
    last = framed.body_of("more", first=framed.LAST_EVENT) if resumable else b""
    assert response.body == received + last and response.is_complete == resumable


# It can't be told from an answer that ends there: "A replica's answer may have no length and end with its connection".
def test_a_stream_that_ends_between_two_events_is_complete(site):
    host, _replicas = framed.serve_runs(site, Run(Framing.CONNECTION, break_after=EVENT_BYTES))
    request_id, response = framed.ask(site, host)
    assert response.body == framed.body_of("word", last=1) and response.is_complete
    assert len(site.platform.ran(request_id)) == 1


@pytest.mark.parametrize("kind, statuses", [("once_only", (b"502",)), ("repeatable", (b"200",))])
def test_a_whole_answer_that_is_reset_is_not_complete(site, kind, statuses):
    broken = Run(Framing.CONNECTION, break_after=BODY_BYTES, reset=True)
    host, _replicas = framed.serve_runs(site, broken, Run(words="more"), kind=kind)
    _id, response = framed.ask(site, host)
    assert response.head.split()[1] in statuses
    assert response.head.split()[1] != b"200" or response.body == framed.body_of("more")


def send_bytes(replicas, first):
    """Have the replica that is asked first send these bytes and close its connection."""
    platform_site.inject_fault_once(replicas, {"garbage": first})


# Guards against a head that the end of its connection cuts off and that passes for one without a length.
@pytest.mark.parametrize("cut", range(1, len(HEAD)))
def test_a_head_that_is_cut_off_is_no_response(site, cut):
    host, replicas = framed.serve_runs(site, UNFRAMED, legs="dd")
    send_bytes(replicas, HEAD[:cut])
    request_id = "t"
    client = framed.RawClient(site.address)
    response = client.ask(host, request_id)
    client.close()
    assert (
        response.is_complete and response.body == framed.body_of("word") and platform_site.request_count(replicas) == 2
    )


@pytest.mark.parametrize("status", [204, 304])
@pytest.mark.parametrize("fields", [(), (("Transfer-Encoding", "chunked"),), (("Content-Length", "9"),)], ids=str)
def test_a_status_without_a_body_has_none_whatever_its_head_says(site, status, fields):
    host, replicas = site.service("d", engine=False, kind="repeatable", facts={"events": 0})
    (replica,) = replicas

    def run(conn, request, fault, headers):
        conn.sendall(bare_http.head(status, [*headers, ("Postmark", "stamp.0"), *fields]))
        return True

    replica.run = run
    client = framed.RawClient(site.address)
    for _request in range(2):
        response = client.ask(host, framed.new_request_id())
        assert response.head.split()[1] == str(status).encode() and response.body == response.surplus == b""
    client.close()
    assert {request.conn for request in replica.requests} == {1}


@pytest.mark.parametrize("framing", [Framing.LENGTH, Framing.CHUNKS])
@pytest.mark.parametrize("kind", ["stream", "repeatable"])
def test_a_response_to_head_is_complete_without_a_body(site, kind, framing):
    host, (replica,) = site.service("d", engine=False, kind=kind, resumable=True, facts={"events": 0})
    field = ("Content-Length", "9") if framing is Framing.LENGTH else ("Transfer-Encoding", "chunked")

    def run(conn, request, fault, headers):
        conn.sendall(bare_http.head(200, [*headers, ("Postmark", "stamp.0"), field]))
        return True

    replica.run = run
    client = framed.RawClient(site.address)
    response = client.ask(host, framed.new_request_id(), method="HEAD")
    assert response.head.split()[1] == b"200" and response.surplus == b""
    assert response.field("content-length") == ("9" if framing is Framing.LENGTH else None)
    client.close()


# Guards against bytes after a response without a body, which would be taken for the next response.
@pytest.mark.parametrize("head", [(204, ()), (304, ()), (200, (("Content-Length", "0"),))], ids=str)
def test_bytes_after_a_response_without_a_body_belong_to_no_request(site, head):
    status, fields = head
    host, (replica,) = site.service("d", engine=False, kind="repeatable", facts={"events": 0})
    usual_run = replica.run

    def run(conn, request, fault, headers):
        if len(replica.requests) > 1:
            return usual_run(conn, request, fault, headers)
        surplus = bare_http.response_bytes(200, [("Try-Id", "other"), ("Postmark", "stamp.0")], b"of another request")
        conn.sendall(bare_http.head(status, [*headers, ("Postmark", "stamp.0"), *fields]) + surplus[:-5])
        return True

    replica.run = run
    client = framed.RawClient(site.address)
    assert client.ask(host, framed.new_request_id()).surplus == b""
    assert client.ask(host, framed.new_request_id()).body == b"said"
    client.close()
    assert [request.conn for request in replica.requests] == [1, 2]


def test_a_prefill_without_a_length_gives_its_handle(site):
    host, (prefill_replica, decode_replica) = site.service("pd")

    def take(conn, request, fault, usual_take=prefill_replica.take):
        prefill_replica.held["h1"] = request.get("Try-Id")
        fields = [("Try-Id", request.get("Try-Id")), ("Content-Type", "application/json")]
        conn.sendall(bare_http.head(200, fields) + b'{"consignment": "h1", "tokens": 1, "edition": 1}')
        return False

    prefill_replica.take = take
    _id, answer = site.ask(host)
    assert answer.complete and answer.body == platform_site.event_bytes() and not prefill_replica.held
    assert decode_replica.requests[0].get("Cache-From").endswith("/h1")


# Guards against an idle HTTP/1.0 client whose unfinished stream looks complete once its connection is given up.
def test_an_overdue_stream_of_an_http_1_0_client_is_reset(site):
    run = Run(Framing.CHUNKS, break_after=EVENT_BYTES)
    host, (replica,) = framed.serve_runs(site, run, legs="d", deadline_ms=700)

    def rest(conn, request, fault, headers):
        fields = [*headers, ("Postmark", "stamp.0"), ("Transfer-Encoding", "chunked")]
        conn.sendall(bare_http.head(200, fields) + bare_http.chunk(framed.events_of("word")[0]))
        conn.settimeout(5)
        return bool(conn.recv(1))

    replica.run = rest
    _id, response = framed.ask(site, host, version="1.0")
    assert response.body == framed.body_of("word", last=1) and not response.is_complete
