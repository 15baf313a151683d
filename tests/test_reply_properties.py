"""Property tests of reading replica responses.

The result is a complete response that was sent in this exchange, or an error.
"""

import itertools
import os
import socket

import hypothesis
import hypothesis.strategies as strategies
import pytest

import mothshed.http.connection_pool as connection_pool
import mothshed.http.http_client as http_client
import tests.bare_http as bare_http

EXAMPLES = int(os.environ.get("MOTHSHED_EXAMPLES", "60"))
BOUNDED = hypothesis.settings(derandomize=True, max_examples=EXAMPLES, deadline=None, database=None)


class Script(bare_http.Listener):
    """Sends the pieces of the next response one by one; then closes the connection if `end` is set."""

    def __init__(self):
        self.pieces, self.end = [], False
        super().__init__()

    def answer(self, conn, request):
        for piece in self.pieces:
            conn.sendall(piece)
        if self.end:
            conn.shutdown(socket.SHUT_WR)
        return not self.end


@pytest.fixture(scope="module")
def script():
    found = Script()
    yield found
    found.stop()


def exchange(script, pool, pieces, end=False):
    """Return the name and body of a complete response, or None after an error."""
    script.pieces, script.end = pieces, end
    try:
        reply = pool.exchange("POST", script.address, "/x", {}, b"b", 2.0)
        return reply.headers.get("try-id"), reply.all()
    except http_client.ExchangeError as e:
        assert e.sent
        return None


def framed(name, body, sizes):
    """Build one valid response. sizes: of its chunks, or None for a Content-Length."""
    rows = [("Try-Id", name)]
    if sizes is None:
        return bare_http.response_bytes(200, rows, body)
    data, at = b"", 0
    for size in sizes:
        if at < len(body):
            data += bare_http.chunk(body[at : at + size])
            at += size
    if at < len(body):
        data += bare_http.chunk(body[at:])
    return bare_http.head(200, [*rows, ("Transfer-Encoding", "chunked")]) + data + b"0\r\n\r\n"


BODIES = strategies.binary(max_size=60)
SIZES = strategies.none() | strategies.lists(strategies.integers(1, 20), max_size=5)
CUTS = strategies.lists(strategies.integers(0, 10000), max_size=5)


def split(data, places):
    at = sorted({p % (len(data) + 1) for p in places} | {0, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(at)]


@BOUNDED
@hypothesis.given(body=BODIES, sizes=SIZES, places=CUTS)
def test_a_response_split_anywhere_is_read_completely_and_its_connection_reused(script, body, sizes, places):
    pool = connection_pool.ConnectionPool(lambda: 0.0)
    for name in ("a", "b"):
        assert exchange(script, pool, split(framed(name, body, sizes), places)) == (name, body)
    assert (pool.opened_count, pool.reused_count) == (1, 1)


@BOUNDED
@hypothesis.given(body=BODIES.filter(bool), sizes=SIZES, at=strategies.integers(0, 10000))
def test_a_truncated_response_is_an_error(script, body, sizes, at):
    data = framed("a", body, sizes)
    at %= len(data)  # at least the last byte is missing
    assert exchange(script, connection_pool.ConnectionPool(lambda: 0.0), [data[:at]], end=True) is None


@BOUNDED
@hypothesis.given(body=BODIES, sizes=SIZES, surplus=strategies.binary(min_size=1, max_size=40), places=CUTS)
def test_surplus_bytes_are_part_of_neither_this_response_nor_the_next(script, body, sizes, surplus, places):
    pool = connection_pool.ConnectionPool(lambda: 0.0)
    data = framed("a", body, sizes)
    assert exchange(script, pool, [*split(data, places)[:-1], split(data, places)[-1] + surplus]) == ("a", body)
    assert exchange(script, pool, [framed("b", b"next", None)]) in (("b", b"next"), None)


@BOUNDED
@hypothesis.given(body=BODIES, sizes=SIZES, times=strategies.integers(2, 4))
def test_duplicate_responses_close_their_connection(script, body, sizes, times):
    pool = connection_pool.ConnectionPool(lambda: 0.0)
    assert exchange(script, pool, [framed("a", body, sizes) * times]) == ("a", body)
    assert exchange(script, pool, [framed("b", b"next", None)]) == ("b", b"next")
    assert (pool.opened_count, pool.reused_count) == (2, 0)


@BOUNDED
@hypothesis.given(data=strategies.binary(max_size=200))
def test_bytes_that_are_no_response_are_an_error(script, data):
    hypothesis.assume(not data.startswith(b"HTTP/"))
    assert exchange(script, connection_pool.ConnectionPool(lambda: 0.0), [data] if data else [], end=True) is None


@BOUNDED
@hypothesis.given(
    body=strategies.binary(min_size=4, max_size=40),
    at=strategies.integers(0, 10000),
    byte=strategies.binary(min_size=1, max_size=1),
)
def test_a_corrupt_byte_in_the_chunk_framing_never_changes_the_length_of_the_body(script, body, at, byte):
    """A corrupt byte may change the body only at its own position within the data of a chunk."""
    data = framed("a", body, [3])
    begin = data.index(b"\r\n\r\n") + 4
    at = begin + at % (len(data) - begin)
    found = exchange(script, connection_pool.ConnectionPool(lambda: 0.0), [data[:at] + byte + data[at + 1 :]], end=True)
    assert found is None or len(found[1]) == len(body)
