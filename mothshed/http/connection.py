"""A connection to a replica whose reads may go on after a silence, and the heads of its responses.

A read that times out ends an exchange only if nobody watches it. A watcher is called with the silent socket; it
returns if the read is to go on, with the timeout for that, or raises what ends the exchange.

Heads are read by response_head, as the library takes the end of a connection, and any line that it can't parse, for the
end of a head, and ignores the fields after it.
"""

import collections.abc
import http.client
import io
import select
import socket
import typing

import urllib3
import urllib3.connection

import mothshed.constants as constants
import mothshed.http.chunked as chunked
import mothshed.http.message_grammar as message_grammar
import mothshed.http.response_head as response_head

SilenceWatcher = collections.abc.Callable[[socket.socket], float]  # returns the timeout of the next read, in seconds


def set_socket_options(sock: socket.socket) -> None:
    """Send without delay, and end the connection once its peer's machine has not responded for some seconds."""
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, int(constants.DELIVERY_ACK_TIMEOUT_S * 1000))
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, 1)
    sock.setsockopt(socket.IPPROTO_TCP, socket.TCP_KEEPCNT, 1)


def wait_for_input(sock: socket.socket, timeout_s: float, other: int | None = None) -> bool:
    """Wait until a socket has input, or has ended; return whether it has. other: a descriptor that ends the wait too.

    Returns False after timeout_s. Raises OSError if the socket is closed.
    """
    poller = select.poll()
    poller.register(sock, select.POLLIN)
    if other is not None:
        poller.register(other, select.POLLIN)
    ready = [descriptor for descriptor, _events in poller.poll(max(0.0, timeout_s) * 1000)]
    return sock.fileno() in ready


class WatchedReader(io.RawIOBase):
    """Reads from a socket; at each timeout the watcher decides whether the read goes on.

    The standard library's reader can't be used after a timeout.
    """

    def __init__(self, file: socket.SocketIO, sock: socket.socket, connection: "Connection") -> None:
        super().__init__()
        self.file, self.sock, self.connection = file, sock, connection

    def readable(self) -> bool:
        """Return True."""
        return True

    def readinto(self, buffer: typing.Any) -> int | None:
        """Read what has arrived into a buffer; None if the socket does not block and nothing has arrived."""
        while True:
            try:
                return self.sock.recv_into(buffer)
            except TimeoutError:
                if self.connection.on_silence is None:
                    raise
                self.sock.settimeout(max(self.connection.on_silence(self.sock), 0.01))
            except BlockingIOError:
                return None

    def close(self) -> None:
        """Close this reader; the socket is closed once its connection is closed as well."""
        if not self.closed:
            self.file.close()
        super().close()


class Response(http.client.HTTPResponse):
    """A response that survives silences, and detects bytes after its end, which the library would drop."""

    framing: response_head.Framing  # once the head has been read
    chunked_body: chunked.ChunkedResponseBody | None = None
    has_surplus = False

    def __init__(self, sock: socket.socket, *args: typing.Any, connection: "Connection", **options: typing.Any) -> None:
        super().__init__(sock, *args, **options)
        file = typing.cast(io.BufferedReader, self.fp).detach()
        self.fp = io.BufferedReader(WatchedReader(typing.cast(socket.SocketIO, file), sock, connection))

    def begin(self) -> None:
        """Read and validate the head; called by the standard library, whose own parser skips what it can't read.

        Raises MalformedMessageError, or http.client.RemoteDisconnected if the connection ends before the head does.
        """
        if self.headers is not None:
            return
        head = response_head.read_head(typing.cast(message_grammar.LineFile, self.fp), self._method)
        self.framing = head.framing
        self.code = self.status = head.status_line.status
        self.reason = head.status_line.reason
        self.version = 10 if head.status_line.minor_version == 0 else 11
        self.headers = self.msg = head.message()
        self.chunked, self.chunk_left = head.framing is response_head.Framing.CHUNKS, None
        self.chunked_body = chunked.ChunkedResponseBody(self.fp) if self.chunked else None
        self.length = head.body_bytes()
        self.will_close = head.framing is response_head.Framing.CONNECTION or self._check_close()

    def read(self, size: int | None = None) -> bytes:
        """Read up to size bytes of the body, or all; raises BadChunk if its chunks are malformed."""
        if self.chunked_body is None:
            return super().read(size)
        return self.end_after(self.chunked_body.read(size), size)

    def read1(self, size: int = -1) -> bytes:
        """Read up to size bytes of the body as soon as some arrive; raises BadChunk if its chunks are malformed."""
        if self.chunked_body is None:
            return super().read1(size)
        return self.end_after(self.chunked_body.read1(size if size >= 0 else constants.SOCKET_READ_BYTES), size)

    def end_after(self, data: bytes, size: int | None) -> bytes:
        """Return a piece of a chunked body; end reading if it was the last."""
        if size is None or size and not data:
            self.end()
        return data

    def end(self) -> None:
        """Stop reading after the end of the body; from then on `has_surplus` says whether bytes followed it."""
        if self.fp is not None:
            self._close_conn()

    def _close_conn(self) -> None:
        try:
            sock = self.fp.raw.sock
            timeout_s = sock.gettimeout()
            sock.settimeout(0)
            self.has_surplus = bool(self.fp.peek(1))
            sock.settimeout(timeout_s)
        except (OSError, ValueError, AttributeError):  # the connection is already closed
            pass
        super()._close_conn()


class Connection(urllib3.connection.HTTPConnection):
    """A connection whose responses call `on_silence`, if it is set, at each timeout of a read."""

    on_silence: SilenceWatcher | None = None

    def response_class(self, *args: typing.Any, **options: typing.Any) -> Response:
        """Create a response of this connection; called by the standard library."""
        return Response(*args, connection=self, **options)


class AddressPool(urllib3.HTTPConnectionPool):
    """The library's pool of connections to one address, which reads responses as all exchanges here do."""

    ConnectionCls = Connection


class AddressPools(urllib3.PoolManager):
    """The library's pools by address, for small exchanges without TLS."""

    def __init__(self, **options: typing.Any) -> None:
        super().__init__(**options)
        self.pool_classes_by_scheme = {"http": AddressPool}
