"""The reader of replicas' answers under generated input.

What it gives out is a whole answer that was sent in this exchange, or it is a fault.
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
    """Sends the pieces of the next reply one by one; ends the connection after it where told."""

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


def exchange(script, idle, pieces, end=False):
    """The body of a whole answer, or None for a fault."""
    script.pieces, script.end = pieces, end
    try:
        reply = idle.exchange("POST", script.address, "/x", {}, b"b", 2.0)
        return reply.headers.get("try-id"), reply.all()
    except http_client.ExchangeError as e:
        assert e.sent
        return None


def framed(name, body, sizes):
    """One proper answer; sizes: of its chunks, or None for a length."""
    rows = [("Try-Id", name)]
    if sizes is None:
        return bare_http.whole(200, rows, body)
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


def cut(data, places):
    at = sorted({p % (len(data) + 1) for p in places} | {0, len(data)})
    return [data[a:b] for a, b in itertools.pairwise(at)]


@BOUNDED
@hypothesis.given(body=BODIES, sizes=SIZES, places=CUTS)
def test_an_answer_cut_anywhere_is_read_whole_and_its_connection_kept(script, body, sizes, places):
    idle = connection_pool.ConnectionPool(lambda: 0.0)
    for name in ("a", "b"):
        assert exchange(script, idle, cut(framed(name, body, sizes), places)) == (name, body)
    assert (idle.opened_count, idle.reused_count) == (1, 1)


@BOUNDED
@hypothesis.given(body=BODIES.filter(bool), sizes=SIZES, at=strategies.integers(0, 10000))
def test_an_answer_that_ends_before_its_body_is_whole_is_a_fault(script, body, sizes, at):
    data = framed("a", body, sizes)
    at %= len(data)  # without its last byte at least
    assert exchange(script, connection_pool.ConnectionPool(lambda: 0.0), [data[:at]], end=True) is None


@BOUNDED
@hypothesis.given(body=BODIES, sizes=SIZES, surplus=strategies.binary(min_size=1, max_size=40), places=CUTS)
def test_surplus_bytes_are_never_part_of_an_answer_nor_of_the_next(script, body, sizes, surplus, places):
    idle = connection_pool.ConnectionPool(lambda: 0.0)
    data = framed("a", body, sizes)
    assert exchange(script, idle, [*cut(data, places)[:-1], cut(data, places)[-1] + surplus]) == ("a", body)
    assert exchange(script, idle, [framed("b", b"next", None)]) in (("b", b"next"), None)


@BOUNDED
@hypothesis.given(body=BODIES, sizes=SIZES, times=strategies.integers(2, 4))
def test_doubled_answers_end_their_connection(script, body, sizes, times):
    idle = connection_pool.ConnectionPool(lambda: 0.0)
    assert exchange(script, idle, [framed("a", body, sizes) * times]) == ("a", body)
    assert exchange(script, idle, [framed("b", b"next", None)]) == ("b", b"next")
    assert (idle.opened_count, idle.reused_count) == (2, 0)


@BOUNDED
@hypothesis.given(data=strategies.binary(max_size=200))
def test_bytes_that_are_no_answer_are_a_fault(script, data):
    hypothesis.assume(not data.startswith(b"HTTP/"))
    assert exchange(script, connection_pool.ConnectionPool(lambda: 0.0), [data] if data else [], end=True) is None


@BOUNDED
@hypothesis.given(
    body=strategies.binary(min_size=4, max_size=40),
    at=strategies.integers(0, 10000),
    byte=strategies.binary(min_size=1, max_size=1),
)
def test_a_spoilt_byte_in_the_framing_of_chunks_never_gives_a_longer_or_shorter_body_of_that_head(
    script, body, at, byte
):
    """Only a byte within a chunk's data may change what is read, and then just there."""
    data = framed("a", body, [3])
    begin = data.index(b"\r\n\r\n") + 4
    at = begin + at % (len(data) - begin)
    found = exchange(script, connection_pool.ConnectionPool(lambda: 0.0), [data[:at] + byte + data[at + 1 :]], end=True)
    assert found is None or len(found[1]) == len(body)
