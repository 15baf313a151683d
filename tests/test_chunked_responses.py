"""Chunked bodies and their trailers, for every way in which a response is read."""

import pytest

import tests.bare_http as bare_http
import tests.broken_heads as broken_heads
import tests.response_readers as response_readers

server = response_readers.server
CHUNKED_HEAD = b"\r\n".join([broken_heads.STATUS_LINE, b"Transfer-Encoding: chunked", b"", b""])
SIZE = b"%x" % len(response_readers.BODY)
BROKEN_CHUNKS = {
    "prefix": b"0x" + SIZE + b"\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "sign": b"+" + SIZE + b"\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "negative": b"-1\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "underscore": b"_".join([SIZE[:1], SIZE[1:]]) + b"\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "blank before": b" " + SIZE + b"\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "control byte after": SIZE + b"\x0b\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "bare line feed": SIZE + b"\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "other bytes after the chunk": SIZE + b"\r\n" + response_readers.BODY + b"xx0\r\n\r\n",
    "no size": b"\r\n" + response_readers.BODY + b"\r\n0\r\n\r\n",
    "no last chunk": SIZE + b"\r\n" + response_readers.BODY + b"\r\n",
    "last chunk without a trailer": SIZE + b"\r\n" + response_readers.BODY + b"\r\n0\r\n",
    "trailer that is cut off": SIZE + b"\r\n" + response_readers.BODY + b"\r\n0\r\nX-After: 1\r\n",
}


# Guards against sizes that are read by int(), and against a body that is taken for whole though its end is missing.
@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("chunks", BROKEN_CHUNKS.values(), ids=BROKEN_CHUNKS)
def test_malformed_chunks_are_no_answer(server, chunks, read):
    response_readers.check_refused(server, read, CHUNKED_HEAD + chunks)


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("line", broken_heads.NAMES_WITH_BLANK_OR_CONTROL + broken_heads.OTHER_BROKEN_LINES)
def test_a_malformed_trailer_is_no_answer(server, line, read):
    response_readers.check_refused(
        server, read, CHUNKED_HEAD + bare_http.chunk(response_readers.BODY) + b"0\r\n" + line + b"\r\n\r\n"
    )
    response_readers.check_refused(
        server, read, CHUNKED_HEAD + bare_http.chunk(response_readers.BODY) + b"0\r\nX-A: 1\r\n" + line + b"\r\n\r\n"
    )


@pytest.mark.parametrize("read", response_readers.READERS.values(), ids=response_readers.READERS)
@pytest.mark.parametrize("size", [SIZE, SIZE.upper(), b"000" + SIZE, SIZE + b" \t", SIZE + b';name="v;\xe9"'])
@pytest.mark.parametrize("trailer", [b"", b"X-After: 1\r\n", b"A:\r\nB:\t\xe9 \t\r\n"])
def test_sound_chunks_are_read_whole(server, trailer, size, read):
    response_readers.check_read(
        server, read, CHUNKED_HEAD + size + b"\r\n" + response_readers.BODY + b"\r\n0\r\n" + trailer + b"\r\n"
    )
    pieces = b"".join(
        bare_http.chunk(response_readers.BODY[at : at + 7]) for at in range(0, len(response_readers.BODY), 7)
    )
    response_readers.check_read(server, read, CHUNKED_HEAD + pieces + b"0\r\n" + trailer + b"\r\n")
