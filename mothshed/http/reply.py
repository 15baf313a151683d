"""A replica's response: a head that says where its body ends, and a body read as it comes.

What is cut off, framed in two ways or longer than it says never looks whole: it raises ExchangeError.
"""

import collections.abc
import http.client
import re
import socket
import typing

import urllib3

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import mothshed.http.http_client as http_client
import mothshed.runtime.cancellation as cancellation_module

LENGTH = re.compile(r"[0-9]{1,15}")


class Response(http.client.HTTPResponse):
    """A response that notices bytes beyond its end, which the library would drop with its buffer."""

    has_surplus = False

    def _close_conn(self) -> None:
        try:
            file = self.fp
            file.raw._sock.settimeout(0)
            self.has_surplus = bool(file.peek(1))
        except (OSError, ValueError, AttributeError):  # it has ended already
            pass
        super()._close_conn()


def check_framing(raw: urllib3.BaseHTTPResponse) -> None:
    """Raises ExchangeError unless the head says in one clear way where its body ends."""
    lengths = raw.headers.getlist("content-length")
    codings = [coding.lower() for coding in raw.headers.getlist("transfer-encoding")]
    if raw.status < 200:
        raise http_client.ExchangeError("head is of no final status", True)
    if codings and (lengths or codings != ["chunked"]):
        raise http_client.ExchangeError("head says in two ways where its body ends", True)
    if len(lengths) > 1 or lengths and not LENGTH.fullmatch(lengths[0]):
        raise http_client.ExchangeError("head says no clear length", True)
    if not lengths and not codings and raw.status not in (204, 304):
        raise http_client.ExchangeError("head is cut off or says no length", True)


class Reply:
    """A replica's response: status, headers, and a body read as it comes."""

    def __init__(
        self,
        pool: typing.Any,
        address: str,
        conn: typing.Any,
        sock: socket.socket,
        raw: typing.Any,
        cancellation: cancellation_module.Cancellation,
    ) -> None:
        self.pool, self.address, self.conn, self.sock, self.raw = pool, address, conn, sock, raw
        self.cancellation = cancellation
        self.status, self.reason, self.headers = raw.status, raw.reason or "", raw.headers
        self.complete = False

    def set_timeout(self, timeout_s: float) -> None:
        """Seconds the next reads wait, each.

        Once the body is whole its socket is closed, or serves another exchange: it is left alone.
        """
        if not self.conn or self.sock.fileno() < 0:
            return
        try:
            self.sock.settimeout(max(timeout_s, 0.01))
        except OSError as error:  # it has ended already
            raise http_client.ExchangeError(f"body: {error}", True) from error

    def pieces(self) -> collections.abc.Iterator[bytes]:
        """Bytes as they come; ends only when the body is whole, else raises ExchangeError."""
        try:
            if self.raw.chunked:
                yield from self.chunks()
            else:
                while True:
                    piece = self.raw.read1(constants.SOCKET_READ_BYTES, decode_content=False)
                    if not piece:
                        break
                    yield piece
                if self.raw.length_remaining not in (0, None):
                    raise http_client.ExchangeError("body is cut off", True)
        except http_client.ExchangeError:
            raise
        except (*http_client.TRANSPORT_ERRORS, AttributeError) as error:
            raise http_client.ExchangeError(f"body: {type(error).__name__}: {error}", True) from error
        self.finish()

    def chunks(self) -> collections.abc.Iterator[bytes]:
        """The pieces of a chunked body; the library's own reader takes what is no chunk for one."""
        body = chunked.ChunkedBody(self.raw._fp.fp)
        while piece := body.read1(constants.SOCKET_READ_BYTES):
            yield piece
        self.raw._fp.close()

    def all(self, limit: int = constants.MAX_BODY_BYTES) -> bytes:
        """The whole body at once; longer than limit is a ExchangeError."""
        pieces, size = [], 0
        for piece in self.pieces():
            pieces.append(piece)
            size += len(piece)
            if size > limit:
                self.close()
                raise http_client.ExchangeError("body is too long", True)
        return b"".join(pieces)

    def finish(self) -> None:
        """The body is whole: its connection may carry the next exchange."""
        if self.conn:
            self.complete, conn, self.conn = True, self.conn, None
            self.cancellation.release()  # one that came before has ended the connection: it is not used again
            has_surplus = self.raw._original_response.has_surplus
            self.pool.give_back(self.address, conn, {"connection": "close"} if has_surplus else self.headers)

    def close(self) -> None:
        """Ends the exchange where it stands; a replica at work sees it broken off."""
        if self.conn:
            conn, self.conn = self.conn, None
            self.cancellation.release()
            conn.close()
            self.raw.close()
