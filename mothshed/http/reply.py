"""A replica's response: headers that say unambiguously where its body ends, and a body that is streamed.

A response that is truncated, ambiguously framed or longer than declared never counts as complete. A body without a
length or chunks is complete at the end of its connection, if that is no reset.
"""

import collections.abc
import socket
import typing

import mothshed.constants as constants
import mothshed.http.connection as connection_module
import mothshed.http.http_client as http_client
import mothshed.http.response_head as response_head
import mothshed.runtime.cancellation as cancellation_module

Framing = response_head.Framing


class Reply:
    """A replica's response: status, headers and a streamed body."""

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
        self.response = raw._original_response
        self.framing = self.response.framing
        self.status, self.reason, self.headers = raw.status, raw.reason or "", raw.headers
        self.complete = False

    def set_timeout(self, timeout_s: float) -> None:
        """Set the timeout of each following read, in seconds.

        Does nothing once the body is complete: its socket is then closed or used by another exchange.
        """
        if not self.conn or self.sock.fileno() < 0:
            return
        try:
            self.sock.settimeout(max(timeout_s, 0.01))
        except OSError as error:  # the socket is already closed
            raise http_client.ExchangeError(f"body: {error}", True) from error

    def move_to(
        self, cancellation: cancellation_module.Cancellation, on_silence: connection_module.SilenceWatcher
    ) -> None:
        """Have another owner cancel the exchange and watch its silences; does nothing once the body is complete."""
        if self.conn:
            self.cancellation.release()
            self.cancellation = cancellation
            self.conn.on_silence = on_silence
            cancellation.hold(self.sock)

    def pieces(self) -> collections.abc.Iterator[bytes]:
        """Yield bytes as they arrive; raise ExchangeError unless the body is complete at its end."""
        try:
            while self.framing is not Framing.NO_BODY and (piece := self.read_piece()):
                yield piece
        except http_client.ExchangeError:
            raise
        except (*http_client.TRANSPORT_ERRORS, AttributeError) as error:
            raise http_client.ExchangeError(f"body: {type(error).__name__}: {error}", True) from error
        self.finish()

    def read_piece(self) -> bytes:
        """Read a piece of the body; none only at its end. Raises ExchangeError if the body is cut off."""
        piece: bytes = self.response.read1(constants.SOCKET_READ_BYTES)
        if not piece and self.response.length:  # what is missing of a declared length
            raise http_client.ExchangeError("body is cut off", True)
        return piece

    def all(self, limit: int = constants.MAX_BODY_BYTES) -> bytes:
        """Read the whole body; raise ExchangeError if it is longer than limit bytes."""
        pieces, size = [], 0
        for piece in self.pieces():
            pieces.append(piece)
            size += len(piece)
            if size > limit:
                self.close()
                raise http_client.ExchangeError("body is too long", True)
        return b"".join(pieces)

    def finish(self) -> None:
        """Return the connection to the pool after a complete body, for the next exchange."""
        if self.conn:
            self.complete, conn, self.conn = True, self.conn, None
            self.cancellation.release()  # an earlier cancellation has shut down the connection: it is not reused
            self.response.end()
            is_reusable = not self.response.has_surplus and self.framing is not Framing.CONNECTION
            self.pool.give_back(self.address, conn, self.headers if is_reusable else {"connection": "close"})

    def close(self) -> None:
        """Abort the exchange; a replica that still works on it sees the connection close."""
        if self.conn:
            conn, self.conn = self.conn, None
            self.cancellation.release()
            conn.close()
            self.raw.close()
