"""Every way in which a response is read: a malformed one is an error that proves nothing, a sound one arrives whole."""

import dataclasses
import http.client
import json
import os
import types

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.http.connection as connection
import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import mothshed.http.message_grammar as message_grammar
import mothshed.programs.environment as environment_module
import mothshed.programs.operator_client as operator_client
import mothshed.replicas.platform_list as platform_list
import mothshed.replicas.replica_adapter as replica_adapter
import tests.bare_http as bare_http
import tests.broken_heads as broken_heads
import tests.platform_site as platform_site

Framing, Place = broken_heads.Framing, broken_heads.Place
EXAMPLES = int(os.environ.get("MOTHSHED_EXAMPLES", "60"))
BOUNDED = hypothesis.settings(derandomize=True, max_examples=EXAMPLES, deadline=None, database=None)
BODY = json.dumps({"error": {"message": "unchecked"}, "items": [], "replicas": [], "consignment": "h"}).encode() + b"\n"
READ_TIMEOUT_S = 2.0


@pytest.fixture(scope="module")
def server():
    found = broken_heads.RawServer()
    yield found
    found.stop()


def read_by_exchange(address):
    """Return the fields and the body of a response to a send on a kept connection."""
    pool = connection_pool.ConnectionPool(lambda: 0.0)
    reply = pool.exchange("POST", address, "/x", {}, b"b", READ_TIMEOUT_S)
    return reply.headers, reply.all()


def read_by_send(address):
    """Return the fields and the body of a response to a send on a connection of its own."""
    response = http_client.HttpClient().send("POST", f"http://{address}/x", {}, read=READ_TIMEOUT_S)
    return response.headers, json.dumps(response.body()).encode() + b"\n"


def read_lines_by_send(address):
    """Return the fields and the body of a response that is read line by line."""
    response = http_client.HttpClient().send("POST", f"http://{address}/x", {}, read=READ_TIMEOUT_S)
    return response.headers, b"".join(line + b"\n" for line in response.lines())


def read_by_poll(address):
    """Return the body of a response to a poll."""
    _status, answer = http_client.HttpClient().poll("GET", f"http://{address}/x")
    return None, json.dumps(answer).encode() + b"\n"


def read_by_operator(address):
    """Return the body of a response to a command of the operator; raises ExchangeError if there is none."""
    pool = connection.AddressPools()
    status, answer = operator_client.attempt(pool, "GET", f"http://{address}/x", None)
    if status == 503:
        assert answer["error"]["verdict"] == "may_have_run"
        raise http_client.ExchangeError(answer["error"]["message"], True)
    return None, json.dumps(answer).encode() + b"\n"


def read_by_operator_from_each(address):
    """Return the body of a response to a command that asks every address; raises ExchangeError if there is none."""
    answer = operator_client.fetch_each([address], "/x", text=True)[address]
    if answer is None:
        raise http_client.ExchangeError("no answer", True)
    return None, answer.encode()


READERS = {
    "kept connection": read_by_exchange,
    "own connection": read_by_send,
    "own connection, by lines": read_lines_by_send,
    "poll": read_by_poll,
    "operator": read_by_operator,
    "operator, each address": read_by_operator_from_each,
}


def check_refused(server, read, *responses):
    """Check that these responses are an error that proves nothing, and that its text quotes nothing of them."""
    server.responses, server.requests[:] = list(responses), []
    with pytest.raises(http_client.ExchangeError) as error:
        read(server.address)
    assert error.value.sent and len(server.requests) == 1
    assert "vil" not in str(error.value) and "unchecked" not in str(error.value)


def check_read(server, read, response, fields=()):
    """Check that a sound response is read whole, and its fields unchanged."""
    server.responses = [response]
    headers, body = read(server.address)
    assert body == BODY
    if headers is not None:
        assert [row for row in headers.items() if row[0] in dict(fields)] == list(fields)


# Incident of broken answers (MIXED), for every reader of responses.
@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("framing", Framing)
@pytest.mark.parametrize("place", Place)
@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL + broken_heads.OTHER_BROKEN_LINES)
def test_a_malformed_field_line_is_no_answer_to_any_reader(server, line, place, framing, read):
    check_refused(server, read, broken_heads.broken_response(line, place, framing, BODY))


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("status_line", broken_heads.BROKEN_STATUS_LINES)
def test_a_malformed_status_line_is_no_answer_to_any_reader(server, status_line, read):
    lines = [b"%s: %s" % field for field in broken_heads.framing_fields_of(Framing.LENGTH, BODY)]
    check_refused(server, read, broken_heads.message(status_line, lines, Framing.LENGTH, BODY))


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("position", ["before", "within", "after"])
def test_no_reader_takes_a_name_with_any_blank_or_control_byte(server, position, read):
    for number in broken_heads.BLANKS_AND_CONTROLS:
        byte = bytes([number])
        line = {"before": byte + b"X-Evil: 1", "within": b"X" + byte + b"Evil: 1", "after": b"X-Evil" + byte + b": 1"}
        response = broken_heads.broken_response(line[position], Place.BEFORE_FRAMING, Framing.LENGTH, BODY)
        check_refused(server, read, response)


UNCLEAR_FRAMINGS = [
    [b"Content-Length: +%d" % len(BODY)],
    [b"Content-Length: %d_" % len(BODY)],
    [b"Content-Length: 1_0"],
    [b"Content-Length: -1"],
    [b"Content-Length: 0x10"],
    [b"Content-Length: "],
    [b"Content-Length: %d, %d" % (len(BODY), len(BODY))],
    [b"Content-Length: " + b"9" * 5000],
    [b"Content-Length: %d" % len(BODY), b"Content-Length: 2"],
    [b"Content-Length: \xb2"],
    [b"Transfer-Encoding: chunked", b"Content-Length: %d" % len(BODY)],
    [b"Transfer-Encoding: identity"],
    [b"Transfer-Encoding: chunked", b"Transfer-Encoding: chunked"],
    [b"Transfer-Encoding: xchunked"],
]


# Guards against lengths that are read by int(), and against framing that two readers can understand differently.
@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("lines", UNCLEAR_FRAMINGS, ids=lambda lines: lines[0][:40])
def test_a_head_that_frames_its_body_unclearly_is_no_answer(server, lines, read):
    chunked = lines[0] == b"Transfer-Encoding: chunked"
    body = broken_heads.framed_body(Framing.CHUNKS if chunked else Framing.LENGTH, BODY)
    head = b"\r\n".join([broken_heads.STATUS_LINE, *lines, b"", b""])
    check_refused(server, read, head + body)


CHUNKED_HEAD = b"\r\n".join([broken_heads.STATUS_LINE, b"Transfer-Encoding: chunked", b"", b""])
SIZE = b"%x" % len(BODY)
BROKEN_CHUNKS = {
    "prefix": b"0x" + SIZE + b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "sign": b"+" + SIZE + b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "negative": b"-1\r\n" + BODY + b"\r\n0\r\n\r\n",
    "underscore": b"_".join([SIZE[:1], SIZE[1:]]) + b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "blank before": b" " + SIZE + b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "control byte after": SIZE + b"\x0b\r\n" + BODY + b"\r\n0\r\n\r\n",
    "bare line feed": SIZE + b"\n" + BODY + b"\r\n0\r\n\r\n",
    "other bytes after the chunk": SIZE + b"\r\n" + BODY + b"xx0\r\n\r\n",
    "no size": b"\r\n" + BODY + b"\r\n0\r\n\r\n",
    "no last chunk": SIZE + b"\r\n" + BODY + b"\r\n",
    "last chunk without a trailer": SIZE + b"\r\n" + BODY + b"\r\n0\r\n",
    "trailer that is cut off": SIZE + b"\r\n" + BODY + b"\r\n0\r\nX-After: 1\r\n",
}


# Guards against sizes that are read by int(), and against a body that is taken for whole though its end is missing.
@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("chunks", BROKEN_CHUNKS.values(), ids=BROKEN_CHUNKS)
def test_malformed_chunks_are_no_answer(server, chunks, read):
    check_refused(server, read, CHUNKED_HEAD + chunks)


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL + broken_heads.OTHER_BROKEN_LINES)
def test_a_malformed_trailer_is_no_answer(server, line, read):
    check_refused(server, read, CHUNKED_HEAD + bare_http.chunk(BODY) + b"0\r\n" + line + b"\r\n\r\n")
    check_refused(server, read, CHUNKED_HEAD + bare_http.chunk(BODY) + b"0\r\nX-A: 1\r\n" + line + b"\r\n\r\n")


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("size", [SIZE, SIZE.upper(), b"000" + SIZE, SIZE + b" \t", SIZE + b';name="v;\xe9"'])
@pytest.mark.parametrize("trailer", [b"", b"X-After: 1\r\n", b"A:\r\nB:\t\xe9 \t\r\n"])
def test_sound_chunks_are_read_whole(server, trailer, size, read):
    check_read(server, read, CHUNKED_HEAD + size + b"\r\n" + BODY + b"\r\n0\r\n" + trailer + b"\r\n")
    pieces = b"".join(bare_http.chunk(BODY[at : at + 7]) for at in range(0, len(BODY), 7))
    check_read(server, read, CHUNKED_HEAD + pieces + b"0\r\n" + trailer + b"\r\n")


INTERIM = b"HTTP/1.1 100 Continue\r\n\r\n"
SOUND_LINES = [b"Content-Length: %d" % len(BODY)]
SOUND = broken_heads.message(broken_heads.STATUS_LINE, SOUND_LINES, Framing.LENGTH, BODY)


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize(
    "interim",
    [
        b"HTTP/1.1 100 Continue\r\nX Evil: 1\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\nX-Evil\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nX\x01Evil: 1\r\n\r\n",
        b"HTTP/1.1 000 Said\r\n\r\n",
        b"HTTP/1.1 099 Said\r\n\r\n",
        b"HTTP/1.1 1_0_0 Continue\r\n\r\n",
        b"HTTP/1.1 100 Continue\r\n\n",
        b"HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\n\r\n",
        INTERIM + b"HTTP/1.1 100 Continue\r\n Evil: 1\r\n\r\n",
    ],
)
def test_a_malformed_interim_head_is_no_answer(server, interim, read):
    check_refused(server, read, interim + SOUND)


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
def test_a_malformed_head_after_an_interim_one_is_no_answer(server, read):
    for line in broken_heads.NAMES_WITH_BLANK_OR_CONTROL:
        response = broken_heads.broken_response(line, Place.BEFORE_FRAMING, Framing.LENGTH, BODY)
        check_refused(server, read, INTERIM + response)


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize(
    "interim",
    [
        INTERIM,
        INTERIM * 3,
        b"HTTP/1.1 100 \r\nX-Note: \xe9\r\n\r\n",
        b"HTTP/1.1 102 Processing\r\n\r\n",
        b"HTTP/1.1 103 Early Hints\r\nLink: </x>; rel=preload\r\n\r\n",
    ],
)
def test_a_sound_interim_head_is_skipped(server, interim, read):
    check_read(server, read, interim + SOUND)


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
def test_a_head_without_end_is_given_up(server, read):
    check_refused(server, read, INTERIM * 100000)
    check_refused(server, read, broken_heads.STATUS_LINE + b"\r\nX-Long: " + b"a" * 2000000)


TOKEN_BYTES = b"!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
EDGE_VALUES = [b"", b"\t", b"a\tb  c", b'"(),/:;<=>?@[\\]{}', bytes(range(0x80, 0x100)), b"From x: y", b"a" * 60000]


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize("value", EDGE_VALUES, ids=lambda value: repr(value[:10]))
def test_whatever_the_grammar_allows_in_a_field_arrives_unchanged(server, value, read):
    name = TOKEN_BYTES.decode()
    lines = [TOKEN_BYTES + b":" + value, *SOUND_LINES]
    found = broken_heads.message(broken_heads.STATUS_LINE, lines, Framing.LENGTH, BODY)
    check_read(server, read, found, [(name, value.strip(b" \t").decode("latin-1"))])


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize(
    "status_line",
    [
        b"HTTP/1.1 200 ",
        b"HTTP/1.1 200",
        b'HTTP/1.1 200 \xe9\t(any) "text"',
        b"HTTP/1.1 299 Said",
        b"HTTP/1.0 200 OK",
        b"HTTP/1.9 200 OK",
    ],
)
def test_whatever_the_grammar_allows_in_a_status_line_is_an_answer(server, status_line, read):
    check_read(server, read, broken_heads.message(status_line, SOUND_LINES, Framing.LENGTH, BODY))


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length:%d",
        b"content-length:\t %d \t",
        b"CONTENT-LENGTH: 000%d",
    ],
)
def test_whitespace_around_a_length_is_no_part_of_it(server, line, read):
    check_read(server, read, broken_heads.message(broken_heads.STATUS_LINE, [line % len(BODY)], Framing.LENGTH, BODY))


@pytest.mark.parametrize("read", READERS.values(), ids=READERS)
def test_a_head_of_many_fields_is_read_whole(server, read):
    fields = [(b"X-%d" % number, b"v") for number in range(500)]
    lines = [b"%s: %s" % field for field in fields] + SOUND_LINES
    found = broken_heads.message(broken_heads.STATUS_LINE, lines, Framing.LENGTH, BODY)
    check_read(server, read, found, [(name.decode(), value.decode()) for name, value in fields])


TOKENS = strategies.text(TOKEN_BYTES.decode(), min_size=1, max_size=12)
VALUES = strategies.text([chr(code) for code in (9, *range(0x20, 0x7F), *range(0x80, 0x100))], max_size=20)


@BOUNDED
@hypothesis.given(fields=strategies.lists(strategies.tuples(TOKENS, VALUES), max_size=8))
def test_fields_of_the_grammar_are_parsed_as_they_were_sent(fields):
    for name, value in fields:
        line = f"{name}:{value}\r\n".encode("latin-1")
        assert message_grammar.parse_field_line(line) == (name, value.strip(" \t"))


@BOUNDED
@hypothesis.given(name=TOKENS, value=VALUES, place=strategies.integers(0, 40), number=strategies.integers(0, 255))
def test_a_changed_byte_makes_another_field_of_the_grammar_or_an_error(name, value, place, number):
    line = bytearray(f"{name}: {value}\r\n".encode("latin-1"))
    line[place % len(line)] = number
    try:
        field = message_grammar.parse_field_line(bytes(line))
    except message_grammar.MalformedMessageError:
        return
    assert field.name and set(field.name.encode()) <= set(TOKEN_BYTES)
    assert not set(field.value.encode("latin-1")) & set(broken_heads.CONTROL_BYTES) - {9}
    assert bytes(line).startswith(field.name.encode() + b":")


def test_the_library_reads_heads_with_our_parser_only(server, monkeypatch):
    monkeypatch.setattr(http.client, "parse_headers", None)
    for read in READERS.values():
        check_read(server, read, SOUND)


OWN_HANDLE = replica_adapter.Handle("t.1", "i", "", "e", {"remote_block_ids": [1], "id": "h"}, 0.0)
CALLS = {
    "list": lambda environment, address: platform_list.read(environment, f"http://{address}"),
    "condition": lambda environment, address: replica_adapter.condition(environment, f"http://{address}"),
    "release": lambda environment, address: replica_adapter.release_handle(environment, handle_at(address)),
    "order": lambda environment, address: replica_adapter.order_role(*order_to(environment, address)),
    "list of the platform": lambda environment, address: PLATFORM.rows(environment, f"http://{address}"),
    "release on the platform": lambda environment, address: PLATFORM.release_handle(environment, handle_at(address)),
    "order on the platform": lambda environment, address: PLATFORM.order_role(*order_to(environment, address)),
}
PLATFORM = platform_site.replica_protocol.PlatformReplicaProtocol()


def handle_at(address):
    """Return a handle that a replica at this address holds."""
    return dataclasses.replace(OWN_HANDLE, address=f"http://{address}")


def order_to(environment, address):
    """Return the arguments of an order to a replica at this address."""
    endpoint = types.SimpleNamespace(name="i", url=f"http://{address}", engine="e")
    return environment, endpoint, "decode", 1, "leader", 1


# Guards against an order or a release that counts as done, and a list or condition that is used, for a broken answer.
@pytest.mark.parametrize("call", CALLS.values(), ids=CALLS)
@pytest.mark.parametrize("place", Place)
def test_a_malformed_answer_confirms_no_call_to_replicas_or_platform(server, place, call):
    environment = environment_module.BlockingEnvironment()
    for line in broken_heads.NAMES_WITH_BLANK_OR_CONTROL:
        response = broken_heads.broken_response(line, place, Framing.LENGTH, BODY)
        check_refused(server, lambda address: call(environment, address), response)
