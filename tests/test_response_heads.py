"""Heads of resumed streams: they promise nothing that only the first run could keep."""

import time

import pytest

import mothshed.data_plane.response_start as response_start_module
import tests.framed_replicas as framed
import tests.platform_site as platform_site

Framing, Run = framed.Framing, framed.Run
FIRST_EVENT_BYTES = len(framed.events_of("word")[0])
BROKEN_RUN = {"break_after": FIRST_EVENT_BYTES}
DECLARED = (Framing.LENGTH, Framing.CHUNKS)
FRAMINGS = tuple(Framing)


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


# Incident review/2 (MIXED): a resumed stream was cut at the length of its first run, and looked complete.
@pytest.mark.parametrize("words", ["longer words", "w", "lord"])
@pytest.mark.parametrize("further", FRAMINGS)
@pytest.mark.parametrize("first", DECLARED)
def test_a_resumed_stream_is_whole_whatever_the_length_of_its_further_run(site, first, further, words):
    host, _replicas = framed.serve_runs(site, Run(first, **BROKEN_RUN), Run(further, words))
    client = framed.RawClient(site.address)
    for _request in range(2):  # the second one finds nothing on the connection that belongs to the first
        response = client.ask(host, framed.new_request_id())
        assert response.body == framed.body_of("word", last=1) + framed.body_of(words, first=2)
        assert response.is_complete and response.surplus == b"" and response.field("content-length") is None
    client.close()


# Guards against the rest of a body that is left on a kept connection and taken for the next response.
def test_a_stream_with_a_length_that_is_not_resumed_breaks_visibly(site):
    host, _replicas = framed.serve_runs(site, Run(Framing.LENGTH, **BROKEN_RUN), legs="d", tries=1)
    client = framed.RawClient(site.address)
    response = client.ask(host, framed.new_request_id())
    assert response.body == framed.body_of("word", last=1) and not response.is_complete and not client.is_open


# Guards against a client that checks a digest or an entity tag of the first run against the joined body.
@pytest.mark.parametrize("name", sorted(response_start_module.SINGLE_RUN_HEADERS - {"content-length"}))
def test_a_field_that_describes_the_bytes_of_the_first_run_is_not_sent(site, name):
    field = ((name.title(), "value"),)
    host, _replicas = framed.serve_runs(site, Run(headers=field, **BROKEN_RUN), Run(headers=field))
    _id, response = framed.ask(site, host)
    assert response.is_complete and response.field(name) is None and response.field("postmark")


@pytest.mark.parametrize("more", [{"resumable": False}, {"kind": "repeatable"}, {"kind": "once_only"}])
@pytest.mark.parametrize("framing", DECLARED)
def test_a_response_of_one_run_keeps_the_fields_that_describe_it(site, more, framing):
    fields = (("Content-Digest", "sha-256=:AA==:"), ("ETag", '"x"'))
    host, _replicas = framed.serve_runs(site, Run(framing, headers=fields), **more)
    _id, response = framed.ask(site, host)
    assert response.is_complete and response.body == framed.body_of("word")
    assert (response.field("content-digest"), response.field("etag")) == ("sha-256=:AA==:", '"x"')
    if more.get("kind") or framing is Framing.LENGTH:  # the length is known before anything is sent
        assert response.field("content-length") == str(len(response.body))


# Guards against a body of which one part is encoded and another is not, or that starts as a range.
@pytest.mark.parametrize("first", [{"headers": (("Content-Encoding", "gzip"),)}, {"status": 206}, {"status": 404}])
def test_a_head_that_holds_for_one_run_only_is_followed_by_no_other(site, first):
    host, _replicas = framed.serve_runs(site, Run(**first, **BROKEN_RUN), Run())
    request_id, response = framed.ask(site, host, headers=[("Last-Event-Id", "0")])
    assert not response.is_complete and len(site.platform.ran(request_id)) == 1


@pytest.mark.parametrize(
    "other",
    [
        {"headers": (("Content-Encoding", "gzip"),)},
        {"headers": (("Content-Range", "bytes 0-9/10"),)},
        {"content_type": "application/json"},
        {"status": 206},
        {"status": 404},
    ],
)
def test_a_further_run_that_can_not_follow_the_head_is_replaced_by_another(site, other):
    host, _replicas = framed.serve_runs(site, Run(**BROKEN_RUN), Run(words="other", **other), Run(words="third"))
    request_id, response = framed.ask(site, host)
    assert response.is_complete and len(site.platform.ran(request_id)) == 3
    assert response.body == framed.body_of("word", last=1) + framed.body_of("third", first=2)


def test_a_further_run_that_begins_too_early_is_replaced_by_another(site):
    host, replicas = framed.serve_runs(site, Run(**BROKEN_RUN), Run())
    usual_runs = {replica.name: replica.run for replica in replicas}
    counts = []

    for replica in replicas:

        def run(conn, request, fault, headers, replica=replica):
            counts.append(replica)
            if len(counts) == 2:  # the second run ignores the event after which it should begin
                request.headers = [row for row in request.headers if row[0] != "Last-Event-Id"]
            return usual_runs[replica.name](conn, request, fault, headers)

        replica.run = run
    _id, response = framed.ask(site, host)
    assert response.is_complete and response.body == framed.body_of("word") and len(counts) == 3


@pytest.mark.parametrize("framing", DECLARED)
@pytest.mark.parametrize("short_bytes", range(1, 9))
def test_a_break_within_the_last_event_is_completed_elsewhere(site, framing, short_bytes):
    broken = Run(framing, break_after=len(framed.body_of("word")) - short_bytes)
    host, _replicas = framed.serve_runs(site, broken, Run(words="second words"))
    _id, response = framed.ask(site, host)
    assert response.is_complete
    assert response.body == framed.body_of("word", last=3) + framed.body_of("second words", first=4)


@pytest.mark.parametrize("framing", DECLARED)
def test_a_stream_that_finds_no_further_run_breaks_visibly(site, framing):
    host, _replicas = framed.serve_runs(site, Run(framing, **BROKEN_RUN), legs="d")
    _id, response = framed.ask(site, host)
    assert response.body == framed.body_of("word", last=1) and not response.is_complete


def rest_after_first_event(replica, run):
    """Have a replica send the head and the first event of a run, and nothing more until the router leaves."""

    def send(conn, request, fault, headers):
        replica.platform.runs.append({"id": request.get("Try-Id"), "replica": replica.name, "after": 0})
        head, pieces = framed.head_and_body(run, [*headers, ("Postmark", "stamp.0")], framed.events_of(run.words))
        conn.sendall(head + pieces[0])
        conn.settimeout(5)
        replica.left += conn.recv(1) == b""
        return False

    replica.run = send


# Guards against the length of a silent run in the head of a stream that a hedge goes on with.
@pytest.mark.parametrize("further", FRAMINGS)
@pytest.mark.parametrize("first", FRAMINGS)
def test_a_stream_that_a_hedge_takes_over_is_whole(site, first, further):
    host, replicas = framed.serve_runs(site, Run(further, "longer words"), legs="dd", tries=2)
    usual_runs, asked = {replica.name: replica.run for replica in replicas}, []

    for replica in replicas:
        rest_after_first_event(replica, Run(first))

        def run(conn, request, fault, headers, replica=replica, rest=replica.run):
            asked.append(replica)
            return (rest if len(asked) == 1 else usual_runs[replica.name])(conn, request, fault, headers)

        replica.run = run
    _id, response = framed.ask(site, host)
    assert response.body == framed.body_of("word", last=1) + framed.body_of("longer words", first=2)
    assert response.is_complete and response.surplus == b"" and len(asked) == 2


# Guards against the same where the first run breaks while the hedge is still waited for.
@pytest.mark.parametrize("first", DECLARED)
def test_a_stream_that_adopts_its_hedge_after_a_break_is_whole(site, first):
    host, replicas = framed.serve_runs(site, Run(Framing.LENGTH, "longer words"), legs="dd", tries=2)
    usual_runs, asked = {replica.name: replica.run for replica in replicas}, []

    for replica in replicas:

        def run(conn, request, fault, headers, replica=replica):
            asked.append(replica)
            if len(asked) == 2:
                time.sleep(0.3)  # the first run has broken off
                return usual_runs[replica.name](conn, request, fault, headers)
            fields = [*headers, ("Postmark", "stamp.0")]
            head, pieces = framed.head_and_body(Run(first), fields, framed.events_of("word"))
            conn.sendall(head + pieces[0])
            platform_site.wait_until(lambda: len(asked) == 2)
            return False

        replica.run = run
    _id, response = framed.ask(site, host)
    assert response.body == framed.body_of("word", last=1) + framed.body_of("longer words", first=2)
    assert response.is_complete and response.surplus == b"" and len(asked) == 2


# Guards against a hedge whose response belongs under another head, and that ends a stream whose replica only rests.
def test_a_hedge_that_can_not_follow_the_head_does_not_end_the_first_run(site):
    host, replicas = framed.serve_runs(site, Run(content_type="application/json"), legs="dd", tries=2)
    usual_runs, asked = {replica.name: replica.run for replica in replicas}, []

    for replica in replicas:

        def run(conn, request, fault, headers, replica=replica):
            asked.append(replica)
            if len(asked) > 1:
                return usual_runs[replica.name](conn, request, fault, headers)
            first, *others = map(framed.bare_http.chunk, framed.events_of("word"))
            fields = [*headers, ("Postmark", "stamp.0"), ("Content-Type", "text/event-stream")]
            conn.sendall(framed.bare_http.head(200, [*fields, ("Transfer-Encoding", "chunked")]) + first)
            platform_site.wait_until(lambda: len(asked) == 2)
            time.sleep(0.2)  # the hedge's response has arrived
            conn.sendall(b"".join(others) + b"0\r\n\r\n")
            return True

        replica.run = run
    _id, response = framed.ask(site, host)
    assert response.is_complete and response.body == framed.body_of("word") and len(asked) == 2
