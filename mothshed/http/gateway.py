"""Passes requests from the HTTP server to a WSGI application, and its response back.

A body that differs from the length in its head would be taken for complete, or its surplus for the next response on the
same connection. The library lets both happen; here neither is sent, and the connection ends instead.
"""

import collections.abc
import typing

import cheroot.wsgi

import mothshed.http.caller as caller
import mothshed.http.response_rules as response_rules

Environ = dict[str, typing.Any]  # WSGI's
HeaderRows = collections.abc.Iterable[tuple[str, str]]
WriteBody = collections.abc.Callable[[bytes], None]


class BodyLengthError(Exception):
    """The application's body is longer or shorter than the length that its head declares."""


class Gateway(cheroot.wsgi.Gateway_10):
    """The library's gateway, which also passes the caller and the original headers, and checks declared lengths."""

    def __init__(self, req: typing.Any) -> None:
        super().__init__(req)
        self.sent_bytes = 0  # of the body

    def get_environ(self) -> Environ:
        """Return the WSGI environment with `mothshed.caller` (Caller) and `mothshed.headers` (name -> text)."""
        raw = {name.decode("latin-1"): value.decode("latin-1") for name, value in self.req.inheaders.items()}
        request_caller = caller.Caller(self.req.conn)
        if not self.req.chunked_read and int(self.req.inheaders.get(b"Content-Length", 0)) == 0:
            request_caller.end_reading()
        return {**super().get_environ(), "mothshed.caller": request_caller, "mothshed.headers": raw}

    def start_response(self, status: str, headers: HeaderRows, exc_info: typing.Any = None) -> WriteBody:
        """Set the head of the response; while the server is leaving, it ends the use of this connection."""
        rows = list(headers)
        if self.req.server.is_leaving() and all(name.lower() != "connection" for name, _value in rows):
            rows.append(("Connection", "close"))
        write: WriteBody = super().start_response(status, rows, exc_info)
        return write

    def has_body(self) -> bool:
        """Return whether the response may have a body."""
        return response_rules.has_body(self.req.method.decode("latin-1"), int(self.req.status[:3]))

    def write(self, chunk: bytes) -> None:
        """Send a piece of the body; raises BodyLengthError, with nothing sent, if it exceeds the declared length."""
        declared_bytes = self.remaining_bytes_out  # the library sets it once, from the head
        if not self.has_body():
            return
        if declared_bytes is not None and self.sent_bytes + len(chunk) > declared_bytes:
            raise BodyLengthError(f"body exceeds its {declared_bytes} bytes")
        self.req.ensure_headers_sent()
        self.req.write(chunk)
        self.sent_bytes += len(chunk)

    def respond(self) -> None:
        """Process the request; raises BodyLengthError if the body is shorter than its head declares."""
        super().respond()
        declared_bytes = self.remaining_bytes_out
        if declared_bytes is not None and self.has_body() and self.sent_bytes < declared_bytes:
            raise BodyLengthError(f"body ends after {self.sent_bytes} of {declared_bytes} bytes")
