"""What the grammar of heads allows is read unchanged, by every reader of responses."""

import http.client
import os

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.http.message_grammar as message_grammar
import tests.broken_heads as broken_heads
import tests.response_readers as response_readers

server = response_readers.server
Framing = broken_heads.Framing
EXAMPLES = int(os.environ.get("MOTHSHED_EXAMPLES", "60"))
BOUNDED = hypothesis.settings(derandomize=True, max_examples=EXAMPLES, deadline=None, database=None)


EDGE_VALUES = [b"", b"\t", b"a\tb  c", b'"(),/:;<=>?@[\\]{}', bytes(range(0x80, 0x100)), b"From x: y", b"a" * 60000]


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("value", EDGE_VALUES, ids=lambda value: repr(value[:10]))
def test_whatever_the_grammar_allows_in_a_field_arrives_unchanged(server, value, read):
    name = broken_heads.TOKEN_BYTES.decode()
    lines = [broken_heads.TOKEN_BYTES + b":" + value, *response_readers.SOUND_LINES]
    found = broken_heads.message(broken_heads.STATUS_LINE, lines, Framing.LENGTH, response_readers.BODY)
    response_readers.check_read(server, read, found, [(name, value.strip(b" \t").decode("latin-1"))])


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
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
    response_readers.check_read(
        server,
        read,
        broken_heads.message(status_line, response_readers.SOUND_LINES, Framing.LENGTH, response_readers.BODY),
    )


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize(
    "line",
    [
        b"Content-Length:%d",
        b"content-length:\t %d \t",
        b"CONTENT-LENGTH: 000%d",
    ],
)
def test_whitespace_around_a_length_is_no_part_of_it(server, line, read):
    response_readers.check_read(
        server,
        read,
        broken_heads.message(
            broken_heads.STATUS_LINE, [line % len(response_readers.BODY)], Framing.LENGTH, response_readers.BODY
        ),
    )


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
def test_a_head_of_many_fields_is_read_whole(server, read):
    fields = [(b"X-%d" % number, b"v") for number in range(500)]
    lines = [b"%s: %s" % field for field in fields] + response_readers.SOUND_LINES
    found = broken_heads.message(broken_heads.STATUS_LINE, lines, Framing.LENGTH, response_readers.BODY)
    response_readers.check_read(server, read, found, [(name.decode(), value.decode()) for name, value in fields])


TOKENS = strategies.text(broken_heads.TOKEN_BYTES.decode(), min_size=1, max_size=12)
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
    assert field.name and set(field.name.encode()) <= set(broken_heads.TOKEN_BYTES)
    assert not set(field.value.encode("latin-1")) & set(broken_heads.CONTROL_BYTES) - {9}
    assert bytes(line).startswith(field.name.encode() + b":")


def test_the_library_reads_heads_with_our_parser_only(server, monkeypatch):
    monkeypatch.setattr(http.client, "parse_headers", None)
    for read in response_readers.READERS.values():
        response_readers.check_read(server, read, response_readers.SOUND)
