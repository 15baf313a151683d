"""Replicas whose responses have a head that violates the grammar: no client gets them as an answer."""

import pytest

import tests.broken_heads as broken_heads
import tests.framed_replicas as framed
import tests.platform_site as platform_site

Framing, Place = broken_heads.Framing, broken_heads.Place
CALLS = {
    "stream that may be resumed": {"kind": "stream", "resumable": True},
    "stream that may not be repeated": {"kind": "stream", "resumable": False},
    "body of a call that may be repeated": {"kind": "repeatable"},
    "body of a call that may not be repeated": {"kind": "once_only"},
}
MAY_RUN_AGAIN = ("stream that may be resumed", "body of a call that may be repeated")
BROKEN_BODY = framed.body_of("broken")


@pytest.fixture(scope="module")
def site():
    found = platform_site.Site()
    yield found
    found.stop()


def check_outcome(site, call, response_of):
    """Ask for a call whose first replica sends these bytes, and judge what the client gets of it."""
    host, replicas = site.service("dd", engine=False, tries=3, **CALLS[call])
    broken_heads.serve_response_once(site, replicas, response_of)
    client = framed.RawClient(site.address)
    request_id = framed.new_request_id()
    response = client.ask(host, request_id)
    client.close()
    assert b"vil" not in response.head and b"broken" not in response.head + response.body
    assert response.is_complete and response.surplus == b"" and not response.field("x-other")
    if call in MAY_RUN_AGAIN:
        assert response.head.startswith(b"HTTP/1.1 200 ") and response.body == framed.body_of("word")
        assert len(site.platform.ran(request_id)) == 2
    else:
        assert response.head.startswith(b"HTTP/1.1 502 ") and b'"may_have_run"' in response.body
        assert b"vil" not in response.body and len(site.platform.ran(request_id)) == 1


# Incident of broken answers (MIXED): a field name with a blank or a control byte was passed on, or changed the body.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL)
def test_a_field_name_with_a_blank_or_control_byte_is_no_answer(site, line, place, framing, call):
    check_outcome(site, call, lambda fields: broken_heads.broken_response(line, place, framing, BROKEN_BODY, fields))


@pytest.mark.parametrize("call", MAY_RUN_AGAIN)
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("line", broken_heads.OTHER_BROKEN_LINES)
def test_another_line_that_is_no_field_is_no_answer(site, line, place, call):
    check_outcome(
        site, call, lambda fields: broken_heads.broken_response(line, place, Framing.CHUNKS, BROKEN_BODY, fields)
    )


# Incident of broken answers: an answer of status 000 was passed on.
@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("framing", Framing)
def test_an_answer_of_status_000_is_no_answer(site, framing, call):
    check_status_line(site, b"HTTP/1.1 000 Said", framing, call)


@pytest.mark.parametrize("call", ["stream that may be resumed", "body of a call that may not be repeated"])
@pytest.mark.parametrize("status_line", broken_heads.BROKEN_STATUS_LINES)
def test_an_answer_with_a_malformed_status_line_is_no_answer(site, status_line, call):
    check_status_line(site, status_line, Framing.LENGTH, call)


def check_status_line(site, status_line, framing, call):
    """Judge an answer with this status line, whose fields are sound."""
    framing_fields = broken_heads.framing_fields_of(framing, BROKEN_BODY)

    def response_of(fields):
        lines = [b"%s: %s" % field for field in [*fields, *framing_fields]]
        return broken_heads.message(status_line, lines, framing, BROKEN_BODY)

    check_outcome(site, call, response_of)


def respond_with_trailer(site, line, **call):
    """Ask for a call whose first replica ends its chunks with this trailer; return what the client gets."""
    host, replicas = site.service("dd", engine=False, tries=3, **call)
    body = framed.bare_http.chunk(BROKEN_BODY) + b"0\r\n" + line + b"\r\n\r\n"

    def response_of(fields):
        lines = [b"%s: %s" % field for field in [*fields, (b"Transfer-Encoding", b"chunked")]]
        return b"\r\n".join([broken_heads.STATUS_LINE, *lines, b"", b""]) + body

    broken_heads.serve_response_once(site, replicas, response_of)
    return framed.ask(site, host)


# Guards against an answer that is taken for whole though a malformed trailer ends it.
@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL)
@pytest.mark.parametrize("kind, status, body", [("once_only", b"502", b""), ("repeatable", b"200", b"word")])
def test_a_whole_body_before_a_malformed_trailer_is_no_answer(site, kind, status, body, line):
    _id, response = respond_with_trailer(site, line, kind=kind)
    assert response.head.split()[1] == status and response.is_complete
    assert b"broken" not in response.body and body in response.body


@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL)
@pytest.mark.parametrize("resumable", [True, False])
def test_a_stream_before_a_malformed_trailer_is_not_complete(site, resumable, line):
    request_id, response = respond_with_trailer(site, line, kind="stream", resumable=resumable)
    assert response.body == BROKEN_BODY and response.is_complete == resumable  # another run confirms its end
    assert len(site.platform.ran(request_id)) == 1 + resumable


@pytest.mark.parametrize("kind", ["stream", "repeatable", "once_only"])
def test_a_sound_trailer_ends_an_answer(site, kind):
    request_id, response = respond_with_trailer(site, b"X-After: \xe9\r\nEmpty:", kind=kind)
    assert response.body == BROKEN_BODY and response.is_complete and len(site.platform.ran(request_id)) == 1


# Guards against a number of a head that int() refuses, for which a whole answer was lost.
@pytest.mark.parametrize("value", ["9" * 5000, "9" * 20, "-5", "0", "\xb2", "", "x"], ids=lambda value: value[:20])
@pytest.mark.parametrize("kind", ["stream", "once_only"])
def test_an_answer_is_whole_whatever_idle_time_its_head_tells(site, kind, value):
    run = framed.Run(Framing.LENGTH, headers=(("Keep-Alive", f"timeout={value}"),))
    host, _replicas = framed.serve_runs(site, run, legs="d", kind=kind, resumable=False)
    client = framed.RawClient(site.address)
    for _request in range(2):
        response = client.ask(host, framed.new_request_id())
        assert response.body == framed.body_of("word") and response.is_complete and client.is_open
    client.close()


SOUND_FIELDS = [
    (broken_heads.TOKEN_BYTES, b"v"),
    (b"X-Empty", b""),
    (b"X-Tab", b"a\tb  c"),
    (b"X-Separators", b'"(),/:;<=>?@[\\]{}'),
    (b"X-High", bytes(range(0x80, 0x100))),
    (b"X-Twice", b"1"),
    (b"X-Twice", b"2"),
    (b"From", b"x y: z"),
    (b"X-Long", b"a" * 60000),
]


@pytest.mark.parametrize("call", CALLS)
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("reason", [b"Said", b"", b"\xe9t\xe9 (\t)"])
def test_whatever_the_grammar_allows_reaches_the_client_byte_for_byte(site, reason, framing, call):
    def response_of(fields):
        own_fields = [*SOUND_FIELDS[:4], *fields, *broken_heads.framing_fields_of(framing, BROKEN_BODY)]
        lines = [name + b":" + value + b" \t" for name, value in [*own_fields, *SOUND_FIELDS[4:]]]
        return broken_heads.message(b"HTTP/1.1 200 " + reason, lines, framing, BROKEN_BODY)

    host, replicas = site.service("d", engine=False, **CALLS[call])
    broken_heads.serve_response_once(site, replicas, response_of)
    _id, response = framed.ask(site, host)
    status_line, *lines = response.head.split(b"\r\n")
    assert status_line == (b"HTTP/1.1 200 " + reason) and response.is_complete and response.body == BROKEN_BODY
    own_names = {name for name, _value in SOUND_FIELDS}
    assert [line for line in lines if line.partition(b":")[0] in own_names] == [
        name + b": " + value for name, value in SOUND_FIELDS
    ]


@pytest.mark.parametrize("status", [200, 203, 299, 300, 399, 400, 499, 500, 599])
def test_every_final_status_of_the_grammar_reaches_the_client(site, status):
    host, _replicas = framed.serve_runs(site, framed.Run(Framing.LENGTH, status=status), legs="d", kind="once_only")
    _id, response = framed.ask(site, host)
    assert response.head.startswith(b"HTTP/1.1 %d Said" % status) and response.body == framed.body_of("word")


# Guards against a handle that is taken from a malformed answer to a prefill.
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("line", [b"X Evil: 1", b"X\x01Evil: 1", b" X-Evil: 1"])
def test_a_prefill_with_a_malformed_head_gives_no_handle(site, line, place, framing):
    host, (prefill_replica, decode_replica) = site.service("pd")
    body = b'{"consignment": "h1", "tokens": 1, "edition": 1}'

    def take(conn, request, fault):
        fields = [(b"Try-Id", request.get("Try-Id").encode()), (b"Content-Type", b"application/json")]
        conn.sendall(broken_heads.broken_response(line, place, framing, body, fields))
        return False

    prefill_replica.take = take
    _id, answer = site.ask(host)
    assert answer.complete and answer.body == platform_site.event_bytes()
    assert prefill_replica.requests and not decode_replica.requests[0].get("Cache-From")


# Guards against a further run under a head that the client has, if the head of that run is malformed.
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("line", [b"X Evil: 1", b"X\x01Evil: 1", b" X-Evil: 1"])
def test_a_further_run_with_a_malformed_head_is_replaced_by_another(site, line, place):
    broken_run = framed.Run(break_after=len(framed.events_of("word")[0]))
    host, replicas = framed.serve_runs(site, broken_run, framed.Run(words="third"))
    usual_runs, asked = {replica.name: replica.run for replica in replicas}, []

    for replica in replicas:

        def run(conn, request, fault, headers, replica=replica):
            asked.append(replica)
            if len(asked) != 2:
                return usual_runs[replica.name](conn, request, fault, headers)
            fields = [*headers, ("Postmark", "stamp.0"), ("Content-Type", "text/event-stream")]
            rows = [(name.encode(), value.encode()) for name, value in fields]
            conn.sendall(broken_heads.broken_response(line, place, Framing.LENGTH, framed.body_of("broken", 2), rows))
            return False

        replica.run = run
    _id, response = framed.ask(site, host)
    assert response.is_complete and len(asked) == 3
    assert response.body == framed.body_of("word", last=1) + framed.body_of("third", first=2)
